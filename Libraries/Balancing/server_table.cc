#include "Libraries/Balancing/server_table.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {
namespace {

// Returns exp(-age / time_constant).
double Decay(Duration age, Duration time_constant) {
  if (age <= Duration::zero()) return 1;
  return std::exp(-std::chrono::duration<double>(age).count() /
                  std::chrono::duration<double>(time_constant).count());
}

// Weight of one attempt in the moving average of the failure rate.
constexpr double kFailureRateWeight = 0.25;
// Weight of one attempt in the moving averages of the service time ratio.
constexpr double kServiceTimeRatioWeight = 0.05;
// Caps service time ratios: one above this comes from a server that slowed down
// during the attempt, not from a knee.
constexpr double kMaxServiceTimeRatio = 3;
// Cost of a failed attempt in latency goals. A retry takes another goal and
// consumes retry budget; a request that must not be retried is lost.
constexpr double kRetryableFailureCost = 2;
constexpr double kNonRetryableFailureCost = 6;
// Weight of one report in the moving average of a service's slowdown.
constexpr double kSlowdownWeight = 0.02;

}  // namespace

ServerKey ServerKeyOf(const ServerId& server) {
  return ServerKey(HashName(server.value()));
}

std::vector<ServerId> ServerTable::Replace(
    const std::vector<ServerRegistration>& registrations, TimePoint now) {
  std::vector<ServerId> left_out;
  for (auto& [name, pool] : pools_) pool.servers.clear();
  std::unordered_map<ServerKey, std::unique_ptr<BackendServerState>> kept;
  for (const ServerRegistration& registration : registrations) {
    const ServerKey key = key_of_(registration.id);
    const auto [slot, is_new_key] = kept.try_emplace(key);
    if (!is_new_key) {
      // All hosts with the same registrations keep the same server.
      const ServerRegistration& other = slot->second->registration;
      if (other.id < registration.id) {
        left_out.push_back(registration.id);
        continue;
      }
      left_out.push_back(other.id);
      std::erase(pools_[other.service].servers, slot->second.get());
    }
    auto known = servers_.find(key);
    std::unique_ptr<BackendServerState> state;
    const bool is_same_process =
        known != servers_.end() && known->second &&
        known->second->registration.id == registration.id &&
        known->second->registration.started_at_ms ==
            registration.started_at_ms &&
        known->second->registration.address == registration.address;
    if (is_same_process) {
      state = std::move(known->second);
      const bool is_new_report =
          state->registration.sequence != registration.sequence;
      if (is_new_report || !(state->registration == registration)) {
        state->cold_until =
            std::max(state->cold_until, now + registration.cold_left);
      }
    } else {
      state = std::make_unique<BackendServerState>();
      state->key = key;
      state->cold_until = now + registration.cold_left;
    }
    state->registration = registration;
    pools_[registration.service].servers.push_back(state.get());
    slot->second = std::move(state);
  }
  servers_ = std::move(kept);
  for (auto& [service, pool] : pools_) UpdateOldServers(pool);
  RemoveOldHolds(now);
  short_keys_.clear();
  for (const auto& [key, server] : servers_) {
    const auto [known, is_new] = short_keys_.try_emplace(ShortKey(key), key);
    if (!is_new) known->second.reset();
  }
  return left_out;
}

void ServerTable::SetRolloutRule(const ServiceId& service,
                                 const RolloutRule& rule,
                                 double exposure_share) {
  ServerPool& pool = pools_[service];
  pool.exposure_share = exposure_share;
  if (pool.rollout.target() == rule.target() &&
      pool.rollout.phase() == rule.phase())
    return;
  pool.rollout = rule;
  UpdateOldServers(pool);
}

const RolloutRule& ServerTable::RolloutRuleOf(const ServiceId& service) const {
  static const RolloutRule kInactive;
  const auto found = pools_.find(service);
  return found == pools_.end() ? kInactive : found->second.rollout;
}

void ServerTable::UpdateOldServers(ServerPool& pool) {
  pool.has_old_servers =
      std::any_of(pool.servers.begin(), pool.servers.end(),
                  [&](const BackendServerState* server) {
                    return !pool.rollout.is_target(server->registration);
                  });
}

ServerTable::VersionSlots ServerTable::SlotsByVersion(const ServiceId& service,
                                                      const std::string& target,
                                                      TimePoint now) const {
  VersionSlots slots;
  const auto found = pools_.find(service);
  if (found == pools_.end()) return slots;
  for (const BackendServerState* server : found->second.servers) {
    const bool is_target = server->registration.version == target;
    if (!is_target) slots.old_in_flight += server->own_in_flight;
    if (!is_usable(*server, now)) continue;
    (is_target ? slots.target : slots.old) += server->registration.slots;
  }
  return slots;
}

