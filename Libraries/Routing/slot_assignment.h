#pragma once

#include <cstdint>
#include <vector>

#include "Libraries/Routing/router_types.h"

namespace dogwood {

// One slot of a backend server, by hashes that are equal on all hosts.
struct AssignableSlot {
  std::uint64_t server_hash = 0;
  std::uint32_t slot = 0;
};

struct AssignableHost {
  std::uint64_t name_hash = 0;
  HostIndex host = kNoIndex;
};

// Owner of each slot by rendezvous hashing with bounded loads: a slot goes to
// the host with the greatest weight that owns less than an equal share, rounded
// up. Plain rendezvous hashing gave some of 18 hosts 4 and others 16 of 180
// slots, and the hosts with few had to borrow for most requests. Depends only
// on the sets of slots and hosts, not on their order. Without hosts every owner
// is kNoIndex.
std::vector<HostIndex> AssignSlots(const std::vector<AssignableSlot>& slots,
                                   const std::vector<AssignableHost>& hosts);

}  // namespace dogwood
