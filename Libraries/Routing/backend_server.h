#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Libraries/Routing/backend_life_cycle.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// What this host knows of one backend server: its life cycle, slow-start step,
// adaptive limit and recent latency. Owns all changes of that state.
class BackendServer {
 public:
  enum class Change : std::uint8_t { kNone, kShared };

  BackendServer(RouterServer configuration, BackendState initial,
                const RouterOptions& options);

  const RouterServer& configuration() const { return configuration_; }
  // Applies new settings. A server that returns from being out starts cold.
  Change Configure(const RouterServer& configuration);

  // Takes in what one response or failed attempt showed. kShared when peers
  // must hear of the new state().
  Change Observe(const RouterObservation& observation, Duration service_median,
                 TimePoint now);
  // What the health endpoint says: it can only bring a server from down or
  // draining to cold, or start draining.
  enum class Health : std::uint8_t { kReady, kDraining };
  Change ObserveHealth(Health health);

  // Takes in a peer's state. kShared when this host knows something that the
  // sender does not and must tell it.
  Change Merge(const ServerState& state);

  ServerState state() const;
  BackendState life_cycle_state() const { return life_cycle_.state(); }

  // Slots with an index below this number may start new work.
  std::uint32_t usable_slots() const { return usable_slots_; }
  // Recent latency relative to the service's: mean of log2 of the ratio.
  double latency_score() const { return latency_score_; }
  std::uint32_t adaptive_limit() const { return adaptive_limit_; }
  std::uint32_t step() const { return step_; }
  std::uint64_t sequence() const { return sequence_; }
  TimePoint last_evidence() const { return last_evidence_; }
  // No state is left to be confirmed by traffic or probes.
  bool is_settled() const { return life_cycle_.state() == BackendState::kFull; }

 private:
  std::uint32_t StepLimit(std::uint32_t step) const;
  bool is_last_step(std::uint32_t step) const {
    return StepLimit(step) >= configuration_.slots;
  }
  Change ObserveStartId(std::string_view start_id);
  Change ObserveAnswer(Duration latency, Duration service_median,
                       TimePoint now);
  Change UpdateAdaptiveLimit(TimePoint now);
  // A sign of a cold start.
  Change FallToCold();
  Change Raise();
  void Adopt(const ServerState& state);
  void UpdateUsableSlots();

  RouterServer configuration_;
  const RouterOptions* options_;
  BackendLifeCycle life_cycle_;
  std::string start_id_;
  std::string previous_start_id_;
  std::uint64_t sequence_ = 0;
  std::uint32_t step_ = 0;
  std::uint32_t adaptive_limit_;
  std::uint32_t usable_slots_ = 0;
  std::uint32_t normal_responses_ = 0;
  std::uint32_t slow_responses_ = 0;
  std::uint32_t refused_connections_ = 0;
  std::uint32_t responses_since_adaptation_ = 0;
  double latency_score_ = 0;
  double adaptation_score_ = 0;
  bool has_step_start_ = false;
  TimePoint step_started_{};
  TimePoint slow_since_{};
  TimePoint refused_since_{};
  TimePoint adapted_{};
  TimePoint last_evidence_{};
};

}  // namespace dogwood