ServerKey ServerTable::ResolveKey(ServerKey key) const {
  if (key.value() != ShortKey(key) || servers_.contains(key)) return key;
  const auto known = short_keys_.find(ShortKey(key));
  return known == short_keys_.end() ? key : known->second.value_or(key);
}

void ServerTable::SetColdRequestRate(const ServiceId& service,
                                     double per_second) {
  pools_[service].cold_request_rate = per_second;
}

bool ServerTable::is_usable(const BackendServerState& server,
                            TimePoint now) const {
  return server.registration.availability == ServerAvailability::kReady &&
         !server.is_misdirected && !server.needs_health_check &&
         !is_leaving(server) && !evacuated_.contains(server.registration.zone);
}

double ServerTable::EstimatedInFlight(const BackendServerState& server,
                                      TimePoint now) const {
  if (!server.load) return server.own_in_flight;
  const double others =
      std::max(0.0, static_cast<double>(server.load->in_flight) -
                        static_cast<double>(server.own_in_flight_at_report));
  return server.own_in_flight +
         others * Decay(now - server.load_reported_at, kInFlightTimeConstant);
}

double ServerTable::EstimatedSlowdown(const BackendServerState& server,
                                      const ServerPool& pool,
                                      TimePoint now) const {
  if (!server.load) return pool.average_slowdown;
  return pool.average_slowdown +
         (server.load->slowdown - pool.average_slowdown) *
             Decay(now - server.load_reported_at, kSlowdownTimeConstant);
}

double ServerTable::FailureRate(const BackendServerState& server,
                                TimePoint now) const {
  return server.failure_rate *
         Decay(now - server.failure_rate_updated_at, kFailureRateTimeConstant);
}

void ServerTable::RecordAttempt(BackendServerState& server, double failure,
                                TimePoint now) {
  const double rate = FailureRate(server, now);
  server.failure_rate = rate + kFailureRateWeight * (failure - rate);
  server.failure_rate_updated_at = now;
}

Duration ServerTable::CrossZoneCost(const BackendServerState& server,
                                    const ServerSelectionQuery& query) const {
  if (server.registration.zone == own_zone_) return Duration::zero();
  // Traffic between zones is billed by the byte: small requests leave the zone
  // for a clear gain, large bodies only to avoid missing the goal.
  constexpr double kCrossZoneBaseCost = 0.3;       // latency goals
  constexpr double kCrossZoneLargeBodyCost = 1.5;  // latency goals
  constexpr double kLargeBodyBytes = 40000.0;
  const double body_share =
      std::min(1.0, static_cast<double>(query.body_bytes) / kLargeBodyBytes);
  return std::chrono::duration_cast<Duration>(
      query.latency_goal *
      (kCrossZoneBaseCost + kCrossZoneLargeBodyCost * body_share));
}

double ServerTable::UsableSlots(const BackendServerState& server,
                                const ServerPool& pool) {
  const double slots = server.registration.slots;
  const bool has_knee =
      pool.service_time_ratio_above_knee >
      kKneeDetectionRatio * pool.service_time_ratio_below_knee;
  return has_knee ? std::max(1.0, std::floor(kKneeUtilization * slots)) : slots;
}

void ServerTable::OnServiceTimeRatio(ServerKey key, double ratio,
                                     bool was_above_knee) {
  const BackendServerState* server = Find(key);
  if (server == nullptr || ratio <= 0) return;
  ServerPool& pool = pools_[server->registration.service];
  double& average = was_above_knee ? pool.service_time_ratio_above_knee
                                   : pool.service_time_ratio_below_knee;
  average += kServiceTimeRatioWeight *
             (std::min(ratio, kMaxServiceTimeRatio) - average);
}

std::optional<ServerSelection> ServerTable::Evaluate(
    BackendServerState& server, const ServerPool& pool,
    const ServerSelectionQuery& query, TimePoint now) const {
  if (std::find(query.excluded.begin(), query.excluded.end(), server.key) !=
      query.excluded.end()) {
    return std::nullopt;
  }
  const double slots = server.registration.slots;
  const double in_flight = EstimatedInFlight(server, now);
  // Rounds the fractional estimate to whole requests.
  constexpr double kSlotTolerance = 0.5;  // requests
  if (in_flight + 1 > UsableSlots(server, pool) + kSlotTolerance)
    return std::nullopt;
  ServerSelection selection;
  selection.server = server.key;
  selection.slowdown = EstimatedSlowdown(server, pool, now);
  selection.in_flight = static_cast<unsigned>(std::lround(in_flight));
  selection.load_age =
      server.load ? now - server.load_reported_at : Duration::max();
  double factor = selection.slowdown;
  selection.is_above_knee = in_flight + 1 > kKneeUtilization * slots;
  if (selection.is_above_knee) factor *= kAboveKneeCostFactor;
  // Balances servers of equal speed by utilization.
  constexpr double kUtilizationCost = 0.05;  // cost factor at full utilization
  factor *= 1 + kUtilizationCost * in_flight / slots;
  const double failure_rate = FailureRate(server, now);
  const auto scaled = [](Duration duration, double by) {
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(duration.count()) * by));
  };
  const double failure_cost = query.retry_safety == RetrySafety::kRetryable
                                  ? kRetryableFailureCost
                                  : kNonRetryableFailureCost;
  selection.estimated_cost =
      scaled(query.typical_service_time, factor) +
      scaled(query.latency_goal, failure_cost * failure_rate) +
      CrossZoneCost(server, query);
  return selection;
}

