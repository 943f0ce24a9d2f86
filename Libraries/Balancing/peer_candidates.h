#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Balancing/peer_table.h"

namespace dogwood {

// Candidate addresses of other entry hosts, possibly stale: seeds from the
// settings and hosts registered at the store. Selects those to send a hello to:
// hosts of the own zone until they are heard from, and one host at a time of
// each silent zone, which only gossip relays contact. This keeps the number of
// hellos from growing with the square of the fleet size.
class PeerCandidates {
 public:
  // Hellos per candidate. Some may be lost or sent before a host that starts at
  // the same time listens; a candidate that responds to none of them is stale.
  static constexpr int kMaxHellos = 8;

  explicit PeerCandidates(ZoneId own_zone) : own_zone_(std::move(own_zone)) {}

  // `zone` is absent for addresses from the settings.
  void Add(const std::string& ip, std::optional<ZoneId> zone);
  // Returns the addresses to send a hello to now and counts the hellos.
  std::vector<std::string> TakeDue(const PeerTable& peers, TimePoint now);

 private:
  struct Candidate {
    std::optional<ZoneId> zone;
    int hello_count = 0;
  };

  void AddDueInOwnZone(const PeerTable& peers, TimePoint now,
                       std::vector<std::string>& due);
  void AddDueInSilentZones(const PeerTable& peers, TimePoint now,
                           std::vector<std::string>& due);

  ZoneId own_zone_;
  std::map<std::string, Candidate> candidates_;
};

}  // namespace dogwood
