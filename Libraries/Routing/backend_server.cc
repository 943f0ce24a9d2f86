#include "Libraries/Routing/backend_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dogwood {
namespace {

// Responses slower than this multiple of the service's median latency count as
// slow, others as normal.
constexpr double kSlowResponseRatio = 4;
// A run of at least this many slow responses over at least this time indicates
// a cold start. Backend servers regularly slow down for about 50 ms, and
// log-normal service times exceed four medians in 1 of 12 responses, so shorter
// runs indicate nothing.
constexpr std::uint32_t kColdStartSlowResponses = 5;
constexpr Duration kColdStartSlowPeriod = std::chrono::milliseconds(200);
// A server is down after this many consecutive refused connections over at
// least this time.
constexpr std::uint32_t kDownRefusedConnections = 3;
constexpr Duration kDownRefusalPeriod = std::chrono::milliseconds(100);

// Weight of the newest response in latency_score.
constexpr double kLatencyScoreWeight = 0.2;

// Adaptive concurrency limit: additive increase, multiplicative decrease (AIMD)
// on the moving average of log2(latency / median latency of the service).
constexpr double kAdaptationScoreWeight = 0.05;
constexpr double kDecreaseThreshold = 1.0;   // log2; twice the median
constexpr double kIncreaseThreshold = 0.58;  // log2; 1.5 times the median
constexpr double kDecreaseFactor = 0.75;
constexpr std::uint32_t kAdaptationMinimumResponses = 16;
constexpr Duration kAdaptationInterval = std::chrono::milliseconds(500);

}  // namespace

BackendServer::BackendServer(RouterServer configuration, LifecycleState initial,
                             const RouterOptions& options)
    : configuration_(std::move(configuration)),
      options_(&options),
      lifecycle_(initial),
      adaptive_limit_(std::min(configuration_.slots, kMaximumSlots)) {
  configuration_.slots = std::min(configuration_.slots, kMaximumSlots);
  while (initial == LifecycleState::kFull && !is_last_step(step_)) ++step_;
  UpdateUsableSlots();
}

std::uint32_t BackendServer::SlowStartLimit(std::uint32_t step) const {
  // 1, 2, 4, 6 slots, then doubling, but at least the cold limit.
  static constexpr std::uint32_t kInitialStepSlots[] = {1, 2, 4, 6};
  std::uint32_t limit = step < 4 ? kInitialStepSlots[step] : kMaximumSlots;
  if (step >= 4 && step < 8) limit = 6U << (step - 3);
  return std::max(limit, options_->cold_limit);
}

BackendServer::Change BackendServer::Configure(
    const RouterServer& configuration) {
  const bool is_returning =
      configuration_.is_out_of_rotation && !configuration.is_out_of_rotation;
  const std::uint32_t old_slots = configuration_.slots;
  configuration_ = configuration;
  configuration_.slots = std::min(configuration_.slots, kMaximumSlots);
  if (adaptive_limit_ >= old_slots) adaptive_limit_ = configuration_.slots;
  adaptive_limit_ = std::min(adaptive_limit_, configuration_.slots);
  if (lifecycle_.state() == LifecycleState::kFull) {
    while (!is_last_step(step_)) ++step_;
  }
  Change change = Change::kNone;
  if (is_returning) change = RestartSlowStart();
  UpdateUsableSlots();
  return change;
}

BackendServer::Change BackendServer::RestartSlowStart() {
  normal_responses_ = 0;
  consecutive_slow_responses_ = 0;
  has_step_started_ = false;
  const LifecycleState before = lifecycle_.state();
  lifecycle_.Process(LifecycleEvent::kColdStartDetected);
  if (lifecycle_.state() == before) return Change::kNone;
  step_ = 0;
  ++sequence_;
  UpdateUsableSlots();
  return Change::kMustPublish;
}

BackendServer::Change BackendServer::ObserveStartId(std::string_view start_id) {
  // A late response of the previous server process does not indicate a restart.
  if (start_id.empty() || start_id == start_id_ ||
      start_id == previous_start_id_) {
    return Change::kNone;
  }
  const bool is_first = start_id_.empty();
  previous_start_id_ = std::exchange(start_id_, std::string(start_id));
  if (is_first) return Change::kNone;
  if (RestartSlowStart() == Change::kNone) ++sequence_;
  return Change::kMustPublish;
}

