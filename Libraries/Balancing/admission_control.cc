#include "Libraries/Balancing/admission_control.h"

#include <algorithm>

namespace dogwood {
namespace {

Duration Scaled(Duration duration, double by) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(duration.count()) * by));
}

}  // namespace

AdmissionDecision AdmissionControl::Decide(const Input& input) {
  const ServerSelectionQuery& query = input.query;
  const Duration reserve =
      Scaled(query.typical_service_time, kServiceTimeReserve);
  const Duration slack = query.latency_goal_time_left - reserve;
  const bool is_goal_reachable = slack > Duration::zero();
  if (input.is_hedge) {
    // After the goal has passed, a hedge only has to meet the deadline.
    const Duration left = query.latency_goal_time_left > Duration::zero()
                              ? query.latency_goal_time_left
                              : query.time_left;
    const bool is_useful =
        input.selection &&
        Scaled(query.typical_service_time, input.selection->slowdown) <= left &&
        input.occupancy.free_fast_slots >=
            kMinFreeShareForHedges * input.occupancy.fast_slots;
    return is_useful ? AdmissionDecision::kSend : AdmissionDecision::kRefuse;
  }
  if (input.selection) {
    const Duration service_time =
        Scaled(query.typical_service_time, input.selection->slowdown);
    if (service_time > query.time_left) {
      return is_goal_reachable ? AdmissionDecision::kWait
                               : AdmissionDecision::kRefuse;
    }
    if (service_time <= query.latency_goal_time_left)
      return AdmissionDecision::kSend;
    if (is_goal_reachable) return AdmissionDecision::kWait;
    const bool has_spare_fast_slots =
        input.queued_work == Duration::zero() &&
        input.occupancy.free_fast_slots >=
            kFreeShareKeptForTimely * input.occupancy.fast_slots;
    if (has_spare_fast_slots) return AdmissionDecision::kSend;
  }
  if (!is_goal_reachable) {
    const Duration max_queue_time =
        Scaled(query.latency_goal, kLateQueueTimeShare);
    return input.queue_time < max_queue_time && query.time_left > reserve
               ? AdmissionDecision::kWait
               : AdmissionDecision::kRefuse;
  }
  // The servers complete about `fast_slots` requests per typical service time;
  // the dispatchers of all zones share this throughput.
  constexpr double kMinSlots = 0.5;  // avoids a division by zero
  const double slots =
      input.occupancy.fast_slots /
      static_cast<double>(std::max<std::size_t>(input.dispatcher_count, 1));
  return Scaled(input.queued_work, 1 / std::max(slots, kMinSlots)) > slack
             ? AdmissionDecision::kRefuse
             : AdmissionDecision::kWait;
}

Duration AdmissionControl::RetryAfter(Duration time_left, double draw) {
  constexpr double kMaxDelayShare = 0.33;  // of the time left
  constexpr double kDelaySpread = 0.4;     // share of the delay that varies
  return Scaled(std::max(time_left, kMinRetryAfter),
                kMaxDelayShare * (1 - kDelaySpread * draw));
}

}  // namespace dogwood