BackendServerState* ServerTable::FindMutable(ServerKey server) {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : found->second.get();
}

const BackendServerState* ServerTable::Find(ServerKey server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : found->second.get();
}

void ServerTable::OnSent(ServerKey key, TimePoint now) {
  BackendServerState* server = FindMutable(key);
  if (server == nullptr) return;
  ++server->own_in_flight;
  ServerPool& pool = pools_[server->registration.service];
  pool.rollout.OnSent(server->registration, pool.exposure_share);
  if (server->cold_until > now) server->cold_requests.Take();
  if (server->directives.max_requests_per_second)
    server->limited_requests.Take();
}

void ServerTable::OnEnded(ServerKey key, AttemptOutcome outcome,
                          TimePoint now) {
  BackendServerState* server = FindMutable(key);
  if (server == nullptr) return;
  if (server->own_in_flight > 0) --server->own_in_flight;
  switch (outcome) {
    case AttemptOutcome::kSucceeded:
      RecordAttempt(*server, 0, now);
      server->last_heard_at = now;
      break;
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kNoResponse:
      RecordAttempt(*server, 1, now);
      server->has_unpublished_change = true;
      break;
    case AttemptOutcome::kUnreachable:
      OnUnreachable(key, now);
      break;
    case AttemptOutcome::kMisdirected:
      OnMisdirected(key);
      break;
    case AttemptOutcome::kAbandoned:
    case AttemptOutcome::kHeldBack:
      break;
  }
}

void ServerTable::OnUnreachable(ServerKey key, TimePoint now) {
  BackendServerState* server = FindMutable(key);
  if (server == nullptr) return;
  server->health_check_backoff =
      std::clamp<Duration>(2 * server->health_check_backoff,
                           kInitialHealthCheckBackoff, kMaxHealthCheckBackoff);
  server->next_health_check_at = now + server->health_check_backoff;
  RequireHealthCheck(*server, now);
}

void ServerTable::RequireHealthCheck(BackendServerState& server,
                                     TimePoint now) {
  server.needs_health_check = true;
  server.needs_health_check_since = now;
  server.has_unpublished_change = true;
}

void ServerTable::SetEvacuated(std::set<ZoneId> zones, TimePoint now) {
  for (auto& [key, server] : servers_) {
    const ZoneId& zone = server->registration.zone;
    if (!evacuated_.contains(zone) || zones.contains(zone)) continue;
    RequireHealthCheck(*server, now);
  }
  evacuated_ = std::move(zones);
}

void ServerTable::OnMisdirected(ServerKey key) {
  if (BackendServerState* server = FindMutable(key))
    server->is_misdirected = true;
}

void ServerTable::OnReport(ServerKey key, ReportSource source,
                           ReportedLoad load, std::optional<Duration> cold_left,
                           TimePoint now) {
  BackendServerState* server = FindMutable(key);
  if (server == nullptr) return;
  server->load = load;
  server->load_reported_at = now;
  server->own_in_flight_at_report = server->own_in_flight;
  server->last_heard_at = now;
  server->has_unpublished_change = true;
  if (source == ReportSource::kHealthCheck) {
    server->needs_health_check = false;
    server->health_check_backoff = {};
    server->next_health_check_at = {};
  }
  if (cold_left) server->cold_until = now + *cold_left;
  double& average = pools_[server->registration.service].average_slowdown;
  average += kSlowdownWeight * (load.slowdown - average);
}