BackendServer::Change BackendServer::Observe(
    const AttemptObservation& observation, Duration service_median_latency,
    TimePoint now) {
  using Result = AttemptObservation::Result;
  switch (observation.result) {
    case Result::kNotSent:
    case Result::kCancelled:
    case Result::kConnectionLost:
    case Result::kInvalidResponse:
      return Change::kNone;
    case Result::kConnectFailed: {
      last_observed_at_ = now;
      if (consecutive_refused_connections_++ == 0) refused_since_ = now;
      Change change = RestartSlowStart();
      if (consecutive_refused_connections_ >= kDownRefusedConnections &&
          now - refused_since_ >= kDownRefusalPeriod &&
          lifecycle_.state() != LifecycleState::kDown) {
        lifecycle_.Process(LifecycleEvent::kUnreachable);
        ++sequence_;
        UpdateUsableSlots();
        change = Change::kMustPublish;
      }
      return change;
    }
    case Result::kShedNotRun: {
      last_observed_at_ = now;
      consecutive_refused_connections_ = 0;
      const Change change = ObserveStartId(observation.start_id);
      return RestartSlowStart() == Change::kMustPublish ? Change::kMustPublish
                                                        : change;
    }
    case Result::kAnswered:
      break;
  }
  last_observed_at_ = now;
  consecutive_refused_connections_ = 0;
  if (observation.start_id == previous_start_id_ &&
      !observation.start_id.empty()) {
    return Change::kNone;
  }
  Change change = Change::kNone;
  if (lifecycle_.state() == LifecycleState::kDown) {
    lifecycle_.Process(LifecycleEvent::kReachable);
    step_ = 0;
    ++sequence_;
    UpdateUsableSlots();
    change = Change::kMustPublish;
  }
  if (ObserveStartId(observation.start_id) == Change::kMustPublish) {
    return Change::kMustPublish;
  }
  return ObserveResponseLatency(observation.latency, service_median_latency,
                                now) == Change::kMustPublish
             ? Change::kMustPublish
             : change;
}

BackendServer::Change BackendServer::ObserveResponseLatency(
    Duration latency, Duration service_median_latency, TimePoint now) {
  if (service_median_latency <= Duration::zero()) return Change::kNone;
  const double ratio =
      std::max(1e-6, static_cast<double>(latency.count()) /
                         static_cast<double>(service_median_latency.count()));
  const double log_ratio = std::log2(ratio);
  latency_score_ += kLatencyScoreWeight * (log_ratio - latency_score_);
  adaptation_score_ += kAdaptationScoreWeight * (log_ratio - adaptation_score_);
  ++responses_since_adaptation_;
  if (ratio > kSlowResponseRatio) {
    normal_responses_ = 0;
    if (consecutive_slow_responses_++ == 0) slow_since_ = now;
    if (consecutive_slow_responses_ >= kColdStartSlowResponses &&
        now - slow_since_ >= kColdStartSlowPeriod) {
      return RestartSlowStart();
    }
    return UpdateAdaptiveLimit(now);
  }
  consecutive_slow_responses_ = 0;
  if (lifecycle_.state() == LifecycleState::kCold ||
      lifecycle_.state() == LifecycleState::kWarming) {
    if (!has_step_started_) {
      has_step_started_ = true;
      step_started_at_ = now;
    }
    ++normal_responses_;
    if (normal_responses_ >= options_->responses_per_slow_start_step *
                                 std::max(1U, usable_slots_) &&
        now - step_started_at_ >= options_->minimum_slow_start_step_time) {
      return AdvanceSlowStart();
    }
  }
  return UpdateAdaptiveLimit(now);
}

BackendServer::Change BackendServer::UpdateAdaptiveLimit(TimePoint now) {
  if (responses_since_adaptation_ < kAdaptationMinimumResponses ||
      now - limit_updated_at_ < kAdaptationInterval) {
    return Change::kNone;
  }
  std::uint32_t limit = adaptive_limit_;
  if (adaptation_score_ > kDecreaseThreshold) {
    limit = std::max(
        1U, static_cast<std::uint32_t>(kDecreaseFactor * adaptive_limit_));
  } else if (adaptation_score_ < kIncreaseThreshold) {
    limit = std::min(configuration_.slots, adaptive_limit_ + 1);
  }
  responses_since_adaptation_ = 0;
  limit_updated_at_ = now;
  if (limit == adaptive_limit_) return Change::kNone;
  adaptive_limit_ = limit;
  ++sequence_;
  UpdateUsableSlots();
  return Change::kMustPublish;
}

