#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Libraries/Balancing/backend_server_state.h"

namespace dogwood {

// Gossiped membership record of one entry host.
struct PeerRecord {
  std::string ip;
  ZoneId zone;
  Incarnation incarnation;  // a later start of the same address is greater
  Duration age{};           // since any host last heard from it
  bool is_draining = false;
  unsigned capacity = 0;  // CPU limit, hundredths of a core
};

// Membership table of the entry hosts, and the assignment of roles to the live
// ones by rendezvous hashing: hosts with the same view agree without a
// coordinator.
class PeerTable {
 public:
  // A host of the own zone gossips several times in this interval.
  static constexpr Duration kLivenessTimeoutInZone =
      std::chrono::milliseconds(1000);
  // Gossip from other zones takes more hops.
  static constexpr Duration kLivenessTimeoutAcrossZones =
      std::chrono::seconds(4);
  // A silent host is contacted for this long, because network partitions last
  // minutes.
  static constexpr Duration kPeerExpiry = std::chrono::minutes(10);
  static constexpr Duration kPruneInterval = std::chrono::seconds(10);
  // Hosts below this share of the greatest capacity in their zone get no roles:
  // dispatching takes CPU time that a small host lacks.
  static constexpr double kMinDispatcherCapacityShare = 0.6;

  // The second gossip relay covers for the first one until its failure is
  // detected.
  static constexpr std::size_t kGossipRelaysPerZone = 2;

  // How long the holders of a role are taken as unchanged while no host comes,
  // restarts or drains. Short beside the time-outs above.
  static constexpr Duration kRankingValidity = std::chrono::milliseconds(10);

  // Hosts that start at the same time have discovered each other after this
  // time.
  static constexpr Duration kConvergenceTime = std::chrono::milliseconds(1500);

  PeerTable(std::string own_ip, ZoneId own_zone, unsigned own_capacity,
            TimePoint started_at);

  // Gives up the roles of this host, which is shutting down: they pass to the
  // live hosts of its zone. It keeps them while its zone has no other one.
  void BeginDraining() {
    is_draining_ = true;
    rankings_.clear();
  }

  // Merges a gossiped record. Returns whether the host is new, restarted or
  // live again after a silence.
  bool Merge(const PeerRecord& peer, TimePoint now);

  // Hosts of the own zone heard from lately, draining ones included.
  std::vector<std::string> ReachablePeersInOwnZone(TimePoint now) const;
  // Known hosts not heard from lately, which are contacted to reconnect after a
  // partition: all of the own zone, and one of each other zone without a live
  // host, selected by `draw`.
  std::vector<std::string> SilentPeersInOwnZone(TimePoint now) const;
  std::vector<std::string> OnePeerOfEachSilentZone(std::uint64_t draw,
                                                   TimePoint now) const;
  bool is_live(const std::string& ip, TimePoint now) const;
  bool has_live_host(const ZoneId& zone, TimePoint now) const;
  // Records of all hosts heard from lately, to be gossiped.
  std::vector<PeerRecord> MembershipRecords(TimePoint now) const;
  std::vector<PeerRecord> MembershipRecordsOfZone(const ZoneId& zone,
                                                  TimePoint now) const;
  // Number of live hosts, this one included.
  std::size_t LiveHostCount(TimePoint now) const;

