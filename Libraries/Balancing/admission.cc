#include "Libraries/Balancing/admission.h"

#include <algorithm>

namespace dogwood {
namespace {

Duration Scaled(Duration duration, double by) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(duration.count()) * by));
}

}  // namespace

AdmissionVerdict Admission::Decide(const Input& input) {
  const PlacementQuery& query = input.query;
  const Duration reserve = Scaled(query.usual_work, kServiceTimeReserve);
  const Duration slack = query.goal_left - reserve;
  const bool is_goal_reachable = slack > Duration::zero();
  if (input.is_hedge) {
    // After the goal has passed, a hedge only has to meet the deadline.
    const Duration left =
        query.goal_left > Duration::zero() ? query.goal_left : query.time_left;
    const bool is_useful =
        input.placement &&
        Scaled(query.usual_work, input.placement->slowdown) <= left &&
        input.occupancy.free_fast_slots >=
            kMinimumFreeShareForHedges * input.occupancy.fast_slots;
    return is_useful ? AdmissionVerdict::kSend : AdmissionVerdict::kRefuse;
  }
  if (input.placement) {
    const Duration service_time =
        Scaled(query.usual_work, input.placement->slowdown);
    if (service_time > query.time_left) {
      return is_goal_reachable ? AdmissionVerdict::kWait
                               : AdmissionVerdict::kRefuse;
    }
    if (service_time <= query.goal_left) return AdmissionVerdict::kSend;
    if (is_goal_reachable) return AdmissionVerdict::kWait;
    const bool has_spare_fast_slots =
        input.queued_ahead == 0 &&
        input.occupancy.free_fast_slots >=
            kFreeShareKeptForTimely * input.occupancy.fast_slots;
    if (has_spare_fast_slots) return AdmissionVerdict::kSend;
  }
  if (!is_goal_reachable) {
    const Duration maximum_queue_time = Scaled(query.goal, kLateQueueTimeShare);
    return input.queue_time < maximum_queue_time && query.time_left > reserve
               ? AdmissionVerdict::kWait
               : AdmissionVerdict::kRefuse;
  }
  // The servers complete about `fast_slots` requests per usual service time;
  // the dispatchers of all zones share this throughput.
  constexpr double kMinimumSlots = 0.5;  // avoids a division by zero
  const double slots =
      input.occupancy.fast_slots /
      static_cast<double>(std::max<std::size_t>(input.dispatcher_count, 1));
  const double queued_service_times =
      static_cast<double>(input.queued_ahead) / std::max(slots, kMinimumSlots);
  return Scaled(query.usual_work, queued_service_times) > slack
             ? AdmissionVerdict::kRefuse
             : AdmissionVerdict::kWait;
}

Duration Admission::RetryAfter(Duration remaining_time, double draw) {
  constexpr double kMaximumDelayShare = 0.33;  // of the remaining time
  constexpr double kDelaySpread = 0.4;         // share of the delay that varies
  return Scaled(std::max(remaining_time, kRetrySoon),
                kMaximumDelayShare * (1 - kDelaySpread * draw));
}

}  // namespace dogwood
