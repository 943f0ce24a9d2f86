#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Libraries/Balancing/backend_server_state.h"
#include "Libraries/Balancing/peer_table.h"

namespace dogwood {

// Version and age of a host's copy of one store table.
struct TableVersionAge {
  std::uint64_t version = 0;
  // Time since a host that reads the store confirmed the version; absent before
  // the first read.
  std::optional<Duration> age;
};

// The configuration that a host has in force, and for how long it has not been
// confirmed to be the newest; see KeyLease.
struct KeyKnowledgeAge {
  SettingsVersion version;
  Duration age{};
};

// Gossip that a host sends to another one in a single datagram.
struct GossipMessage {
  PeerRecord sender;
  std::vector<TableVersionAge> tables;  // in a fixed order
  std::vector<ServerObservation> observations;
  std::vector<PeerRecord> peers;
  // Present if the configuration has client accounts.
  std::optional<KeyKnowledgeAge> keys;
};

}  // namespace dogwood