  // Rank of this host among the live hosts of its zone for a task, 0 being the
  // first.
  std::size_t OwnRankFor(std::uint64_t task, TimePoint now) const;
  // The host that dispatches the requests of a service in a zone; empty when
  // the zone has no live host.
  std::string DispatcherFor(const ServiceId& service, const ZoneId& zone,
                            TimePoint now) const;
  // The hosts that grant the quota of a client account, the first one as long
  // as it answers. Among the live hosts of all zones with sufficient capacity.
  std::vector<std::string> QuotaHostsOf(std::uint64_t account,
                                        std::size_t count, TimePoint now) const;
  // Share of the known hosts that are live, this one included. Hosts that shut
  // down in order do not count.
  double ReachableShare(TimePoint now) const;
  // Hosts that may have granted the quota of a client account before this one
  // within `window`: those ranking above it that have come, restarted, drained
  // or fallen silent within that time. If this host has started within it, also
  // its former process and those ranking below.
  std::size_t RecentQuotaHostCount(std::uint64_t account, Duration window,
                                   TimePoint now) const;
  // Known hosts, live or not, this one included.
  std::size_t KnownHostCount() const { return peers_.size() + 1; }
  // The gossip relays of a zone, which send the whole membership to the hosts
  // of their zone and to the gossip relays of other zones. Other hosts gossip
  // only their own record, so that the load of a host does not grow with the
  // fleet.
  std::vector<std::string> GossipRelaysOf(const ZoneId& zone,
                                          TimePoint now) const;
  std::vector<std::string> GossipRelaysOfOtherZones(TimePoint now) const;
  bool is_gossip_relay(TimePoint now) const;
  bool is_first_gossip_relay(TimePoint now) const;
  // Whether the own zone ranks first among the live zones, for tasks that one
  // zone performs for the fleet.
  bool is_top_ranked_zone(TimePoint now) const;
  // The dispatchers of a service in all other live zones.
  std::vector<std::string> OtherDispatchersFor(const ServiceId& service,
                                               TimePoint now) const;
  // Whether this host monitors the backend servers of a service in a zone: it
  // is the dispatcher there or, if the zone has no live host, ranks first in
  // the fleet.
  bool is_monitoring(const ServiceId& service, const ZoneId& zone,
                     TimePoint now) const;
  // Number of availability zones with a live host, the own one included.
  std::size_t LiveZoneCount(TimePoint now) const;
  // Whether this host alone may use a resource of the server that one host at a
  // time may use, such as the request rate of a cold server. A host that has
  // just started may not, because it may not yet know of the monitoring host.
  bool has_exclusive_use(const BackendServerState& server,
                         TimePoint now) const {
    return now - started_at_ >= kConvergenceTime &&
           is_monitoring(server.registration.service, server.registration.zone,
                         now);
  }

 private:
  struct Peer {
    std::size_t zone_index = kOwnZoneIndex;  // in `zones_`
    Incarnation incarnation;
    TimePoint last_heard_at{};
    TimePoint changed_at{};  // came, restarted, was heard again or drained
    bool is_draining = false;
    unsigned capacity = 0;
    std::uint64_t hash = 0;
  };

  struct Ranking {
    std::uint64_t task = 0;
    std::size_t zone_index = 0;
    std::size_t count = 0;
    TimePoint computed_at{};
    std::vector<std::string> hosts;
  };

  static constexpr std::size_t kOwnZoneIndex = 0;

  static Duration LivenessTimeout(const Peer& peer) {
    return peer.zone_index == kOwnZoneIndex ? kLivenessTimeoutInZone
                                            : kLivenessTimeoutAcrossZones;
  }
  static bool is_live(const Peer& peer, TimePoint now);
  const ZoneId& ZoneOf(const Peer& peer) const {
    return zones_[peer.zone_index];
  }
  // Index of a zone in `zones_`, or the size of that if no host is there.
  std::size_t FindZone(const ZoneId& zone) const;
  std::size_t FindOrAddZone(const ZoneId& zone);
  // The indices of the other zones with a live host.
  std::vector<std::size_t> OtherLiveZoneIndices(TimePoint now) const;
  // The `count` live hosts of a zone with the greatest rendezvous weight among
  // those with sufficient capacity. Includes this host while it drains only if
  // its zone has no other one.
  std::vector<std::string> TopRankedHosts(std::uint64_t task,
                                          const ZoneId& zone, std::size_t count,
                                          TimePoint now) const;
  std::vector<std::string> ComputeTopRankedHosts(std::uint64_t task,
                                                 std::size_t zone_index,
                                                 std::size_t count,
                                                 TimePoint now) const;
  std::set<ZoneId> OtherLiveZones(TimePoint now) const;

  std::string own_ip_;
  ZoneId own_zone_;
  unsigned own_capacity_;
  std::uint64_t own_hash_;
  TimePoint started_at_;
  bool is_draining_ = false;
  TimePoint pruned_at_{};
  // Hosts are compared by the index of their zone: a host looks through all of
  // them for each request.
  std::vector<ZoneId> zones_;
  std::map<std::string, Peer> peers_;
  // Results of TopRankedHosts(), a few for each service and zone.
  mutable std::vector<Ranking> rankings_;
};

}  // namespace dogwood
