#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Libraries/Balancing/server_state.h"

namespace dogwood {

// One entry host as the hosts tell each other.
struct PeerRecord {
  std::string ip;
  ZoneId zone;
  Incarnation incarnation;  // a later start of the same address is greater
  Duration age{};           // since somebody heard from it
  bool is_leaving = false;
  unsigned capacity = 0;  // processor time, in hundredths of a core
};

// The live entry hosts and which of them is responsible for what. Without a
// coordinator: hosts with the same view agree by rendezvous hashing.
class PeerTable {
 public:
  // A host of the own zone tells something several times in this span.
  static constexpr Duration kSilenceInZone = std::chrono::milliseconds(1000);
  // News from other zones passes through more hosts.
  static constexpr Duration kSilenceAcrossZones = std::chrono::seconds(4);
  // A silent host is still told of the own existence for this long; cuts last
  // minutes.
  static constexpr Duration kForgetAfter = std::chrono::minutes(10);
  static constexpr Duration kPruneInterval = std::chrono::seconds(10);
  // Hosts with less than this part of a zone's greatest capacity do not
  // dispatch: dispatching takes processor time that a small host lacks.
  static constexpr double kDispatcherCapacity = 0.6;

  // Hosts of a zone that pass on who lives; the second one covers for the first
  // until its silence is noticed.
  static constexpr std::size_t kStewardCount = 2;

  // Hosts that start together have found each other after this time.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(1500);

  PeerTable(std::string own_ip, ZoneId own_zone, unsigned own_capacity,
            TimePoint started_at);

  // Takes what a host told of itself or of another one. Returns whether the
  // host was unknown, restarted, or silent before.
  bool Merge(const PeerRecord& peer, TimePoint now);

  std::vector<std::string> LiveInOwnZone(TimePoint now) const;
  // Known hosts that were not heard lately, to find each other again after a
  // partition: all of the own zone and, by `draw`, one of each other zone that
  // is silent as a whole.
  std::vector<std::string> SilentInOwnZone(TimePoint now) const;
  std::vector<std::string> OneInEachSilentZone(std::uint64_t draw,
                                               TimePoint now) const;
  bool is_live(const std::string& ip, TimePoint now) const;
  bool has_live_host(const ZoneId& zone, TimePoint now) const;
  std::vector<PeerRecord> Describe(TimePoint now) const;
  std::vector<PeerRecord> DescribeZone(const ZoneId& zone, TimePoint now) const;
  // Live hosts, this one included.
  std::size_t LiveCount(TimePoint now) const;

  // Position of this host in the order of the own zone's live hosts for a task.
  std::size_t RankFor(std::uint64_t task, TimePoint now) const;
  // The live host of a zone that dispatches the requests for a service; empty
  // when the zone has none.
  std::string DispatcherFor(const ServiceId& service, const ZoneId& zone,
                            TimePoint now) const;
  // The live hosts of a zone that tell the others of their zone, and the
  // stewards of other zones, who lives. All other hosts tell only of
  // themselves, so that the cost of a host does not grow with the fleet.
  std::vector<std::string> StewardsOf(const ZoneId& zone, TimePoint now) const;
  std::vector<std::string> OtherStewards(TimePoint now) const;
  bool is_steward(TimePoint now) const;
  bool is_first_steward(TimePoint now) const;
  // Whether the own zone is the first of all live ones, for what one zone does
  // for all.
  bool is_first_zone(TimePoint now) const;
  // The dispatchers for a service in all other zones.
  std::vector<std::string> OtherDispatchersFor(const ServiceId& service,
                                               TimePoint now) const;
  // Whether this host watches a service's backend servers in a zone: the
  // dispatcher of that zone or, if it has no live host, one host of all.
  bool is_responsible(const ServiceId& service, const ZoneId& zone,
                      TimePoint now) const;
  // Availability zones with a live host, at least the own one.
  std::size_t LiveZoneCount(TimePoint now) const;
  // Whether this host may use what one host at a time may use, such as the rate
  // that a cold server bears: it is responsible and not about to learn that
  // another one is.
  bool may_use_alone(const ServerState& server, TimePoint now) const {
    return now - started_at_ >= kSettleTime &&
           is_responsible(server.entry.service, server.entry.zone, now);
  }

 private:
  struct Peer {
    ZoneId zone;
    Incarnation incarnation;
    TimePoint heard_at{};
    bool is_leaving = false;
    unsigned capacity = 0;
    std::uint64_t hash = 0;
  };

  bool is_live(const Peer& peer, TimePoint now) const;
  // The first `count` live hosts of a zone by rendezvous hashing, without those
  // that have too little processor time.
  std::vector<std::string> FirstHostsFor(std::uint64_t task, const ZoneId& zone,
                                         std::size_t count,
                                         TimePoint now) const;
  std::set<ZoneId> OtherLiveZones(TimePoint now) const;

  std::string own_ip_;
  ZoneId own_zone_;
  unsigned own_capacity_;
  std::uint64_t own_hash_;
  TimePoint started_at_;
  TimePoint pruned_at_{};
  std::map<std::string, Peer> peers_;
};

}  // namespace dogwood
