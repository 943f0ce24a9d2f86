#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Libraries/Routing/backend_server_lifecycle.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// This host's view of one backend server: lifecycle state, slow-start step,
// adaptive concurrency limit and recent latency. All transitions of that state
// happen here.
class BackendServer {
 public:
  enum class Change : std::uint8_t { kNone, kMustPublish };

  BackendServer(RouterServer configuration, LifecycleState initial,
                const RouterOptions& options);

  const RouterServer& configuration() const { return configuration_; }
  // Applies a new configuration. A server that returns to rotation restarts
  // slow start.
  Change Configure(const RouterServer& configuration);

  // Updates the state from one response or failed attempt. Returns kMustPublish
  // when the new state() must be sent to the peers.
  Change Observe(const AttemptObservation& observation,
                 Duration service_median_latency, TimePoint now);
  // Result of the health endpoint. It moves a server from down or draining to
  // cold, or starts draining, and has no other effect.
  enum class Health : std::uint8_t { kReady, kDraining };
  Change ObserveHealth(Health health);

  // Merges a state received from a peer. Returns kMustPublish when this host
  // has information that the sender lacks.
  Change Merge(const SharedServerState& state);

  SharedServerState state() const;
  LifecycleState lifecycle_state() const { return lifecycle_.state(); }

  // Number of slots that may start requests; these are the slots with a lower
  // index.
  std::uint32_t usable_slots() const { return usable_slots_; }
  // Moving average of log2(latency / median latency of the service).
  double latency_score() const { return latency_score_; }
  std::uint32_t adaptive_limit() const { return adaptive_limit_; }
  std::uint32_t step() const { return step_; }
  std::uint64_t sequence() const { return sequence_; }
  TimePoint last_observed_at() const { return last_observed_at_; }
  // True when the server runs at full concurrency, so its state needs no
  // further traffic or probes.
  bool is_settled() const {
    return lifecycle_.state() == LifecycleState::kFull;
  }

 private:
  std::uint32_t SlowStartLimit(std::uint32_t step) const;
  bool is_last_step(std::uint32_t step) const {
    return SlowStartLimit(step) >= configuration_.slots;
  }
  Change ObserveStartId(std::string_view start_id);
  Change ObserveResponseLatency(Duration latency,
                                Duration service_median_latency, TimePoint now);
  Change UpdateAdaptiveLimit(TimePoint now);
  // Returns the server to the cold limit after a detected restart or overload.
  Change RestartSlowStart();
  Change AdvanceSlowStart();
  void ApplyState(const SharedServerState& state);
  void UpdateUsableSlots();

  RouterServer configuration_;
  const RouterOptions* options_;
  BackendServerLifecycle lifecycle_;
  std::string start_id_;
  std::string previous_start_id_;
  std::uint64_t sequence_ = 0;
  std::uint32_t step_ = 0;
  std::uint32_t adaptive_limit_;
  std::uint32_t usable_slots_ = 0;
  std::uint32_t normal_responses_ = 0;
  std::uint32_t consecutive_slow_responses_ = 0;
  std::uint32_t consecutive_refused_connections_ = 0;
  std::uint32_t responses_since_adaptation_ = 0;
  double latency_score_ = 0;
  double adaptation_score_ = 0;
  bool has_step_started_ = false;
  TimePoint step_started_at_{};
  TimePoint slow_since_{};
  TimePoint refused_since_{};
  TimePoint limit_updated_at_{};
  TimePoint last_observed_at_{};
};

}  // namespace dogwood
