#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Balancing/peer_table.h"

namespace dogwood {

// Addresses at which other entry hosts may be found: those of the settings and
// those that registered at the store. They may be stale. Tells which of them to
// greet, so that the number of greetings does not grow with the square of the
// fleet: hosts of the own zone until they are heard, and of other zones only
// one at a time, by a steward, while that zone is silent.
class ContactBook {
 public:
  // Greetings may be lost, and hosts that start together are not there for the
  // first ones; a contact that stays silent after these is stale.
  static constexpr int kMostGreetings = 8;

  explicit ContactBook(ZoneId own_zone) : own_zone_(std::move(own_zone)) {}

  // `zone` is unknown for contacts of the settings.
  void Add(const std::string& ip, std::optional<ZoneId> zone);
  // Contacts to greet now; counts the greetings.
  std::vector<std::string> TakeDue(const PeerTable& peers, TimePoint now);

 private:
  struct Contact {
    std::optional<ZoneId> zone;
    int greetings = 0;
  };

  void TakeNearby(const PeerTable& peers, TimePoint now,
                  std::vector<std::string>& due);
  void TakeFromSilentZones(const PeerTable& peers, TimePoint now,
                           std::vector<std::string>& due);

  ZoneId own_zone_;
  std::map<std::string, Contact> contacts_;
};

}  // namespace dogwood