BackendServer::Change BackendServer::AdvanceSlowStart() {
  normal_responses_ = 0;
  has_step_started_ = false;
  if (is_last_step(step_ + 1)) {
    lifecycle_.Process(LifecycleEvent::kSlowStartCompleted);
  } else {
    lifecycle_.Process(LifecycleEvent::kStepCompleted);
  }
  ++step_;
  ++sequence_;
  UpdateUsableSlots();
  return Change::kMustPublish;
}

BackendServer::Change BackendServer::ObserveHealth(Health health) {
  const LifecycleState before = lifecycle_.state();
  lifecycle_.Process(health == Health::kReady ? LifecycleEvent::kReachable
                                              : LifecycleEvent::kDrainStarted);
  if (lifecycle_.state() == before) return Change::kNone;
  step_ = 0;
  consecutive_refused_connections_ = 0;
  ++sequence_;
  UpdateUsableSlots();
  return Change::kMustPublish;
}

SharedServerState BackendServer::state() const {
  return {.start_id = start_id_,
          .step = step_,
          .adaptive_limit = adaptive_limit_,
          .is_down = lifecycle_.state() == LifecycleState::kDown,
          .is_draining = lifecycle_.state() == LifecycleState::kDraining,
          .sequence = sequence_};
}

BackendServer::Change BackendServer::Merge(const SharedServerState& state) {
  if (state.sequence > sequence_) {
    ApplyState(state);
    return Change::kNone;
  }
  // A host that joined recently may report a restart with a low sequence.
  if (!state.start_id.empty() && !start_id_.empty() &&
      state.start_id != start_id_ && state.start_id != previous_start_id_) {
    const std::uint64_t sequence = sequence_ + 1;
    SharedServerState renumbered = state;
    renumbered.step = std::min(state.step, step_);
    ApplyState(renumbered);
    sequence_ = sequence;
    return Change::kMustPublish;
  }
  if (state.sequence < sequence_) return Change::kMustPublish;
  if (state.step < step_ || state.is_down) ApplyState(state);
  if (state.adaptive_limit < adaptive_limit_) {
    adaptive_limit_ = std::max(1U, state.adaptive_limit);
    UpdateUsableSlots();
  }
  return Change::kNone;
}

void BackendServer::ApplyState(const SharedServerState& state) {
  if (!state.start_id.empty() && state.start_id != start_id_) {
    previous_start_id_ = std::exchange(start_id_, state.start_id);
  }
  sequence_ = std::max(sequence_, state.sequence);
  normal_responses_ = 0;
  consecutive_slow_responses_ = 0;
  has_step_started_ = false;
  step_ = state.step;
  adaptive_limit_ =
      std::clamp(state.adaptive_limit, 1U, std::max(1U, configuration_.slots));
  lifecycle_.Process(LifecycleEvent::kReachable);
  lifecycle_.Process(LifecycleEvent::kColdStartDetected);
  if (state.is_down) {
    lifecycle_.Process(LifecycleEvent::kUnreachable);
  } else if (state.is_draining) {
    lifecycle_.Process(LifecycleEvent::kDrainStarted);
  } else if (is_last_step(step_)) {
    lifecycle_.Process(LifecycleEvent::kSlowStartCompleted);
  } else if (step_ > 0) {
    lifecycle_.Process(LifecycleEvent::kStepCompleted);
  }
  UpdateUsableSlots();
}

void BackendServer::UpdateUsableSlots() {
  const LifecycleState state = lifecycle_.state();
  if (configuration_.is_out_of_rotation || state == LifecycleState::kDown ||
      state == LifecycleState::kDraining) {
    usable_slots_ = 0;
    return;
  }
  usable_slots_ = std::min(
      {configuration_.slots, configuration_.zone_slots, adaptive_limit_});
  if (state != LifecycleState::kFull) {
    usable_slots_ = std::min(usable_slots_, SlowStartLimit(step_));
  }
}

}  // namespace dogwood
