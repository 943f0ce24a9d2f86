#pragma once

#include <set>

#include "Tests/Libraries/Routing/fleet_simulation.h"

namespace dogwood {

// Changes the set of live hosts. The view of each host follows after a random
// delay of up to `maximum_view_delay`.
class MembershipDriver {
 public:
  MembershipDriver(FleetSimulation& simulation, Duration maximum_view_delay)
      : simulation_(&simulation), maximum_view_delay_(maximum_view_delay) {
    for (std::uint32_t host = 0; host < simulation.options().hosts; ++host) {
      alive_.insert(host);
    }
  }

  const std::set<std::uint32_t>& alive() const { return alive_; }

  // Restarts the fleet with only these hosts. Must be called before any load.
  void StartOnly(const std::set<std::uint32_t>& alive) {
    simulation_->RestartFleet(alive);
    alive_ = alive;
  }
  void SetAlive(std::uint32_t host, bool is_alive) {
    if (is_alive) {
      alive_.insert(host);
    } else {
      alive_.erase(host);
    }
    for (std::uint32_t other = 0; other < simulation_->options().hosts;
         ++other) {
      const Duration delay(std::uniform_int_distribution<std::int64_t>(
          0, maximum_view_delay_.count())(simulation_->engine()));
      simulation_->events().After(delay, [this, other, host] {
        std::set<std::uint32_t> view = simulation_->view(other);
        if (alive_.contains(host)) {
          view.insert(host);
        } else {
          view.erase(host);
        }
        if (view != simulation_->view(other)) simulation_->SetView(other, view);
      });
    }
  }
  // Starts or restarts a host with the current view.
  void Join(std::uint32_t host, HostStartKind rule = HostStartKind::kNewHost) {
    alive_.insert(host);
    simulation_->SetView(host, alive_);
    simulation_->Restart(host, rule);
    SetAlive(host, true);
  }
  // Stops a host. Its peers detect that after the failure detection delay.
  void Crash(std::uint32_t host) {
    simulation_->Crash(host);
    simulation_->events().After(kFailureDetectionDelay,
                                [this, host] { SetAlive(host, false); });
  }
  // Pauses a host. Its peers remove it when the pause exceeds the failure
  // detection delay.
  void Pause(std::uint32_t host, Duration duration) {
    simulation_->Pause(host, duration);
    if (duration <= kFailureDetectionDelay) return;
    simulation_->events().After(kFailureDetectionDelay,
                                [this, host] { SetAlive(host, false); });
    simulation_->events().After(duration,
                                [this, host] { SetAlive(host, true); });
  }

  static constexpr Duration kFailureDetectionDelay =
      std::chrono::milliseconds(1200);

 private:
  FleetSimulation* simulation_;
  Duration maximum_view_delay_;
  std::set<std::uint32_t> alive_;
};

}  // namespace dogwood
