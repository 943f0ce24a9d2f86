#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Event queue of a simulation in virtual time. Events at equal times run in the
// order of scheduling.
class EventQueue {
 public:
  using Handler = std::function<void()>;

  TimePoint now() const { return now_; }
  void At(TimePoint time, Handler handler) {
    events_.push({std::max(time, now_), next_++, std::move(handler)});
  }
  void After(Duration delay, Handler handler) {
    At(now_ + delay, std::move(handler));
  }
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().time <= end) {
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.time;
      event.handler();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order;
    Handler handler;
    bool operator<(const Event& other) const {
      return std::pair(other.time, other.order) < std::pair(time, order);
    }
  };

  std::priority_queue<Event> events_;
  TimePoint now_{};
  std::uint64_t next_ = 0;
};

}  // namespace dogwood
