#include "Libraries/Routing/backend_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dogwood {
namespace {

// A response slower than this many service medians counts towards a sign of a
// cold start; one below it is normal.
constexpr double kSlowRatio = 4;
// Backend servers regularly slow down for about 50 ms, and log-normal service
// times pass four medians in 1 of 12 responses; only a longer run is a sign.
constexpr std::uint32_t kSlowResponses = 5;
constexpr Duration kSlowTime = std::chrono::milliseconds(200);
// Refused connections in a row, over at least this time, that mean down.
constexpr std::uint32_t kRefusedConnections = 3;
constexpr Duration kRefusedTime = std::chrono::milliseconds(100);

// Weight of the newest response in the recent latency used for placement.
constexpr double kLatencyWeight = 0.2;

// Adaptive limit: additive increase and multiplicative decrease on the mean of
// log2(latency / service median), at most once per interval.
constexpr double kAdaptationWeight = 0.05;
constexpr double kDecreaseAbove = 1.0;   // twice the service median
constexpr double kIncreaseBelow = 0.58;  // 1.5 times the service median
constexpr double kDecreaseFactor = 0.75;
constexpr std::uint32_t kAdaptationResponses = 16;
constexpr Duration kAdaptationInterval = std::chrono::milliseconds(500);

}  // namespace

BackendServer::BackendServer(RouterServer configuration, BackendState initial,
                             const RouterOptions& options)
    : configuration_(std::move(configuration)),
      options_(&options),
      life_cycle_(initial),
      adaptive_limit_(std::min(configuration_.slots, kMaximumSlots)) {
  configuration_.slots = std::min(configuration_.slots, kMaximumSlots);
  while (initial == BackendState::kFull && !is_last_step(step_)) ++step_;
  UpdateUsableSlots();
}

std::uint32_t BackendServer::StepLimit(std::uint32_t step) const {
  // 1, 2, 4, 6, then doubling, starting from the cold limit.
  static constexpr std::uint32_t kFirstSteps[] = {1, 2, 4, 6};
  std::uint32_t limit = step < 4 ? kFirstSteps[step] : kMaximumSlots;
  if (step >= 4 && step < 8) limit = 6U << (step - 3);
  return std::max(limit, options_->cold_limit);
}

BackendServer::Change BackendServer::Configure(
    const RouterServer& configuration) {
  const bool is_returning = configuration_.is_out && !configuration.is_out;
  const std::uint32_t old_slots = configuration_.slots;
  configuration_ = configuration;
  configuration_.slots = std::min(configuration_.slots, kMaximumSlots);
  if (adaptive_limit_ >= old_slots) adaptive_limit_ = configuration_.slots;
  adaptive_limit_ = std::min(adaptive_limit_, configuration_.slots);
  if (life_cycle_.state() == BackendState::kFull) {
    while (!is_last_step(step_)) ++step_;
  }
  Change change = Change::kNone;
  if (is_returning) change = FallToCold();
  UpdateUsableSlots();
  return change;
}

BackendServer::Change BackendServer::FallToCold() {
  normal_responses_ = 0;
  slow_responses_ = 0;
  has_step_start_ = false;
  const BackendState before = life_cycle_.state();
  life_cycle_.Process(BackendEvent::kColdSign);
  if (life_cycle_.state() == before) return Change::kNone;
  step_ = 0;
  ++sequence_;
  UpdateUsableSlots();
  return Change::kShared;
}

BackendServer::Change BackendServer::ObserveStartId(std::string_view start_id) {
  // A response of the previous start that arrives late is no sign.
  if (start_id.empty() || start_id == start_id_ ||
      start_id == previous_start_id_) {
    return Change::kNone;
  }
  const bool is_first = start_id_.empty();
  previous_start_id_ = std::exchange(start_id_, std::string(start_id));
  if (is_first) return Change::kNone;
  if (FallToCold() == Change::kNone) ++sequence_;
  return Change::kShared;
}

