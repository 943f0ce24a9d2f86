#pragma once

#include <set>

#include "Tests/Libraries/Routing/fleet_model.h"

namespace dogwood {

// Changes the set of live hosts. The view of each host follows after a random
// delay of up to `maximum_view_delay`.
class MembershipDriver {
 public:
  MembershipDriver(FleetModel& model, Duration maximum_view_delay)
      : model_(&model), maximum_view_delay_(maximum_view_delay) {
    for (std::uint32_t host = 0; host < model.options().hosts; ++host) {
      alive_.insert(host);
    }
  }

  const std::set<std::uint32_t>& alive() const { return alive_; }

  // Restarts the fleet with only these hosts. Must be called before any load.
  void StartOnly(const std::set<std::uint32_t>& alive) {
    model_->RestartFleet(alive);
    alive_ = alive;
  }
  void SetAlive(std::uint32_t host, bool is_alive) {
    if (is_alive) {
      alive_.insert(host);
    } else {
      alive_.erase(host);
    }
    for (std::uint32_t other = 0; other < model_->options().hosts; ++other) {
      const Duration delay(std::uniform_int_distribution<std::int64_t>(
          0, maximum_view_delay_.count())(model_->engine()));
      model_->events().After(delay, [this, other, host] {
        std::set<std::uint32_t> view = model_->view(other);
        if (alive_.contains(host)) {
          view.insert(host);
        } else {
          view.erase(host);
        }
        if (view != model_->view(other)) model_->SetView(other, view);
      });
    }
  }
  // Starts or restarts a host with the current view.
  void Join(std::uint32_t host, StartRule rule = StartRule::kNewHost) {
    alive_.insert(host);
    model_->SetView(host, alive_);
    model_->Restart(host, rule);
    SetAlive(host, true);
  }
  // Stops a host. Its peers detect that after the failure detection delay.
  void Crash(std::uint32_t host) {
    model_->Crash(host);
    model_->events().After(kFailureDetectionDelay,
                           [this, host] { SetAlive(host, false); });
  }
  // Pauses a host. Its peers remove it when the pause exceeds the failure
  // detection delay.
  void Pause(std::uint32_t host, Duration duration) {
    model_->Pause(host, duration);
    if (duration <= kFailureDetectionDelay) return;
    model_->events().After(kFailureDetectionDelay,
                           [this, host] { SetAlive(host, false); });
    model_->events().After(duration, [this, host] { SetAlive(host, true); });
  }

  static constexpr Duration kFailureDetectionDelay =
      std::chrono::milliseconds(1200);

 private:
  FleetModel* model_;
  Duration maximum_view_delay_;
  std::set<std::uint32_t> alive_;
};

}  // namespace dogwood
