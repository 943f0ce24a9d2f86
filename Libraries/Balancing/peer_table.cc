#include "Libraries/Balancing/peer_table.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {

PeerTable::PeerTable(std::string own_ip, ZoneId own_zone, unsigned own_capacity,
                     TimePoint started_at)
    : own_ip_(std::move(own_ip)),
      own_zone_(std::move(own_zone)),
      own_capacity_(own_capacity),
      own_hash_(HashName(own_ip_)),
      started_at_(started_at),
      zones_{own_zone_} {}

std::size_t PeerTable::FindZone(const ZoneId& zone) const {
  return static_cast<std::size_t>(
      std::find(zones_.begin(), zones_.end(), zone) - zones_.begin());
}

std::size_t PeerTable::FindOrAddZone(const ZoneId& zone) {
  const std::size_t index = FindZone(zone);
  if (index == zones_.size()) zones_.push_back(zone);
  return index;
}

bool PeerTable::Merge(const PeerRecord& record, TimePoint now) {
  if (record.ip == own_ip_) return false;
  const TimePoint last_heard_at = now - record.age;
  if (record.age > kPeerExpiry) return false;
  if (now - pruned_at_ >= kPruneInterval) {
    pruned_at_ = now;
    std::erase_if(peers_, [&](const auto& item) {
      return now - item.second.last_heard_at > kPeerExpiry;
    });
  }
  const auto [found, is_new] = peers_.try_emplace(record.ip);
  Peer& peer = found->second;
  if (is_new) peer.hash = HashName(record.ip);
  if (!is_new && record.incarnation < peer.incarnation) return false;
  const bool is_restarted = peer.incarnation < record.incarnation;
  const bool was_live = !is_new && is_live(peer, now);
  const auto ranked = [&peer] {
    return std::tuple(peer.zone_index, peer.capacity, peer.is_draining);
  };
  const auto ranked_before = ranked();
  if (is_restarted) {
    peer.is_draining = false;
    peer.last_heard_at = last_heard_at;
  }
  peer.incarnation = record.incarnation;
  peer.zone_index = FindOrAddZone(record.zone);
  peer.capacity = record.capacity;
  peer.last_heard_at = std::max(peer.last_heard_at, last_heard_at);
  peer.is_draining = peer.is_draining || record.is_draining;
  const bool is_news =
      is_new || is_restarted || (!was_live && is_live(peer, now));
  if (is_news || ranked() != ranked_before) {
    rankings_.clear();
    peer.changed_at = now;
  }
  return is_news;
}

bool PeerTable::is_live(const Peer& peer, TimePoint now) {
  return !peer.is_draining && now - peer.last_heard_at <= LivenessTimeout(peer);
}

std::vector<std::string> PeerTable::ReachablePeersInOwnZone(
    TimePoint now) const {
  std::vector<std::string> live;
  for (const auto& [ip, peer] : peers_) {
    // Draining hosts still serve requests and need gossip.
    if (peer.zone_index == kOwnZoneIndex &&
        now - peer.last_heard_at <= kLivenessTimeoutInZone)
      live.push_back(ip);
  }
  return live;
}

std::vector<std::string> PeerTable::SilentPeersInOwnZone(TimePoint now) const {
  std::vector<std::string> silent;
  for (const auto& [ip, peer] : peers_) {
    if (peer.zone_index == kOwnZoneIndex &&
        now - peer.last_heard_at > kLivenessTimeoutInZone)
      silent.push_back(ip);
  }
  return silent;
}

std::vector<std::string> PeerTable::OnePeerOfEachSilentZone(
    std::uint64_t draw, TimePoint now) const {
  const std::set<ZoneId> live = OtherLiveZones(now);
  std::map<ZoneId, std::pair<std::uint64_t, std::string>> best;
  for (const auto& [ip, peer] : peers_) {
    if (peer.zone_index == kOwnZoneIndex || live.contains(ZoneOf(peer)))
      continue;
    const std::uint64_t weight = CombineHashes(draw, peer.hash);
    auto& [best_weight, best_ip] = best[ZoneOf(peer)];
    if (!best_ip.empty() && weight <= best_weight) continue;
    best_weight = weight;
    best_ip = ip;
  }
  std::vector<std::string> selected;
  selected.reserve(best.size());
  for (auto& [zone, candidate] : best) selected.push_back(candidate.second);
  return selected;
}

bool PeerTable::is_live(const std::string& ip, TimePoint now) const {
  const auto found = peers_.find(ip);
  return found != peers_.end() && is_live(found->second, now);
}

bool PeerTable::has_live_host(const ZoneId& zone, TimePoint now) const {
  const std::size_t zone_index = FindZone(zone);
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    return item.second.zone_index == zone_index && is_live(item.second, now);
  });
}

