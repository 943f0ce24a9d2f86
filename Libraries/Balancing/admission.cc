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
  const Duration reserve = Scaled(query.usual_work, kWorkReserve);
  const Duration slack = query.goal_left - reserve;
  const bool can_be_in_time = slack > Duration::zero();
  if (input.is_hedge) {
    // Once the goal has passed, an answer in time at all is worth a free
    // server.
    const Duration left =
        query.goal_left > Duration::zero() ? query.goal_left : query.time_left;
    const bool is_worth_it =
        input.placement &&
        Scaled(query.usual_work, input.placement->slowdown) <= left &&
        input.occupancy.free_fast_slots >=
            kFreePartForHedges * input.occupancy.fast_slots;
    return is_worth_it ? AdmissionVerdict::kSend : AdmissionVerdict::kRefuse;
  }
  if (input.placement) {
    const Duration work = Scaled(query.usual_work, input.placement->slowdown);
    if (work > query.time_left) {
      return can_be_in_time ? AdmissionVerdict::kWait
                            : AdmissionVerdict::kRefuse;
    }
    if (work <= query.goal_left) return AdmissionVerdict::kSend;
    if (can_be_in_time) return AdmissionVerdict::kWait;
    const bool leaves_room =
        input.waiting_before == 0 &&
        input.occupancy.free_fast_slots >=
            kFreePartForTimely * input.occupancy.fast_slots;
    if (leaves_room) return AdmissionVerdict::kSend;
  }
  if (!can_be_in_time) {
    const Duration most = Scaled(query.goal, kLateWait);
    return input.waited < most && query.time_left > reserve
               ? AdmissionVerdict::kWait
               : AdmissionVerdict::kRefuse;
  }
  // The servers finish about fast slots / usual work requests a second, of
  // which this dispatcher's zone gets its share.
  const double slots =
      input.occupancy.fast_slots /
      static_cast<double>(std::max<std::size_t>(input.dispatcher_count, 1));
  const double wait_for_turn =
      static_cast<double>(input.waiting_before) / std::max(slots, 0.5);
  return Scaled(query.usual_work, wait_for_turn) > slack
             ? AdmissionVerdict::kRefuse
             : AdmissionVerdict::kWait;
}

Duration Admission::RetryAfter(Duration callers_time_left, double draw) {
  constexpr double kLongestPart = 0.33;  // of the time left
  constexpr double kSpread = 0.4;
  return Scaled(std::max(callers_time_left, kRetrySoon),
                kLongestPart * (1 - kSpread * draw));
}

}  // namespace dogwood
