#include "Tests/StandIns/backend_server_model.h"

#include <algorithm>

namespace dogwood {

BackendServerModel::BackendServerModel(Options options)
    : options_(std::move(options)), slot_free_at_(options_.slots, 0) {}

std::uint32_t BackendServerModel::Capacity() const {
  const std::uint32_t slots = options_.slots;
  const std::uint32_t cold = std::min(options_.cold_limit, slots);
  switch (step_) {
    case 0:
      return cold;
    case 1:
      return std::min(cold * 2, slots);
    case 2:
      return std::min(cold * 4, slots);
    default:
      return slots;
  }
}

std::string BackendServerModel::start_id() const {
  return options_.name + "-" + std::to_string(start_);
}

Admission BackendServerModel::Admit(std::int64_t wall_microseconds,
                                    bool has_crash_mark, RunRecord record) {
  if (is_draining_ ||
      (options_.shed_above > 0 && in_work_ >= options_.shed_above)) {
    ++statistics_.shed;
    return Admission::kShed;
  }
  ++in_work_;
  ++statistics_.runs;
  statistics_.last_start_of_work = wall_microseconds;
  statistics_.max_in_work = std::max(statistics_.max_in_work, in_work_);
  records_.push_back(std::move(record));
  if (is_cold() && has_shown_cold_) {
    statistics_.max_in_work_cold =
        std::max(statistics_.max_in_work_cold, in_work_);
  }
  // A server whose cold state nobody could know yet bears what was sent before
  // it showed it.
  const bool is_overloaded =
      is_cold() && has_shown_cold_ && in_work_ > Capacity() * 2;
  if (has_crash_mark || is_overloaded) {
    Crash(wall_microseconds);
    return Admission::kCrash;
  }
  return Admission::kRun;
}

std::int64_t BackendServerModel::ScheduleWork(std::int64_t wall_microseconds,
                                              double work_microseconds) {
  const auto slot =
      std::min_element(slot_free_at_.begin(), slot_free_at_.end());
  const std::int64_t start = std::max(*slot, wall_microseconds);
  const double cold_factor = is_cold() ? 3.0 : 1.0;
  *slot = options_.slowdown.EndOfWork(options_.index, start,
                                      work_microseconds * cold_factor);
  return *slot;
}

void BackendServerModel::Finish(std::int64_t /*wall_microseconds*/) {
  --in_work_;
  if (!is_cold()) return;
  has_shown_cold_ = true;
  if (++answers_in_step_ < options_.warm_after) return;
  answers_in_step_ = 0;
  ++step_;
}

void BackendServerModel::Cancel() {
  --in_work_;
  ++statistics_.cancelled;
}

void BackendServerModel::TurnCold() {
  ++start_;
  step_ = 0;
  answers_in_step_ = 0;
  has_shown_cold_ = false;
}

void BackendServerModel::Crash(std::int64_t wall_microseconds) {
  ++statistics_.crashes;
  ++generation_;
  in_work_ = 0;
  std::fill(slot_free_at_.begin(), slot_free_at_.end(), 0);
  down_until_ =
      wall_microseconds + std::chrono::microseconds(options_.restart).count();
  TurnCold();
}

}  // namespace dogwood
