#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"
#include "Tests/StandIns/work_speed.h"

namespace dogwood {

// What a stand-in backend server does with one request.
enum class Admission { kRun, kShed, kCrash };

// One request that a backend server started to run, for comparison with what
// the system reports.
struct RunRecord {
  std::string request_id;
  std::string idempotency_key;
  std::string party;
};

// The rules of one stand-in backend server without I/O: slots, cold start,
// shedding, crashes.
class BackendServerModel {
 public:
  struct Options {
    std::string name;
    std::uint64_t index = 0;
    std::uint32_t slots = 6;
    std::uint32_t cold_limit =
        1;  // more work than this while cold crashes the server
    std::uint32_t shed_above =
        0;  // sheds above this much work; 0: queues without bound
    std::uint32_t warm_after = 20;  // answers for each step from cold to full
    std::chrono::milliseconds restart{
        500};  // how long a crashed server refuses connections
    SlowdownPattern slowdown;
  };

  struct Statistics {
    std::uint64_t runs = 0;
    std::uint64_t probes = 0;
    std::uint64_t shed = 0;
    std::uint64_t crashes = 0;
    std::uint64_t cancelled = 0;
    std::uint32_t max_in_work = 0;
    std::uint32_t max_in_work_cold =
        0;  // since the last cold start was shown by an answer
    std::int64_t last_start_of_work = 0;  // wall microseconds
  };

  explicit BackendServerModel(Options options);

  // Counts a request as in work unless it is shed or crashes the server.
  // `has_crash_mark` is set on requests that crash whatever runs them.
  Admission Admit(std::int64_t wall_microseconds, bool has_crash_mark,
                  RunRecord record);

  // Wall time at which an admitted request ends: it waits for the slot that
  // frees first.
  std::int64_t ScheduleWork(std::int64_t wall_microseconds,
                            double work_microseconds);

  void Finish(std::int64_t wall_microseconds);
  void Cancel();
  void CountProbe() { ++statistics_.probes; }

  void Crash(std::int64_t wall_microseconds);
  // A new start identifier and a cold state, without a crash.
  void TurnCold();
  void set_draining(bool draining) { is_draining_ = draining; }
  void ResetStatistics() { statistics_ = {}; }

  bool is_down(std::int64_t wall_microseconds) const {
    return wall_microseconds < down_until_;
  }
  bool is_cold() const { return step_ < kFullStep; }
  bool is_draining() const { return is_draining_; }
  std::uint32_t in_work() const { return in_work_; }
  std::uint64_t generation() const {
    return generation_;
  }  // rises with each crash
  std::string start_id() const;
  const Options& options() const { return options_; }
  const Statistics& statistics() const { return statistics_; }
  const std::vector<RunRecord>& records() const { return records_; }

 private:
  static constexpr int kFullStep = 3;

  // Concurrent work that the server bears at its present warm-up step.
  std::uint32_t Capacity() const;

  Options options_;
  Statistics statistics_;
  std::vector<RunRecord> records_;
  std::vector<std::int64_t> slot_free_at_;  // wall microseconds
  std::uint32_t in_work_ = 0;
  int step_ = kFullStep;
  std::uint32_t answers_in_step_ = 0;
  bool has_shown_cold_ = false;
  bool is_draining_ = false;
  std::uint64_t generation_ = 1;
  std::uint64_t start_ = 1;
  std::int64_t down_until_ = 0;
};

}  // namespace dogwood
