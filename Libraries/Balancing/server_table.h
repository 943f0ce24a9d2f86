#pragma once

#include <memory>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "Libraries/Balancing/backend_server_state.h"
#include "Libraries/Balancing/rollout_rule.h"

namespace dogwood {

// Requirements of a request for a backend server.
struct ServerSelectionQuery {
  const ServiceId& service;
  Duration
      typical_service_time{};  // service time at a server that is not slowed
  Duration latency_goal{};     // the route's latency goal
  Duration latency_goal_time_left{};  // may be negative
  Duration time_left{};               // until the deadline
  std::size_t body_bytes = 0;
  std::span<const ServerKey> excluded;  // servers already tried
  RetrySafety retry_safety = RetrySafety::kRetryable;
};

// The backend server selected for a request.
struct ServerSelection {
  ServerKey server;
  Duration estimated_cost{};   // response time plus penalties
  double slowdown = 1;         // estimated
  unsigned in_flight = 0;      // estimated number of requests
  Duration load_age{};         // age of the load report
  bool is_above_knee = false;  // load exceeds ServerTable::kKneeUtilization
};

// All backend servers known to this host. Selects the server for a request and
// is the only class that modifies a BackendServerState.
class ServerTable {
 public:
  using Random = std::mt19937_64;

  // Knee of the latency curve: servers of some services slow down when a
  // greater share of their slots is in use.
  static constexpr double kKneeUtilization = 0.8;
  // A service has a knee if the service time above it exceeds the one below it
  // by this factor. Its servers are then filled only up to kKneeUtilization.
  static constexpr double kKneeDetectionRatio = 1.25;
  // Cost factor for slots above the knee while none is detected, so that they
  // are used last.
  static constexpr double kAboveKneeCostFactor = 1.2;
  // Time constant by which a reported slowdown decays towards the average of
  // the service: noisy neighbours of a server change about twice a second.
  static constexpr Duration kSlowdownTimeConstant =
      std::chrono::milliseconds(500);
  // Time constant by which the reported requests of other hosts decay.
  static constexpr Duration kInFlightTimeConstant =
      std::chrono::milliseconds(800);
  // Time constant by which the failure rate decays without new attempts.
  static constexpr Duration kFailureRateTimeConstant = std::chrono::seconds(3);
  // Backoff of the health checks of an unreachable server.
  static constexpr Duration kInitialHealthCheckBackoff =
      std::chrono::milliseconds(300);
  static constexpr Duration kMaxHealthCheckBackoff = std::chrono::seconds(2);

  // How long a hold on a server outlives its registration.
  static constexpr Duration kHoldRetention = std::chrono::minutes(10);
  // A response to a health check that names no limit ends one only when it was
  // not named for kMinLimitHold, or for the time of two requests under it.
  static constexpr Duration kMinLimitHold = std::chrono::seconds(2);
  static constexpr Duration kMaxLimitHold = std::chrono::seconds(10);
  // Longest time for which unused requests of a limited server are kept.
  static constexpr Duration kMaxLimitedBurst = std::chrono::milliseconds(250);

  using KeyFunction = ServerKey (*)(const ServerId&);

  explicit ServerTable(ZoneId own_zone, KeyFunction key_of = ServerKeyOf)
      : own_zone_(std::move(own_zone)), key_of_(key_of) {}

  // Replaces the registrations of all backend servers. A changed start time or
  // address resets the state of a server. Of servers with equal keys, only the
  // one with the smallest identifier is kept; returns the others.
  std::vector<ServerId> Replace(
      const std::vector<ServerRegistration>& registrations, TimePoint now);
  // Returns the key of the server that a key in a message means. Hosts of the
  // version with 32-bit keys send the lower half of a key, which is returned
  // unchanged, and names no server, if several servers share it.
  ServerKey ResolveKey(ServerKey key) const;
  // Servers of a zone whose evacuation ends need a health check first, because
  // they may have become cold.
  void SetEvacuated(std::set<ZoneId> zones, TimePoint now);
  // Sets the request rate that a cold server of the service can handle.
  void SetColdRequestRate(const ServiceId& service, double per_second);

  // Sets which versions of a service's servers get requests. An inactive rule
  // allows all. Keeps the unused exposure of an equal rule.
  void SetRolloutRule(const ServiceId& service, const RolloutRule& rule,
                      double exposure_share);
  const RolloutRule& RolloutRuleOf(const ServiceId& service) const;
  // Slots of the service's usable servers of the version, or of all others.
  struct VersionSlots {
    double target = 0;
    double old = 0;
    std::uint64_t old_in_flight = 0;  // requests of this host
  };
  VersionSlots SlotsByVersion(const ServiceId& service,
                              const std::string& target, TimePoint now) const;