BackendServer::Change BackendServer::Observe(
    const RouterObservation& observation, Duration service_median,
    TimePoint now) {
  using Result = RouterObservation::Result;
  switch (observation.result) {
    case Result::kNotSent:
    case Result::kCancelled:
    case Result::kConnectionLost:
    case Result::kInvalidResponse:
      return Change::kNone;
    case Result::kConnectFailed: {
      last_evidence_ = now;
      if (refused_connections_++ == 0) refused_since_ = now;
      Change change = FallToCold();
      if (refused_connections_ >= kRefusedConnections &&
          now - refused_since_ >= kRefusedTime &&
          life_cycle_.state() != BackendState::kDown) {
        life_cycle_.Process(BackendEvent::kUnreachable);
        ++sequence_;
        UpdateUsableSlots();
        change = Change::kShared;
      }
      return change;
    }
    case Result::kShedNotRun: {
      last_evidence_ = now;
      refused_connections_ = 0;
      const Change change = ObserveStartId(observation.start_id);
      return FallToCold() == Change::kShared ? Change::kShared : change;
    }
    case Result::kAnswered:
      break;
  }
  last_evidence_ = now;
  refused_connections_ = 0;
  if (observation.start_id == previous_start_id_ &&
      !observation.start_id.empty()) {
    return Change::kNone;
  }
  Change change = Change::kNone;
  if (life_cycle_.state() == BackendState::kDown) {
    life_cycle_.Process(BackendEvent::kReachable);
    step_ = 0;
    ++sequence_;
    UpdateUsableSlots();
    change = Change::kShared;
  }
  if (ObserveStartId(observation.start_id) == Change::kShared) {
    return Change::kShared;
  }
  return ObserveAnswer(observation.latency, service_median, now) ==
                 Change::kShared
             ? Change::kShared
             : change;
}

BackendServer::Change BackendServer::ObserveAnswer(Duration latency,
                                                   Duration service_median,
                                                   TimePoint now) {
  if (service_median <= Duration::zero()) return Change::kNone;
  const double ratio =
      std::max(1e-6, static_cast<double>(latency.count()) /
                         static_cast<double>(service_median.count()));
  const double log_ratio = std::log2(ratio);
  latency_score_ += kLatencyWeight * (log_ratio - latency_score_);
  adaptation_score_ += kAdaptationWeight * (log_ratio - adaptation_score_);
  ++responses_since_adaptation_;
  if (ratio > kSlowRatio) {
    normal_responses_ = 0;
    if (slow_responses_++ == 0) slow_since_ = now;
    if (slow_responses_ >= kSlowResponses && now - slow_since_ >= kSlowTime) {
      return FallToCold();
    }
    return UpdateAdaptiveLimit(now);
  }
  slow_responses_ = 0;
  if (life_cycle_.state() == BackendState::kCold ||
      life_cycle_.state() == BackendState::kWarming) {
    if (!has_step_start_) {
      has_step_start_ = true;
      step_started_ = now;
    }
    ++normal_responses_;
    if (normal_responses_ >=
            options_->responses_per_step * std::max(1U, usable_slots_) &&
        now - step_started_ >= options_->minimum_step_time) {
      return Raise();
    }
  }
  return UpdateAdaptiveLimit(now);
}

BackendServer::Change BackendServer::UpdateAdaptiveLimit(TimePoint now) {
  if (responses_since_adaptation_ < kAdaptationResponses ||
      now - adapted_ < kAdaptationInterval) {
    return Change::kNone;
  }
  std::uint32_t limit = adaptive_limit_;
  if (adaptation_score_ > kDecreaseAbove) {
    limit = std::max(
        1U, static_cast<std::uint32_t>(kDecreaseFactor * adaptive_limit_));
  } else if (adaptation_score_ < kIncreaseBelow) {
    limit = std::min(configuration_.slots, adaptive_limit_ + 1);
  }
  responses_since_adaptation_ = 0;
  adapted_ = now;
  if (limit == adaptive_limit_) return Change::kNone;
  adaptive_limit_ = limit;
  ++sequence_;
  UpdateUsableSlots();
  return Change::kShared;
}

