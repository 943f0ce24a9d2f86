#include "Libraries/Routing/permit_table.h"

#include <algorithm>
#include <bit>

#include "Libraries/Routing/rendezvous.h"
#include "Libraries/Routing/slot_assignment.h"

namespace dogwood {

void PermitTable::AddServer(std::uint64_t name_hash, std::uint32_t slots) {
  Server server;
  server.name_hash = name_hash;
  servers_.push_back(server);
  free_slot_masks_.push_back(0);
  free_servers_.Resize(servers_.size());
  SetSlots(static_cast<ServerIndex>(servers_.size() - 1), slots);
}

void PermitTable::SetSlots(ServerIndex server, std::uint32_t slots) {
  Server& entry = servers_[server];
  entry.slots = std::min(slots, kMaximumSlots);
  if (entry.slots <= entry.slot_capacity) return;
  const auto first = static_cast<std::uint32_t>(slots_.size());
  slots_.resize(slots_.size() + entry.slots);
  std::copy_n(slots_.begin() + entry.first_slot_offset, entry.slot_capacity,
              slots_.begin() + first);
  entry.first_slot_offset = first;
  entry.slot_capacity = entry.slots;
}

void PermitTable::SetUsableSlots(ServerIndex server,
                                 std::uint32_t usable_slots) {
  Server& entry = servers_[server];
  if (entry.usable_slots == usable_slots) return;
  usable_permits_ += usable_slots - entry.usable_slots;
  owned_permits_ -= static_cast<std::uint32_t>(
      std::popcount(entry.owned_mask & LowBitsMask(entry.usable_slots)));
  entry.usable_slots = usable_slots;
  owned_permits_ += static_cast<std::uint32_t>(
      std::popcount(entry.owned_mask & LowBitsMask(entry.usable_slots)));
  Refresh(server);
}

void PermitTable::SetScore(ServerIndex server, double score) {
  servers_[server].score = static_cast<float>(score);
  if (free_slot_masks_[server] != 0) Refresh(server);
}

// Orphaned slots may still run requests of their removed owner, which starts no
// new ones. When the server reports N requests in flight, at most N of this
// host's orphaned slots are occupied and the others are usable_slots. Slots of
// other hosts do not count, since their owners may know a different set of
// orphaned slots.
std::uint64_t PermitTable::UnblockedMask(const Server& server) const {
  if (server.orphaned_mask == 0) return ~std::uint64_t{0};
  std::uint64_t blocked = server.orphaned_mask & server.owned_mask &
                          LowBitsMask(server.usable_slots);
  const auto orphaned_count =
      static_cast<std::uint32_t>(std::popcount(blocked));
  std::uint32_t allowed = server.lowest_in_flight >= orphaned_count
                              ? 0
                              : orphaned_count - server.lowest_in_flight;
  for (; allowed > 0; --allowed) blocked &= blocked - 1;
  return ~blocked;
}

std::uint64_t PermitTable::ComputeFreeMask(const Server& server) const {
  std::uint64_t mask = server.ready_mask & ~server.in_use_mask &
                       ~server.busy_elsewhere_mask & UnblockedMask(server) &
                       LowBitsMask(server.usable_slots);
  // Two requests may run on one slot while another slot is idle, when a host
  // took over a slot with a running request and then returned it. Each such
  // slot blocks a free one.
  int shared = std::popcount(server.in_use_mask & server.busy_elsewhere_mask);
  for (; shared > 0 && mask != 0; --shared) mask &= mask - 1;
  return mask;
}

void PermitTable::Refresh(ServerIndex server) {
  const Server& entry = servers_[server];
  const std::uint64_t mask = ComputeFreeMask(entry);
  const auto free = static_cast<std::uint32_t>(std::popcount(mask));
  free_permits_ -=
      static_cast<std::uint32_t>(std::popcount(free_slot_masks_[server]));
  free_permits_ += free;
  free_slot_masks_[server] = mask;
  if (free == 0) {
    free_servers_.Remove(server);
  } else {
    free_servers_.InsertOrUpdate(server,
                                 ServerRank{entry.score, kMaximumSlots - free});
  }
}

void PermitTable::ScheduleActivation(ServerIndex server, std::uint32_t slot,
                                     TimePoint now) {
  const Slot& entry = slots_[servers_[server].first_slot_offset + slot];
  activations_.push_back({.at = now + options_->permit_takeover_delay,
                          .server = server,
                          .slot = slot,
                          .generation = entry.generation});
}

std::vector<HostIndex> PermitTable::AssignOwners(
    const std::vector<std::uint64_t>& name_hashes,
    const std::vector<HostIndex>& alive) const {
  std::vector<AssignableSlot> assignable;
  std::vector<std::size_t> slot_offsets;
  for (const Server& server : servers_) {
    for (std::uint32_t slot = 0; slot < server.slots; ++slot) {
      assignable.push_back({server.name_hash, slot});
      slot_offsets.push_back(server.first_slot_offset + slot);
    }
  }
  std::vector<AssignableHost> hosts;
  hosts.reserve(alive.size());
  for (const HostIndex host : alive) hosts.push_back({name_hashes[host], host});
  const std::vector<HostIndex> assigned = AssignSlots(assignable, hosts);
  std::vector<HostIndex> owners(slots_.size(), kInvalidIndex);
  for (std::size_t i = 0; i < slot_offsets.size(); ++i) {
    owners[slot_offsets[i]] = assigned[i];
  }
  return owners;
}

void PermitTable::ApplyHosts(const std::vector<std::uint64_t>& name_hashes,
                             const std::vector<HostIndex>& alive,
                             HostIndex self, TimePoint now,
                             std::vector<Handover>& handovers) {
  self_ = self;
  std::vector<bool> is_alive(name_hashes.size(), false);
  for (const HostIndex host : alive) is_alive[host] = true;
  permits_by_host_.assign(name_hashes.size(), 0);
  const std::vector<HostIndex> owners = AssignOwners(name_hashes, alive);
  for (ServerIndex index = 0; index < servers_.size(); ++index) {
    Server& server = servers_[index];
    std::uint64_t orphaned_mask = 0;
    for (std::uint32_t slot = 0; slot < server.slot_capacity; ++slot) {
      Slot& entry = slots_[server.first_slot_offset + slot];
      const std::uint64_t bit = std::uint64_t{1} << slot;
      const HostIndex owner = owners[server.first_slot_offset + slot];
      if (entry.other_user != kInvalidIndex && !is_alive[entry.other_user]) {
        entry.other_user = kInvalidIndex;
        server.busy_elsewhere_mask &= ~bit;
        orphaned_mask |= bit;
      }
      if (owner != kInvalidIndex && slot < server.usable_slots)
        ++permits_by_host_[owner];
      if (owner == entry.owner) continue;
      if (entry.owner != kInvalidIndex && !is_alive[entry.owner]) {
        orphaned_mask |= bit;
        entry.removed_owner = entry.owner;
      }
      const bool is_taken =
          (server.in_use_mask & bit) != 0 ||
          ((server.orphaned_mask & bit) != 0 && entry.owner == self &&
           entry.removed_owner != owner);
      entry.owner = owner;
      ++entry.generation;
      server.ready_mask &= ~bit;
      server.owned_mask &= ~bit;
      if (owner == self) {
        server.owned_mask |= bit;
        ScheduleActivation(index, slot, now);
      } else if (owner != kInvalidIndex && is_taken) {
        handovers.push_back({index, slot, owner});
      }
    }
    if (orphaned_mask != 0) {
      AddOrphanedSlots(index, orphaned_mask,
                       now + options_->permit_takeover_delay);
    }
  }
  RecountOwnedPermits();
}

void PermitTable::AddOrphanedSlots(ServerIndex server,
                                   std::uint64_t orphaned_mask,
                                   TimePoint from) {
  Server& entry = servers_[server];
  if (entry.orphaned_mask == 0) servers_with_orphans_.push_back(server);
  entry.orphaned_mask |= orphaned_mask;
  entry.lowest_in_flight = kInvalidIndex;
  entry.orphan_check_from = from;
  entry.orphan_check_until = from + options_->orphan_check_timeout;
}

void PermitTable::MarkOrphaned(ServerIndex server, std::uint32_t slot,
                               TimePoint now) {
  AddOrphanedSlots(server, std::uint64_t{1} << slot, now);
  Refresh(server);
}

void PermitTable::MarkOwnedOrphaned(TimePoint now) {
  for (ServerIndex index = 0; index < servers_.size(); ++index) {
    if (servers_[index].owned_mask == 0) continue;
    AddOrphanedSlots(index, servers_[index].owned_mask,
                     now + options_->permit_takeover_delay);
    Refresh(index);
  }
}

void PermitTable::RecountOwnedPermits() {
  owned_permits_ = 0;
  for (ServerIndex index = 0; index < servers_.size(); ++index) {
    owned_permits_ += static_cast<std::uint32_t>(
        std::popcount(servers_[index].owned_mask &
                      LowBitsMask(servers_[index].usable_slots)));
    Refresh(index);
  }
}

void PermitTable::Advance(TimePoint now) {
  while (next_activation_ < activations_.size() &&
         activations_[next_activation_].at <= now) {
    const Activation& activation = activations_[next_activation_++];
    Server& server = servers_[activation.server];
    const Slot& slot = slots_[server.first_slot_offset + activation.slot];
    if (slot.generation != activation.generation) continue;
    server.ready_mask |= std::uint64_t{1} << activation.slot;
    Refresh(activation.server);
  }
  if (next_activation_ == activations_.size() && next_activation_ != 0) {
    activations_.clear();
    next_activation_ = 0;
  }
  for (std::size_t index = 0; index < servers_with_orphans_.size();) {
    Server& server = servers_[servers_with_orphans_[index]];
    if (now < server.orphan_check_until) {
      ++index;
      continue;
    }
    server.orphaned_mask = 0;
    Refresh(servers_with_orphans_[index]);
    servers_with_orphans_[index] = servers_with_orphans_.back();
    servers_with_orphans_.pop_back();
  }
}

ServerIndex PermitTable::best_server_except(ServerIndex excluded) const {
  const ServerIndex first = best_server();
  if (first != excluded || first == kInvalidIndex) return first;
  ServerIndex second = kInvalidIndex;
  for (std::size_t position = 1;
       position < std::min<std::size_t>(3, free_servers_.size()); ++position) {
    const ServerIndex candidate = free_servers_.at(position);
    if (second == kInvalidIndex ||
        free_servers_.key(candidate) < free_servers_.key(second)) {
      second = candidate;
    }
  }
  return second;
}

std::uint32_t PermitTable::Take(ServerIndex server) {
  const std::uint64_t mask = free_slot_masks_[server];
  VERIFY(mask != 0);
  const auto slot = static_cast<std::uint32_t>(std::bit_width(mask)) - 1;
  servers_[server].in_use_mask |= std::uint64_t{1} << slot;
  Refresh(server);
  return slot;
}

void PermitTable::TakeFirstSlot(ServerIndex server) {
  VERIFY(is_first_slot_free(server));
  servers_[server].in_use_mask |= 1;
  Refresh(server);
}

void PermitTable::Release(ServerIndex server, std::uint32_t slot) {
  VERIFY(is_in_use(server, slot));
  servers_[server].in_use_mask &= ~(std::uint64_t{1} << slot);
  Refresh(server);
}

void PermitTable::SetBusyElsewhere(ServerIndex server, std::uint32_t slot,
                                   HostIndex host) {
  slots_[servers_[server].first_slot_offset + slot].other_user = host;
  servers_[server].busy_elsewhere_mask |= std::uint64_t{1} << slot;
  Refresh(server);
}

void PermitTable::ClearBusyElsewhere(ServerIndex server, std::uint32_t slot,
                                     HostIndex host) {
  Slot& entry = slots_[servers_[server].first_slot_offset + slot];
  if (entry.other_user != host) return;
  entry.other_user = kInvalidIndex;
  servers_[server].busy_elsewhere_mask &= ~(std::uint64_t{1} << slot);
  Refresh(server);
}

void PermitTable::ObserveInFlight(ServerIndex server, std::uint32_t in_flight,
                                  TimePoint now) {
  Server& entry = servers_[server];
  if (entry.orphaned_mask == 0 || now < entry.orphan_check_from ||
      in_flight >= entry.lowest_in_flight) {
    return;
  }
  entry.lowest_in_flight = in_flight;
  if (in_flight == 0) {
    entry.orphaned_mask = 0;
    std::erase(servers_with_orphans_, server);
  }
  Refresh(server);
}

std::size_t PermitTable::bytes() const {
  return servers_.capacity() * sizeof(Server) +
         free_slot_masks_.capacity() * sizeof(std::uint64_t) +
         slots_.capacity() * sizeof(Slot) +
         activations_.capacity() * sizeof(Activation) +
         servers_with_orphans_.capacity() * sizeof(ServerIndex) +
         permits_by_host_.capacity() * sizeof(std::uint32_t) +
         free_servers_.bytes();
}

}  // namespace dogwood
