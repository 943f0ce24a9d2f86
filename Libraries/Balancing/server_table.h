#pragma once

#include <memory>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "Libraries/Balancing/server_state.h"

namespace dogwood {

// What a request needs from a backend server.
struct PlacementQuery {
  const ServiceId& service;
  Duration usual_work{};  // at a server that is not slowed
  Duration goal{};        // the route's latency goal
  Duration goal_left{};   // until the goal; may be negative
  Duration time_left{};   // until the request's deadline
  std::size_t body_bytes = 0;
  std::span<const ServerKey> excluded;  // servers already tried
  Repeatability repeatability = Repeatability::kRepeatable;
};

struct Placement {
  ServerKey server;
  Duration expected{};         // until the answer, by what is known
  double slowdown = 1;         // estimated for the server
  unsigned in_work = 0;        // estimated
  Duration load_age{};         // of the report behind the estimates
  bool is_above_knee = false;  // takes the server past ServerTable::kKneePart
};

// All backend servers that a host knows, and where the next request goes. The
// aggregate owns every state change of a ServerState.
class ServerTable {
 public:
  using Random = std::mt19937_64;

  // Servers of some services slow down when they work on more than this part of
  // their slots.
  static constexpr double kKneePart = 0.8;
  // Work above the knee that is slower than work below it by this factor shows
  // that the service has a knee; its servers then get no more than kKneePart.
  static constexpr double kKneeSlowdown = 1.25;
  // Cost of the last slots as long as no knee is known, so that they are used
  // last.
  static constexpr double kLastSlotsCost = 1.2;
  // A report loses its weight against the service's average at this rate: the
  // load of neighbours on a server's machine changes about twice a second.
  static constexpr Duration kSlowdownMemory = std::chrono::milliseconds(500);
  // The same for the number of requests at work.
  static constexpr Duration kWorkMemory = std::chrono::milliseconds(800);
  // The share of failures halves in about this time without new ones.
  static constexpr Duration kFailureMemory = std::chrono::seconds(3);
  // First and longest pause before an unreachable server is tried again.
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(300);
  static constexpr Duration kLongestBackoff = std::chrono::seconds(2);

  explicit ServerTable(ZoneId own_zone) : own_zone_(std::move(own_zone)) {}

  // Takes the registrations of all backend servers. A changed start time resets
  // what was known.
  void Replace(const std::vector<ServerEntry>& entries, TimePoint now);
  // Servers of a zone that is taken back may have become cold meanwhile.
  void SetEvacuated(std::set<ZoneId> zones, TimePoint now);
  // Rate a cold server of this service bears, this host's part of it included.
  void SetColdRate(const ServiceId& service, double per_second);

  // The best backend server that has room, or nullopt. `may_use_cold` tells
  // whether this host may use the rate that a cold server bears.
  template <typename Predicate>
  std::optional<Placement> Choose(const PlacementQuery& query,
                                  Predicate may_use_cold, Random& random,
                                  TimePoint now);

  void OnSent(ServerKey server, TimePoint now);
  void OnEnded(ServerKey server, AttemptOutcome outcome, TimePoint now);
  // The server refused a connection or was silent to a health check.
  void OnUnreachable(ServerKey server, TimePoint now);
  // Another server has its address.
  void OnMisdirected(ServerKey server);
  // A report taken by this host just now.
  void OnReport(ServerKey server, ReportSource source, ReportedLoad load,
                std::optional<Duration> cold_left, TimePoint now);
  // Duration of ended work relative to what was expected of the server.
  void OnWorkRatio(ServerKey server, double ratio, bool was_above_knee);
  // What another host told. It is not passed on: every dispatcher tells its
  // own news to whom they concern.
  void Merge(const ServerObservation& observation, TimePoint now);

  // News that were not taken yet, `most` at a time: first servers that were
  // found unusable, then those told of longest ago.
  std::vector<ServerObservation> TakeNews(std::size_t most, TimePoint now);
  // Everything known of a service's servers in one zone.
  std::vector<ServerObservation> Describe(const ServiceId& service,
                                          const ZoneId& zone,
                                          TimePoint now) const;
  std::vector<ServiceId> Services() const;

  const ServerState* Find(ServerKey server) const;
  std::vector<const ServerState*> All() const;
  // Slots and requests at work of the usable servers of a service.
  struct Occupancy {
    double slots = 0;  // usable ones, without those above a known knee
    double in_work = 0;
    double fast_slots = 0;       // at servers near the usual speed
    double free_fast_slots = 0;  // of these, those without work
  };
  Occupancy OccupancyOf(const ServiceId& service, TimePoint now) const;

  const std::set<ZoneId>& evacuated() const { return evacuated_; }

 private:
  struct ServiceServers {
    std::vector<ServerState*> servers;
    double usual_slowdown = 1.5;  // average of recent reports
    // Average duration of work, relative to the expected one, below and above
    // the knee.
    double ratio_below = 1;
    double ratio_above = 1;
    double cold_rate = 1;
  };

  static void RequireCheck(ServerState& server, TimePoint now);
  bool is_usable(const ServerState& server, TimePoint now) const;
  static double UsableSlots(const ServerState& server,
                            const ServiceServers& service);
  bool try_refill_cold(ServerState& server, double rate, TimePoint now) const;
  double EstimatedWork(const ServerState& server, TimePoint now) const;
  double EstimatedSlowdown(const ServerState& server,
                           const ServiceServers& service, TimePoint now) const;
  double FailureRate(const ServerState& server, TimePoint now) const;
  void AddAttempt(ServerState& server, double failure, TimePoint now);
  Duration ZoneCost(const ServerState& server,
                    const PlacementQuery& query) const;
  ServerObservation Observe(const ServerState& server, TimePoint now) const;
  std::optional<Placement> Evaluate(ServerState& server,
                                    const ServiceServers& service,
                                    const PlacementQuery& query,
                                    TimePoint now) const;
  ServerState* FindMutable(ServerKey server);

  ZoneId own_zone_;
  std::set<ZoneId> evacuated_;
  std::unordered_map<ServerKey, std::unique_ptr<ServerState>> servers_;
  std::unordered_map<ServiceId, ServiceServers> services_;
};

template <typename Predicate>
std::optional<Placement> ServerTable::Choose(const PlacementQuery& query,
                                             Predicate may_use_cold,
                                             Random& random, TimePoint now) {
  const auto found = services_.find(query.service);
  if (found == services_.end()) return std::nullopt;
  std::optional<Placement> best;
  double best_score = 0;
  // Spreads hosts that see the same figures over servers of about equal merit.
  std::uniform_real_distribution<double> spread(1.0, 1.15);
  for (ServerState* server : found->second.servers) {
    if (!is_usable(*server, now)) continue;
    if (server->cold_until > now &&
        (!may_use_cold(*server) ||
         !try_refill_cold(*server, found->second.cold_rate, now))) {
      continue;
    }
    const auto placement = Evaluate(*server, found->second, query, now);
    if (!placement) continue;
    const double score =
        static_cast<double>(placement->expected.count()) * spread(random);
    if (best && score >= best_score) continue;
    best = placement;
    best_score = score;
  }
  return best;
}

}  // namespace dogwood