void ServerTable::Merge(const ServerObservation& observation, TimePoint now) {
  BackendServerState* server = FindMutable(observation.server);
  if (server == nullptr) return;
  const TimePoint taken_at = now - observation.age;
  if (observation.is_unreachable) {
    if (server->last_heard_at < taken_at && !server->needs_health_check) {
      server->needs_health_check = true;
      server->needs_health_check_since = taken_at;
    }
  } else if (!server->load || server->load_reported_at < taken_at) {
    server->load = ReportedLoad{observation.in_flight, observation.slowdown};
    server->load_reported_at = taken_at;
    server->own_in_flight_at_report = server->own_in_flight;
    // Unlike the load, the cold time left is that at the time of sending. The
    // sender may not know yet that the server has started again.
    server->cold_until =
        std::max(server->cold_until, now + observation.cold_left);
    // An observation later than the outage shows that the other host has
    // checked the server.
    if (server->needs_health_check &&
        taken_at > server->needs_health_check_since)
      server->needs_health_check = false;
    server->last_heard_at = std::max(server->last_heard_at, taken_at);
  }
  if (server->directives_reported_at < taken_at &&
      !observation.is_unreachable) {
    if (observation.directives.max_requests_per_second)
      server->limit_named_at = std::max(server->limit_named_at, taken_at);
    ApplyDirectives(*server, observation.directives, taken_at);
  }
  if (observation.failure_rate > FailureRate(*server, now)) {
    server->failure_rate = observation.failure_rate;
    server->failure_rate_updated_at = now;
  }
}

ServerObservation ServerTable::Observe(const BackendServerState& server,
                                       TimePoint now) const {
  ServerObservation observation;
  observation.server = server.key;
  if (server.load) {
    observation.in_flight = server.load->in_flight;
    observation.slowdown = server.load->slowdown;
    observation.age = now - server.load_reported_at;
  }
  if (server.cold_until > now) observation.cold_left = server.cold_until - now;
  observation.failure_rate = FailureRate(server, now);
  observation.is_unreachable = server.needs_health_check;
  observation.directives = server.directives;
  if (observation.is_unreachable)
    observation.age = now - server.needs_health_check_since;
  return observation;
}

std::vector<ServerObservation> ServerTable::TakeUnpublishedObservations(
    std::size_t limit, TimePoint now) {
  std::vector<BackendServerState*> candidates;
  for (auto& [key, server] : servers_) {
    if (server->has_unpublished_change &&
        (server->load || server->needs_health_check))
      candidates.push_back(server.get());
  }
  if (candidates.size() > limit) {
    const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(limit);
    std::nth_element(
        candidates.begin(), last, candidates.end(),
        [](const BackendServerState* left, const BackendServerState* right) {
          return std::tuple(!left->needs_health_check, left->published_at) <
                 std::tuple(!right->needs_health_check, right->published_at);
        });
    candidates.resize(limit);
  }
  std::vector<ServerObservation> news;
  news.reserve(candidates.size());
  for (BackendServerState* server : candidates) {
    server->has_unpublished_change = false;
    server->published_at = now;
    news.push_back(Observe(*server, now));
  }
  return news;
}

std::vector<ServerObservation> ServerTable::ObservationsOf(
    const ServiceId& service, const ZoneId& zone, TimePoint now) const {
  std::vector<ServerObservation> known;
  const auto found = pools_.find(service);
  if (found == pools_.end()) return known;
  for (const BackendServerState* server : found->second.servers) {
    if (server->registration.zone != zone) continue;
    if (!server->load && !server->needs_health_check) continue;
    known.push_back(Observe(*server, now));
  }
  return known;
}

std::vector<ServiceId> ServerTable::Services() const {
  std::vector<ServiceId> names;
  names.reserve(pools_.size());
  for (const auto& [name, pool] : pools_) names.push_back(name);
  return names;
}

std::vector<const BackendServerState*> ServerTable::All() const {
  std::vector<const BackendServerState*> all;
  all.reserve(servers_.size());
  for (const auto& [key, server] : servers_) all.push_back(server.get());
  return all;
}

ServerTable::Occupancy ServerTable::OccupancyOf(const ServiceId& service,
                                                TimePoint now,
                                                Duration service_time) const {
  // Servers up to this slowdown count as fast.
  constexpr double kFastSlowdown = 2;
  Occupancy occupancy;
  const auto found = pools_.find(service);
  if (found == pools_.end()) return occupancy;
  for (const BackendServerState* server : found->second.servers) {
    if (!is_usable(*server, now) || server->cold_until > now) continue;
    if (!found->second.allows(*server)) continue;
    const double in_flight = EstimatedInFlight(*server, now);
    double slots = UsableSlots(*server, found->second);
    if (const auto limit = server->directives.max_requests_per_second) {
      slots = std::min(
          slots, *limit * std::chrono::duration<double>(service_time).count());
    }
    occupancy.slots += slots;
    occupancy.in_flight += in_flight;
    if (EstimatedSlowdown(*server, found->second, now) > kFastSlowdown)
      continue;
    occupancy.fast_slots += slots;
    occupancy.free_fast_slots += std::max(0.0, slots - in_flight);
  }
  return occupancy;
}

}  // namespace dogwood