std::vector<std::size_t> PeerTable::OtherLiveZoneIndices(TimePoint now) const {
  std::vector<bool> is_zone_live(zones_.size());
  for (const auto& [ip, peer] : peers_) {
    if (!is_zone_live[peer.zone_index])
      is_zone_live[peer.zone_index] = is_live(peer, now);
  }
  std::vector<std::size_t> live;
  for (std::size_t i = kOwnZoneIndex + 1; i < zones_.size(); ++i) {
    if (is_zone_live[i]) live.push_back(i);
  }
  return live;
}

std::set<ZoneId> PeerTable::OtherLiveZones(TimePoint now) const {
  std::set<ZoneId> zones;
  for (const std::size_t index : OtherLiveZoneIndices(now))
    zones.insert(zones_[index]);
  return zones;
}

std::vector<PeerRecord> PeerTable::MembershipRecordsOfZone(
    const ZoneId& zone, TimePoint now) const {
  std::vector<PeerRecord> records = MembershipRecords(now);
  std::erase_if(records,
                [&](const PeerRecord& peer) { return peer.zone != zone; });
  return records;
}

std::vector<PeerRecord> PeerTable::MembershipRecords(TimePoint now) const {
  std::vector<PeerRecord> records;
  for (const auto& [ip, peer] : peers_) {
    const Duration age = now - peer.last_heard_at;
    if (age > kLivenessTimeoutAcrossZones) continue;
    records.push_back({ip, ZoneOf(peer), peer.incarnation, age,
                       peer.is_draining, peer.capacity});
  }
  return records;
}

std::size_t PeerTable::LiveHostCount(TimePoint now) const {
  std::size_t count = 1;
  for (const auto& [ip, peer] : peers_) {
    if (is_live(peer, now)) ++count;
  }
  return count;
}

std::size_t PeerTable::OwnRankFor(std::uint64_t task, TimePoint now) const {
  const std::uint64_t own = CombineHashes(own_hash_, task);
  std::size_t rank = 0;
  for (const auto& [ip, peer] : peers_) {
    if (peer.zone_index == kOwnZoneIndex && is_live(peer, now) &&
        CombineHashes(peer.hash, task) > own) {
      ++rank;
    }
  }
  return rank;
}

std::vector<std::string> PeerTable::TopRankedHosts(std::uint64_t task,
                                                   const ZoneId& zone,
                                                   std::size_t count,
                                                   TimePoint now) const {
  const std::size_t zone_index = FindZone(zone);
  if (zone_index == zones_.size()) return {};
  const auto known = std::find_if(
      rankings_.begin(), rankings_.end(), [&](const Ranking& ranking) {
        return ranking.task == task && ranking.zone_index == zone_index &&
               ranking.count == count;
      });
  if (known != rankings_.end() && now >= known->computed_at &&
      now - known->computed_at < kRankingValidity)
    return known->hosts;
  auto hosts = ComputeTopRankedHosts(task, zone_index, count, now);
  if (known != rankings_.end()) {
    known->computed_at = now;
    known->hosts = hosts;
  } else {
    rankings_.push_back({task, zone_index, count, now, hosts});
  }
  return hosts;
}

std::vector<std::string> PeerTable::ComputeTopRankedHosts(
    std::uint64_t task, std::size_t zone_index, std::size_t count,
    TimePoint now) const {
  const bool is_own = zone_index == kOwnZoneIndex &&
                      !(is_draining_ && has_live_host(own_zone_, now));
  unsigned greatest_capacity = is_own ? own_capacity_ : 0;
  for (const auto& [ip, peer] : peers_) {
    if (peer.zone_index == zone_index && is_live(peer, now))
      greatest_capacity = std::max(greatest_capacity, peer.capacity);
  }
  const double min_capacity = kMinDispatcherCapacityShare * greatest_capacity;
  using Candidate = std::pair<std::uint64_t, const std::string*>;
  std::vector<Candidate> top_ranked;  // in descending order of weight
  const auto consider = [&](const std::string& ip, unsigned capacity,
                            std::uint64_t hash) {
    if (capacity < min_capacity) return;
    const Candidate candidate(CombineHashes(hash, task), &ip);
    if (top_ranked.size() == count &&
        candidate.first <= top_ranked.back().first)
      return;
    if (top_ranked.size() == count) top_ranked.pop_back();
    const auto place = std::find_if(
        top_ranked.begin(), top_ranked.end(),
        [&](const Candidate& other) { return other.first < candidate.first; });
    top_ranked.insert(place, candidate);
  };
  if (is_own) consider(own_ip_, own_capacity_, own_hash_);
  for (const auto& [ip, peer] : peers_) {
    if (peer.zone_index == zone_index && is_live(peer, now))
      consider(ip, peer.capacity, peer.hash);
  }
  std::vector<std::string> hosts;
  hosts.reserve(top_ranked.size());
  for (const auto& [weight, ip] : top_ranked) hosts.push_back(*ip);
  return hosts;
}

std::string PeerTable::DispatcherFor(const ServiceId& service,
                                     const ZoneId& zone, TimePoint now) const {
  const auto hosts = TopRankedHosts(HashName(service.value()), zone, 1, now);
  return hosts.empty() ? std::string() : hosts.front();
}

