#include "Libraries/Balancing/contact_book.h"

namespace dogwood {

void ContactBook::Add(const std::string& ip, std::optional<ZoneId> zone) {
  Contact& contact = contacts_[ip];
  if (zone) contact.zone = std::move(zone);
}

std::vector<std::string> ContactBook::TakeDue(const PeerTable& peers,
                                              TimePoint now) {
  std::vector<std::string> due;
  TakeNearby(peers, now, due);
  if (peers.is_steward(now)) TakeFromSilentZones(peers, now, due);
  return due;
}

void ContactBook::TakeNearby(const PeerTable& peers, TimePoint now,
                             std::vector<std::string>& due) {
  for (auto& [ip, contact] : contacts_) {
    const bool is_nearby = !contact.zone || *contact.zone == own_zone_;
    if (!is_nearby || contact.greetings >= kMostGreetings ||
        peers.is_live(ip, now)) {
      continue;
    }
    ++contact.greetings;
    due.push_back(ip);
  }
}

void ContactBook::TakeFromSilentZones(const PeerTable& peers, TimePoint now,
                                      std::vector<std::string>& due) {
  // The contact of each zone that was greeted least often.
  std::map<ZoneId, std::pair<const std::string, Contact>*> chosen;
  for (auto& item : contacts_) {
    const auto& zone = item.second.zone;
    if (!zone || *zone == own_zone_) continue;
    auto& best = chosen[*zone];
    if (best == nullptr || item.second.greetings < best->second.greetings)
      best = &item;
  }
  for (auto& [zone, item] : chosen) {
    if (peers.has_live_host(zone, now)) continue;
    ++item->second.greetings;
    due.push_back(item->first);
  }
}

}  // namespace dogwood
