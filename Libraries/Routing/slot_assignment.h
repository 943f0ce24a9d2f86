#pragma once

#include <cstdint>
#include <vector>

#include "Libraries/Routing/router_types.h"

namespace dogwood {

// One slot of a backend server. Its hash is equal on all hosts.
struct AssignableSlot {
  std::uint64_t server_hash = 0;
  std::uint32_t slot = 0;
};

struct AssignableHost {
  std::uint64_t name_hash = 0;
  HostIndex host = kInvalidIndex;
};

// Assigns slots to hosts by rendezvous hashing with bounded loads: each slot
// goes to the host with the greatest weight that owns less than an equal share,
// rounded up. Plain rendezvous hashing assigns 4 of 180 slots to some of 18
// hosts and 16 to others, and hosts with few slots must borrow for most
// requests. The result depends only on the sets of slots and hosts, not on
// their order. Without hosts every owner is kInvalidIndex.
std::vector<HostIndex> AssignSlots(const std::vector<AssignableSlot>& slots,
                                   const std::vector<AssignableHost>& hosts);

}  // namespace dogwood