BackendServer::Change BackendServer::Raise() {
  normal_responses_ = 0;
  has_step_start_ = false;
  if (is_last_step(step_ + 1)) {
    life_cycle_.Process(BackendEvent::kWarmedUp);
  } else {
    life_cycle_.Process(BackendEvent::kStepPassed);
  }
  ++step_;
  ++sequence_;
  UpdateUsableSlots();
  return Change::kShared;
}

BackendServer::Change BackendServer::ObserveHealth(Health health) {
  const BackendState before = life_cycle_.state();
  life_cycle_.Process(health == Health::kReady ? BackendEvent::kReachable
                                               : BackendEvent::kDrainStarted);
  if (life_cycle_.state() == before) return Change::kNone;
  step_ = 0;
  refused_connections_ = 0;
  ++sequence_;
  UpdateUsableSlots();
  return Change::kShared;
}

ServerState BackendServer::state() const {
  return {.start_id = start_id_,
          .step = step_,
          .adaptive_limit = adaptive_limit_,
          .is_down = life_cycle_.state() == BackendState::kDown,
          .is_draining = life_cycle_.state() == BackendState::kDraining,
          .sequence = sequence_};
}

BackendServer::Change BackendServer::Merge(const ServerState& state) {
  if (state.sequence > sequence_) {
    Adopt(state);
    return Change::kNone;
  }
  // A host that joined late may report a cold start with a low sequence.
  if (!state.start_id.empty() && !start_id_.empty() &&
      state.start_id != start_id_ && state.start_id != previous_start_id_) {
    const std::uint64_t sequence = sequence_ + 1;
    ServerState renumbered = state;
    renumbered.step = std::min(state.step, step_);
    Adopt(renumbered);
    sequence_ = sequence;
    return Change::kShared;
  }
  if (state.sequence < sequence_) return Change::kShared;
  if (state.step < step_ || state.is_down) Adopt(state);
  if (state.adaptive_limit < adaptive_limit_) {
    adaptive_limit_ = std::max(1U, state.adaptive_limit);
    UpdateUsableSlots();
  }
  return Change::kNone;
}

void BackendServer::Adopt(const ServerState& state) {
  if (!state.start_id.empty() && state.start_id != start_id_) {
    previous_start_id_ = std::exchange(start_id_, state.start_id);
  }
  sequence_ = std::max(sequence_, state.sequence);
  normal_responses_ = 0;
  slow_responses_ = 0;
  has_step_start_ = false;
  step_ = state.step;
  adaptive_limit_ =
      std::clamp(state.adaptive_limit, 1U, std::max(1U, configuration_.slots));
  life_cycle_.Process(BackendEvent::kReachable);
  life_cycle_.Process(BackendEvent::kColdSign);
  if (state.is_down) {
    life_cycle_.Process(BackendEvent::kUnreachable);
  } else if (state.is_draining) {
    life_cycle_.Process(BackendEvent::kDrainStarted);
  } else if (is_last_step(step_)) {
    life_cycle_.Process(BackendEvent::kWarmedUp);
  } else if (step_ > 0) {
    life_cycle_.Process(BackendEvent::kStepPassed);
  }
  UpdateUsableSlots();
}

void BackendServer::UpdateUsableSlots() {
  const BackendState state = life_cycle_.state();
  if (configuration_.is_out || state == BackendState::kDown ||
      state == BackendState::kDraining) {
    usable_slots_ = 0;
    return;
  }
  usable_slots_ = std::min(
      {configuration_.slots, configuration_.zone_slots, adaptive_limit_});
  if (state != BackendState::kFull) {
    usable_slots_ = std::min(usable_slots_, StepLimit(step_));
  }
}

}  // namespace dogwood
