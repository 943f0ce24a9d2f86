#include "Libraries/Balancing/peer_candidates.h"

namespace dogwood {

void PeerCandidates::Add(const std::string& ip, std::optional<ZoneId> zone) {
  Candidate& candidate = candidates_[ip];
  if (zone) candidate.zone = std::move(zone);
}

std::vector<std::string> PeerCandidates::TakeDue(const PeerTable& peers,
                                                 TimePoint now) {
  std::vector<std::string> due;
  AddDueInOwnZone(peers, now, due);
  if (peers.is_gossip_relay(now)) AddDueInSilentZones(peers, now, due);
  return due;
}

void PeerCandidates::AddDueInOwnZone(const PeerTable& peers, TimePoint now,
                                     std::vector<std::string>& due) {
  for (auto& [ip, candidate] : candidates_) {
    const bool is_in_own_zone = !candidate.zone || *candidate.zone == own_zone_;
    if (!is_in_own_zone || candidate.hello_count >= kMaxHellos ||
        peers.is_live(ip, now)) {
      continue;
    }
    ++candidate.hello_count;
    due.push_back(ip);
  }
}

void PeerCandidates::AddDueInSilentZones(const PeerTable& peers, TimePoint now,
                                         std::vector<std::string>& due) {
  // The candidate of each other zone with the fewest hellos.
  std::map<ZoneId, std::pair<const std::string, Candidate>*> selected;
  for (auto& item : candidates_) {
    const auto& zone = item.second.zone;
    if (!zone || *zone == own_zone_) continue;
    auto& best = selected[*zone];
    if (best == nullptr || item.second.hello_count < best->second.hello_count)
      best = &item;
  }
  for (auto& [zone, item] : selected) {
    if (peers.has_live_host(zone, now)) continue;
    ++item->second.hello_count;
    due.push_back(item->first);
  }
}

}  // namespace dogwood
