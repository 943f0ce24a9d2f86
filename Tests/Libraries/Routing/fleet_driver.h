#pragma once

#include <set>

#include "Tests/Libraries/Routing/fleet_model.h"

namespace dogwood {

// Changes who is alive; each host's view follows after its own random delay, up
// to `divergence`.
class FleetDriver {
 public:
  FleetDriver(FleetModel& model, Duration divergence)
      : model_(&model), divergence_(divergence) {
    for (std::uint32_t host = 0; host < model.options().hosts; ++host) {
      alive_.insert(host);
    }
  }

  const std::set<std::uint32_t>& alive() const { return alive_; }

  // Only these hosts start; to be called before any load.
  void StartWith(const std::set<std::uint32_t>& alive) {
    model_->StartOver(alive);
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
          0, divergence_.count())(model_->engine()));
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
  // The host starts or starts again with the newest view.
  void Join(std::uint32_t host, StartRule rule = StartRule::kNewHost) {
    alive_.insert(host);
    model_->SetView(host, alive_);
    model_->Restart(host, rule);
    SetAlive(host, true);
  }
  // The host ends at once; peers notice after the suspicion time.
  void Crash(std::uint32_t host) {
    model_->Crash(host);
    model_->events().After(kSuspicion, [this, host] { SetAlive(host, false); });
  }
  // Peers remove a host that is paused for longer than the suspicion time.
  void Pause(std::uint32_t host, Duration duration) {
    model_->Pause(host, duration);
    if (duration <= kSuspicion) return;
    model_->events().After(kSuspicion, [this, host] { SetAlive(host, false); });
    model_->events().After(duration, [this, host] { SetAlive(host, true); });
  }

  static constexpr Duration kSuspicion = std::chrono::milliseconds(1200);

 private:
  FleetModel* model_;
  Duration divergence_;
  std::set<std::uint32_t> alive_;
};

}  // namespace dogwood
