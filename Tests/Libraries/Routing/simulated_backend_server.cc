#include "Tests/Libraries/Routing/simulated_backend_server.h"

#include <algorithm>
#include <utility>

namespace dogwood {
namespace {

// Slow phases of 50 ms at a third of the speed, one fifth of the time.
constexpr Duration kSlowPhaseDuration = std::chrono::milliseconds(50);
constexpr double kMeanFullSpeedPhaseSeconds = 0.2;
constexpr std::int64_t kSlowPhaseFactor = 3;

}  // namespace

TimePoint SimulatedBackendServer::FinishTime(TimePoint start, Duration size) {
  if (!has_slow_phases_) return start + size;
  std::exponential_distribution<double> gap(1 / kMeanFullSpeedPhaseSeconds);
  const auto next_boundary = [&](TimePoint from, bool is_slow) {
    if (is_slow) return from + kSlowPhaseDuration;
    return from + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(gap(engine_)));
  };
  if (phases_.empty()) phases_.push_back(next_boundary(start, false));
  while (phases_.front() <= events_->now()) {
    if (phases_.size() == 1) {
      phases_.push_back(next_boundary(phases_.back(), !is_first_slow_));
    }
    phases_.pop_front();
    is_first_slow_ = !is_first_slow_;
  }
  bool is_slow = is_first_slow_;
  for (std::size_t index = 0;; ++index, is_slow = !is_slow) {
    if (index == phases_.size()) {
      phases_.push_back(next_boundary(phases_.back(), is_slow));
    }
    const std::int64_t factor = is_slow ? kSlowPhaseFactor : 1;
    if (start + size * factor <= phases_[index]) return start + size * factor;
    size -= (phases_[index] - start) / factor;
    start = phases_[index];
  }
}

void SimulatedBackendServer::Submit(Duration size,
                                    std::function<void(bool)> on_done) {
  if (running_ >= slots_) ++excess_starts_;
  waiting_.push_back(
      {.size = size, .start_number = starts_, .on_done = std::move(on_done)});
  max_in_work_ = std::max(max_in_work_, in_work());
  if (running_ < slots_) {
    Work work = std::move(waiting_.front());
    waiting_.pop_front();
    Start(std::move(work));
  }
}

void SimulatedBackendServer::Start(Work work) {
  ++running_;
  const TimePoint finish = FinishTime(events_->now(), work.size);
  events_->At(finish, [this, work = std::move(work)] {
    if (work.start_number != starts_) {
      work.on_done(true);
      return;
    }
    --running_;
    if (!waiting_.empty()) {
      Work next = std::move(waiting_.front());
      waiting_.pop_front();
      Start(std::move(next));
    }
    work.on_done(false);
  });
}

void SimulatedBackendServer::Restart() {
  ++starts_;
  running_ = 0;
  std::deque<Work> lost = std::exchange(waiting_, {});
  for (const Work& work : lost) work.on_done(true);
}

}  // namespace dogwood
