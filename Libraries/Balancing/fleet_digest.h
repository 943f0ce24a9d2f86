#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Libraries/Balancing/peer_table.h"
#include "Libraries/Balancing/server_state.h"

namespace dogwood {

// How recent a host's copy of one table of the store is.
struct TableFreshness {
  std::uint64_t version = 0;
  // Since a reader confirmed that version; absent when nothing was read yet.
  std::optional<Duration> age;
};

// What hosts tell each other in one datagram.
struct FleetDigest {
  PeerRecord sender;
  std::vector<TableFreshness> tables;  // in an order all hosts know
  std::vector<ServerObservation> observations;
  std::vector<PeerRecord> peers;
};

}  // namespace dogwood
