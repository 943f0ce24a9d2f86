#include "Tests/StandIns/backend_server_model.h"

#include <algorithm>

namespace dogwood {
namespace {

// A cold server crashes above this multiple of its capacity.
constexpr std::uint32_t kCrashFactor = 2;
// Factor by which work takes longer on a cold server.
constexpr double kColdSlowdown = 3;

}  // namespace

BackendServerModel::BackendServerModel(Options options)
    : options_(std::move(options)), slot_free_at_(options_.slots, 0) {}

std::uint32_t BackendServerModel::Capacity() const {
  const std::uint32_t slots = options_.slots;
  const std::uint32_t cold = std::min(options_.cold_limit, slots);
  switch (warm_up_stage_) {
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
  return options_.name + "-" + std::to_string(start_count_);
}

Admission BackendServerModel::Admit(std::int64_t wall_microseconds,
                                    bool should_crash, RunRecord record) {
  if (is_draining_ ||
      (options_.shed_above > 0 && active_requests_ >= options_.shed_above)) {
    ++statistics_.shed;
    return Admission::kShed;
  }
  ++active_requests_;
  ++statistics_.runs;
  statistics_.last_request_start = wall_microseconds;
  statistics_.max_active_requests =
      std::max(statistics_.max_active_requests, active_requests_);
  records_.push_back(std::move(record));
  if (is_cold() && has_reported_cold_start_) {
    statistics_.max_active_requests_while_cold =
        std::max(statistics_.max_active_requests_while_cold, active_requests_);
  }
  // Overload counts only after a response has reported the cold start, because
  // clients cannot adapt before that.
  const bool is_overloaded = is_cold() && has_reported_cold_start_ &&
                             active_requests_ > Capacity() * kCrashFactor;
  if (should_crash || is_overloaded) {
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
  const double cold_factor = is_cold() ? kColdSlowdown : 1.0;
  *slot = options_.slowdown.CompletionTime(options_.index, start,
                                           work_microseconds * cold_factor);
  return *slot;
}

void BackendServerModel::Finish(std::int64_t /*wall_microseconds*/) {
  --active_requests_;
  if (!is_cold()) return;
  has_reported_cold_start_ = true;
  if (++responses_in_stage_ < options_.responses_per_stage) return;
  responses_in_stage_ = 0;
  ++warm_up_stage_;
}

void BackendServerModel::Cancel() {
  --active_requests_;
  ++statistics_.cancelled;
}

void BackendServerModel::BeginColdStart() {
  ++start_count_;
  warm_up_stage_ = 0;
  responses_in_stage_ = 0;
  has_reported_cold_start_ = false;
}

void BackendServerModel::Crash(std::int64_t wall_microseconds) {
  ++statistics_.crashes;
  ++generation_;
  active_requests_ = 0;
  std::fill(slot_free_at_.begin(), slot_free_at_.end(), 0);
  down_until_ = wall_microseconds +
                std::chrono::microseconds(options_.restart_delay).count();
  BeginColdStart();
}

}  // namespace dogwood