  // Returns the best backend server with a free slot, or nullopt.
  // `is_rate_use_allowed` decides whether this host may use the request rate of
  // a cold or limited server.
  template <typename Predicate>
  std::optional<ServerSelection> SelectServer(const ServerSelectionQuery& query,
                                              Predicate is_rate_use_allowed,
                                              Random& random, TimePoint now);

  void OnSent(ServerKey server, TimePoint now);
  void OnEnded(ServerKey server, AttemptOutcome outcome, TimePoint now);
  // The server refused a connection or did not respond to a health check.
  void OnUnreachable(ServerKey server, TimePoint now);
  // A different server listens at its address.
  void OnMisdirected(ServerKey server);
  // Applies a load report that this host has just received.
  void OnReport(ServerKey server, ReportSource source, ReportedLoad load,
                std::optional<Duration> cold_left, TimePoint now);
  // Applies what a response that this host has just received asks for. Returns
  // whether a limit has begun or ended, or the server has begun to leave.
  bool OnDirectives(ServerKey server, const ServerDirectives& directives,
                    ReportSource source, TimePoint now);
  // The server wants nothing from this host for `pause`.
  void OnPause(ServerKey server, Duration pause, TimePoint now);
  // Whether this host must not send to the server, because it is leaving or
  // wants nothing from this host.
  bool is_held_back(ServerKey server, TimePoint now) const;
  // Servers of the service that are held back.
  std::vector<ServerKey> HeldBackServers(const ServiceId& service,
                                         TimePoint now) const;
  // Time until the first server of the service is no longer held back; absent
  // if one isn't, or if none will be.
  std::optional<Duration> HoldTimeLeft(const ServiceId& service,
                                       TimePoint now) const;
  // Counts a health check towards the limit of the server.
  void OnHealthCheckSent(ServerKey server);
  // Records the service time of an attempt relative to the expected one.
  void OnServiceTimeRatio(ServerKey server, double ratio, bool was_above_knee);
  // Merges an observation of another host. It is not forwarded: each dispatcher
  // gossips its own observations to the hosts that need them.
  void Merge(const ServerObservation& observation, TimePoint now);

  // Takes up to `limit` changed servers to gossip: unusable ones first, then
  // those published longest ago.
  std::vector<ServerObservation> TakeUnpublishedObservations(std::size_t limit,
                                                             TimePoint now);
  // Observations of all servers of a service in one zone.
  std::vector<ServerObservation> ObservationsOf(const ServiceId& service,
                                                const ZoneId& zone,
                                                TimePoint now) const;
  std::vector<ServiceId> Services() const;

  const BackendServerState* Find(ServerKey server) const;
  std::vector<const BackendServerState*> All() const;
  // Slots and requests of the usable warm servers of a service.
  struct Occupancy {
    double slots = 0;  // without those above a detected knee
    double in_flight = 0;
    double fast_slots = 0;       // at servers that are not slowed
    double free_fast_slots = 0;  // fast slots without a request
  };
  // The limit of a server counts as the slots that it fills with requests of
  // `service_time`.
  Occupancy OccupancyOf(const ServiceId& service, TimePoint now,
                        Duration service_time = {}) const;
  std::size_t LimitedServerCount() const;

  const std::set<ZoneId>& evacuated() const { return evacuated_; }

 private:
  struct ServerPool {
    std::vector<BackendServerState*> servers;
    double average_slowdown = 1.5;  // moving average of reports
    // Moving averages of the service time relative to the expected one.
    double service_time_ratio_below_knee = 1;
    double service_time_ratio_above_knee = 1;
    double cold_request_rate = 1;  // requests per second
    RolloutRule rollout;
    double exposure_share = 0;
    bool has_old_servers = false;  // of another version than the target

    bool allows(const BackendServerState& server) const {
      return rollout.allows(server.registration, has_old_servers);
    }
  };

  static void UpdateOldServers(ServerPool& pool);

  // Orders the servers of a new version in the same way at all times.
  static double CanaryScore(const BackendServerState& server) {
    return static_cast<double>(server.key.value());
  }
  static std::uint32_t ShortKey(ServerKey key) {
    return static_cast<std::uint32_t>(key.value());
  }

  // What a server's process has asked of this host. Outlives its registration,
  // which may lapse and return.
  struct ServerHold {
    std::uint64_t started_at_ms = 0;  // of the process
    bool is_leaving = false;
    TimePoint paused_until{};
    TimePoint updated_at{};
  };

