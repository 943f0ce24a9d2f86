#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "Tests/Libraries/Routing/event_queue.h"

namespace dogwood {

// Simulated backend server: runs as many requests as it has slots, queues the
// others, and alternates between full speed and slow phases.
class SimulatedBackendServer {
 public:
  struct Work {
    Duration size;  // service time at full speed
    std::uint64_t start_number = 0;
    std::function<void(bool is_lost)> on_done;
  };

  SimulatedBackendServer(EventQueue& events, std::uint32_t slots,
                         std::uint64_t seed)
      : events_(&events), slots_(slots), engine_(seed) {}

  void set_slow_phases(bool has_slow_phases) {
    has_slow_phases_ = has_slow_phases;
  }
  void Submit(Duration size, std::function<void(bool)> on_done);
  // Drops all requests and restarts with a new start identifier.
  void Restart();

  std::string start_id() const { return "start" + std::to_string(starts_); }
  std::uint64_t starts() const { return starts_; }
  std::uint32_t in_work() const {
    return running_ + static_cast<std::uint32_t>(waiting_.size());
  }
  std::uint32_t max_in_work() const { return max_in_work_; }
  std::uint64_t excess_starts() const { return excess_starts_; }
  std::uint32_t free_slots() const {
    return running_ >= slots_ ? 0 : slots_ - running_;
  }

 private:
  void Start(Work work);
  TimePoint FinishTime(TimePoint start, Duration size);

  EventQueue* events_;
  std::uint32_t slots_;
  std::mt19937_64 engine_;
  bool has_slow_phases_ = false;
  // Ends of the current and the following phases, which alternate between full
  // speed and slow.
  std::deque<TimePoint> phases_;
  bool is_first_slow_ = false;
  std::deque<Work> waiting_;
  std::uint32_t running_ = 0;
  std::uint32_t max_in_work_ = 0;
  std::uint64_t excess_starts_ = 0;  // submissions while all slots were in use
  std::uint64_t starts_ = 0;
};

}  // namespace dogwood