std::vector<std::string> PeerTable::QuotaHostsOf(std::uint64_t account,
                                                 std::size_t count,
                                                 TimePoint now) const {
  unsigned greatest_capacity = is_draining_ ? 0 : own_capacity_;
  for (const auto& [ip, peer] : peers_) {
    if (is_live(peer, now))
      greatest_capacity = std::max(greatest_capacity, peer.capacity);
  }
  const double min_capacity = kMinDispatcherCapacityShare * greatest_capacity;
  std::vector<std::pair<std::uint64_t, const std::string*>> candidates;
  if (!is_draining_ && own_capacity_ >= min_capacity)
    candidates.emplace_back(CombineHashes(own_hash_, account), &own_ip_);
  for (const auto& [ip, peer] : peers_) {
    if (is_live(peer, now) && peer.capacity >= min_capacity)
      candidates.emplace_back(CombineHashes(peer.hash, account), &ip);
  }
  const std::size_t size = std::min(count, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(size),
                    candidates.end(), std::greater<>());
  std::vector<std::string> hosts;
  for (std::size_t i = 0; i < size; ++i) hosts.push_back(*candidates[i].second);
  return hosts;
}

double PeerTable::ReachableShare(TimePoint now) const {
  std::size_t known = 1;
  std::size_t live = 1;
  for (const auto& [ip, peer] : peers_) {
    if (peer.is_draining) continue;
    ++known;
    if (is_live(peer, now)) ++live;
  }
  return static_cast<double>(live) / static_cast<double>(known);
}

std::size_t PeerTable::RecentQuotaHostCount(std::uint64_t account,
                                            Duration window,
                                            TimePoint now) const {
  const bool has_just_started = now - started_at_ < window;
  const std::uint64_t own = CombineHashes(own_hash_, account);
  const double min_capacity = kMinDispatcherCapacityShare * own_capacity_;
  std::size_t count = has_just_started ? 1 : 0;
  for (const auto& [ip, peer] : peers_) {
    if (peer.capacity < min_capacity) continue;
    if (!has_just_started && CombineHashes(peer.hash, account) < own) continue;
    const TimePoint silent_at = peer.last_heard_at + LivenessTimeout(peer);
    const bool has_changed = now - peer.changed_at <= window ||
                             (silent_at < now && now - silent_at <= window);
    if (has_changed) ++count;
  }
  return count;
}

std::vector<std::string> PeerTable::GossipRelaysOf(const ZoneId& zone,
                                                   TimePoint now) const {
  static const std::uint64_t kGossipRelayTask = HashName("steward");
  return TopRankedHosts(kGossipRelayTask, zone, kGossipRelaysPerZone, now);
}

std::vector<std::string> PeerTable::GossipRelaysOfOtherZones(
    TimePoint now) const {
  std::vector<std::string> relays;
  for (const ZoneId& zone : OtherLiveZones(now)) {
    for (std::string& ip : GossipRelaysOf(zone, now))
      relays.push_back(std::move(ip));
  }
  return relays;
}

bool PeerTable::is_gossip_relay(TimePoint now) const {
  const auto relays = GossipRelaysOf(own_zone_, now);
  return std::find(relays.begin(), relays.end(), own_ip_) != relays.end();
}

bool PeerTable::is_first_gossip_relay(TimePoint now) const {
  const auto relays = GossipRelaysOf(own_zone_, now);
  return !relays.empty() && relays.front() == own_ip_;
}

bool PeerTable::is_top_ranked_zone(TimePoint now) const {
  const std::uint64_t own = HashName(own_zone_.value());
  const std::set<ZoneId> others = OtherLiveZones(now);
  return std::all_of(others.begin(), others.end(), [own](const ZoneId& zone) {
    return HashName(zone.value()) < own;
  });
}

std::vector<std::string> PeerTable::OtherDispatchersFor(
    const ServiceId& service, TimePoint now) const {
  std::vector<std::string> dispatchers;
  for (const ZoneId& zone : OtherLiveZones(now))
    dispatchers.push_back(DispatcherFor(service, zone, now));
  return dispatchers;
}

bool PeerTable::is_monitoring(const ServiceId& service, const ZoneId& zone,
                              TimePoint now) const {
  if (zone == own_zone_)
    return DispatcherFor(service, own_zone_, now) == own_ip_;
  const std::uint64_t task = HashName(service.value());
  const std::uint64_t own = CombineHashes(own_hash_, task);
  const std::size_t zone_index = FindZone(zone);
  for (const auto& [ip, peer] : peers_) {
    if (!is_live(peer, now)) continue;
    if (is_draining_ || peer.zone_index == zone_index ||
        CombineHashes(peer.hash, task) > own)
      return false;
  }
  return true;
}

std::size_t PeerTable::LiveZoneCount(TimePoint now) const {
  return 1 + OtherLiveZoneIndices(now).size();
}

}  // namespace dogwood