  // The hold on the registered process of the server, or nullptr.
  const ServerHold* FindHold(const BackendServerState& server) const;
  ServerHold& FindOrAddHold(const BackendServerState& server, TimePoint now);
  // Forgets holds on servers that have been gone for kHoldRetention.
  void RemoveOldHolds(TimePoint now);
  // Whether the limit of a server outlives a health check that names none.
  static bool is_limit_held(const BackendServerState& server, TimePoint now);
  void ApplyDirectives(BackendServerState& server,
                       const ServerDirectives& directives, TimePoint now);
  static void RequireHealthCheck(BackendServerState& server, TimePoint now);
  bool is_usable(const BackendServerState& server, TimePoint now) const;
  // Whether the server's process has said that it is leaving.
  bool is_leaving(const BackendServerState& server) const;
  static double UsableSlots(const BackendServerState& server,
                            const ServerPool& pool);
  // Whether the rates that a cold or limited server takes leave room for a
  // request.
  template <typename Predicate>
  bool has_rate_for_request(BackendServerState& server, const ServerPool& pool,
                            Predicate is_rate_use_allowed, TimePoint now) const;
  double EstimatedInFlight(const BackendServerState& server,
                           TimePoint now) const;
  double EstimatedSlowdown(const BackendServerState& server,
                           const ServerPool& pool, TimePoint now) const;
  double FailureRate(const BackendServerState& server, TimePoint now) const;
  void RecordAttempt(BackendServerState& server, double failure, TimePoint now);
  Duration CrossZoneCost(const BackendServerState& server,
                         const ServerSelectionQuery& query) const;
  ServerObservation Observe(const BackendServerState& server,
                            TimePoint now) const;
  std::optional<ServerSelection> Evaluate(BackendServerState& server,
                                          const ServerPool& pool,
                                          const ServerSelectionQuery& query,
                                          TimePoint now) const;
  BackendServerState* FindMutable(ServerKey server);

  ZoneId own_zone_;
  KeyFunction key_of_;
  std::set<ZoneId> evacuated_;
  std::unordered_map<ServerKey, std::unique_ptr<BackendServerState>> servers_;
  std::unordered_map<ServiceId, ServerPool> pools_;
  std::unordered_map<ServerKey, ServerHold> holds_;
  // Keys by their lower half; absent for those that share it.
  std::unordered_map<std::uint32_t, std::optional<ServerKey>> short_keys_;
};

template <typename Predicate>
bool ServerTable::has_rate_for_request(BackendServerState& server,
                                       const ServerPool& pool,
                                       Predicate is_rate_use_allowed,
                                       TimePoint now) const {
  const bool is_cold = server.cold_until > now;
  const auto limit = server.directives.max_requests_per_second;
  if (!is_cold && !limit) return true;
  if (!is_rate_use_allowed(server)) return false;
  constexpr double kMaxColdBurst = 1;
  if (is_cold && !server.cold_requests.Refill(pool.cold_request_rate,
                                              kMaxColdBurst, now)) {
    return false;
  }
  if (!limit) return true;
  const double burst =
      *limit * std::chrono::duration<double>(kMaxLimitedBurst).count();
  return server.limited_requests.Refill(*limit, std::max(1.0, burst), now);
}

template <typename Predicate>
std::optional<ServerSelection> ServerTable::SelectServer(
    const ServerSelectionQuery& query, Predicate is_rate_use_allowed,
    Random& random, TimePoint now) {
  const auto found = pools_.find(query.service);
  if (found == pools_.end()) return std::nullopt;
  std::optional<ServerSelection> best;
  double best_score = 0;
  // Spreads hosts with the same view over servers of similar cost.
  constexpr double kMaxSpread = 1.15;  // cost factor
  std::uniform_real_distribution<double> spread(1.0, kMaxSpread);
  const ServerPool& pool = found->second;
  bool has_target = false;
  for (BackendServerState* server : pool.servers) {
    if (!pool.allows(*server) || !is_usable(*server, now)) continue;
    const bool is_preferred = pool.rollout.prefers_target() &&
                              pool.rollout.is_target(server->registration);
    if (has_target && !is_preferred) continue;
    if (!has_rate_for_request(*server, pool, is_rate_use_allowed, now))
      continue;
    const auto selection = Evaluate(*server, pool, query, now);
    if (!selection) continue;
    double score =
        static_cast<double>(selection->estimated_cost.count()) * spread(random);
    // The few requests of a new version fill few of its servers, because some
    // faults show only under load.
    if (is_preferred) score = CanaryScore(*server);
    if (best && has_target == is_preferred && score >= best_score) continue;
    best = selection;
    best_score = score;
    has_target = is_preferred;
  }
  return best;
}

}  // namespace dogwood
