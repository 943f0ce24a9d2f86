#include "Libraries/Routing/slot_assignment.h"

#include <algorithm>
#include <numeric>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {

std::vector<HostIndex> AssignSlots(const std::vector<AssignableSlot>& slots,
                                   const std::vector<AssignableHost>& hosts) {
  std::vector<HostIndex> owners(slots.size(), kInvalidIndex);
  if (hosts.empty()) return owners;
  // Slots are assigned in an order that is equal on all hosts.
  std::vector<std::uint64_t> keys(slots.size());
  for (std::size_t i = 0; i < slots.size(); ++i) {
    keys[i] = CombineHashes(slots[i].server_hash, slots[i].slot);
  }
  std::vector<std::size_t> order(slots.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return keys[a] < keys[b]; });
  const std::size_t share = (slots.size() + hosts.size() - 1) / hosts.size();
  std::vector<std::size_t> load(hosts.size(), 0);
  for (const std::size_t index : order) {
    std::size_t best = hosts.size();
    std::uint64_t best_weight = 0;
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      if (load[host] >= share) continue;
      const std::uint64_t weight = RendezvousWeight(
          hosts[host].name_hash, slots[index].server_hash, slots[index].slot);
      if (best == hosts.size() || weight > best_weight) {
        best = host;
        best_weight = weight;
      }
    }
    ++load[best];
    owners[index] = hosts[best].host;
  }
  return owners;
}

}  // namespace dogwood
