#include "Libraries/Balancing/rollout.h"

#include <algorithm>
#include <cmath>

namespace dogwood {
namespace {

// Part of the old version's slots that the new one needs to carry all requests.
constexpr double kMinTargetSlotShare = 0.6;

// So many bad responses of a single server count against its version all the
// same: at low load a new version's requests reach one server only. Half of the
// number after which a version must get nothing more.
constexpr std::uint64_t kMaxBadOfOneServer = 25;

bool IsBadKind(const RolloutEvidence::Kind& kind) {
  const VersionCounts& target = kind.target;
  if (target.bad < RolloutEvaluator::kMinBadResponses) return false;
  const auto target_requests = static_cast<double>(target.requests);
  const double target_rate = static_cast<double>(target.bad) / target_requests;
  // One bad response more than was seen, so that few requests of the old
  // version do not prove that it has none.
  const double old_requests = static_cast<double>(kind.old.requests) + 1;
  const double old_rate =
      (static_cast<double>(kind.old.bad) + 1) / old_requests;
  const double excess = target_rate - std::min(old_rate, 1.0);
  const double variance = target_rate * (1 - target_rate) / target_requests +
                          old_rate * std::max(1 - old_rate, 0.0) / old_requests;
  return excess > RolloutEvaluator::kMinExcessRate &&
         excess > RolloutEvaluator::kMinStandardErrors * std::sqrt(variance);
}

}  // namespace

void RolloutEvidence::Add(const RolloutEvidence& other) {
  for (const auto& [key, kind] : other.kinds) {
    kinds[key].target += kind.target;
    kinds[key].old += kind.old;
  }
  bad_target_servers.insert(other.bad_target_servers.begin(),
                            other.bad_target_servers.end());
  old_in_flight += other.old_in_flight;
}

VersionCounts RolloutEvidence::TargetTotal() const {
  VersionCounts total;
  for (const auto& [key, kind] : kinds) total += kind.target;
  return total;
}

bool RolloutEvaluator::IsBad(const RolloutEvidence& evidence) {
  std::uint64_t bad_responses = 0;
  for (const auto& [key, kind] : evidence.kinds)
    bad_responses += kind.target.bad;
  if (evidence.bad_target_servers.size() < kMinBadServers &&
      bad_responses < kMaxBadOfOneServer) {
    return false;
  }
  return std::any_of(evidence.kinds.begin(), evidence.kinds.end(),
                     [](const auto& item) { return IsBadKind(item.second); });
}

RolloutPhase RolloutEvaluator::Decide(const Input& input,
                                      const RolloutEvidence& evidence) {
  if (IsFinal(input.phase)) return input.phase;
  if (IsBad(evidence)) return RolloutPhase::kRolledBack;
  if (input.phase == RolloutPhase::kHold) return RolloutPhase::kCanary;
  const double part = std::chrono::duration<double>(input.elapsed) /
                      std::max<Duration>(input.duration, Duration(1));
  if (input.phase == RolloutPhase::kCanary) {
    const bool has_evidence =
        evidence.TargetTotal().requests >= kMinGoodRequests;
    const bool has_room =
        input.target_slots >= kMinTargetSlotShare * input.old_slots;
    if (has_evidence && has_room && part >= kShiftAt)
      return RolloutPhase::kShift;
    // Not known to be good in time.
    return part >= 1 ? RolloutPhase::kRolledBack : RolloutPhase::kCanary;
  }
  if (input.shift_elapsed < kMinShiftTime) return RolloutPhase::kShift;
  return evidence.old_in_flight == 0 || part >= kCompleteBy
             ? RolloutPhase::kCompleted
             : RolloutPhase::kShift;
}

}  // namespace dogwood
