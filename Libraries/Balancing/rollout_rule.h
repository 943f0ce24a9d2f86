#pragma once

#include <algorithm>
#include <string>

#include "Libraries/Balancing/rollout.h"

namespace dogwood {

// Which versions of a service's servers may get requests from this host.
class RolloutRule {
 public:
  // Part of the bound on the exposure of a new version that is used, as the
  // bound counts requests that reach servers, over all hosts.
  static constexpr double kUsedExposureShare = 0.6;
  // Unused exposure that is kept.
  static constexpr double kMaxUnusedExposure = 4;

  RolloutRule() = default;
  RolloutRule(std::string target, RolloutPhase phase)
      : target_(std::move(target)), phase_(phase) {}

  bool is_active() const { return !target_.empty(); }
  const std::string& target() const { return target_; }
  RolloutPhase phase() const { return phase_; }
  bool is_target(const ServerRegistration& server) const {
    return server.version == target_;
  }

  // Whether a server may get a request. `has_old_servers` tells whether servers
  // of other versions are registered: without any, an order that this host has
  // heard nothing more of must have been completed.
  bool allows(const ServerRegistration& server, bool has_old_servers) const {
    if (!is_active()) return true;
    switch (phase_) {
      case RolloutPhase::kHold:
        return !is_target(server) || !has_old_servers;
      case RolloutPhase::kCanary:
        return !is_target(server) || exposure_ >= 1;
      case RolloutPhase::kShift:
      case RolloutPhase::kCompleted:
        return is_target(server);
      case RolloutPhase::kRolledBack:
        return !is_target(server);
    }
    return true;
  }
  // Whether the next request goes to the target version if it has room, so that
  // there is evidence.
  bool prefers_target() const {
    return phase_ == RolloutPhase::kCanary && exposure_ >= 1;
  }
  // Counts a request that was sent.
  void OnSent(const ServerRegistration& server, double exposure_share) {
    if (phase_ != RolloutPhase::kCanary) return;
    exposure_ += kUsedExposureShare * exposure_share;
    if (is_target(server)) exposure_ -= 1;
    exposure_ = std::min(exposure_, kMaxUnusedExposure);
  }

 private:
  std::string target_;
  RolloutPhase phase_ = RolloutPhase::kHold;
  double exposure_ = 0;  // requests that the target version may get now
};

}  // namespace dogwood
