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
  free_masks_.push_back(0);
  free_.Resize(servers_.size());
  SetSlots(static_cast<ServerIndex>(servers_.size() - 1), slots);
}

void PermitTable::SetSlots(ServerIndex server, std::uint32_t slots) {
  Server& entry = servers_[server];
  entry.slots = std::min(slots, kMaximumSlots);
  if (entry.slots <= entry.slot_capacity) return;
  const auto first = static_cast<std::uint32_t>(slots_.size());
  slots_.resize(slots_.size() + entry.slots);
  std::copy_n(slots_.begin() + entry.first_slot, entry.slot_capacity,
              slots_.begin() + first);
  entry.first_slot = first;
  entry.slot_capacity = entry.slots;
}

void PermitTable::SetUsable(ServerIndex server, std::uint32_t usable) {
  Server& entry = servers_[server];
  if (entry.usable == usable) return;
  usable_permits_ += usable - entry.usable;
  owned_permits_ -= static_cast<std::uint32_t>(
      std::popcount(entry.owned & LowBits(entry.usable)));
  entry.usable = usable;
  owned_permits_ += static_cast<std::uint32_t>(
      std::popcount(entry.owned & LowBits(entry.usable)));
  Refresh(server);
}

void PermitTable::SetScore(ServerIndex server, double score) {
  servers_[server].score = static_cast<float>(score);
  if (free_masks_[server] != 0) Refresh(server);
}

// Orphaned slots may have work of their vanished owner, which only ends. When a
// report shows W requests in work, at most W of this host's orphaned slots are
// still taken, and it can use the others. Slots of other hosts do not count:
// their owners may know a different set of orphans.
std::uint64_t PermitTable::RoomMask(const Server& server) const {
  if (server.orphaned == 0) return ~std::uint64_t{0};
  std::uint64_t blocked =
      server.orphaned & server.owned & LowBits(server.usable);
  const auto orphaned = static_cast<std::uint32_t>(std::popcount(blocked));
  std::uint32_t allowed =
      server.least_in_work >= orphaned ? 0 : orphaned - server.least_in_work;
  for (; allowed > 0; --allowed) blocked &= blocked - 1;
  return ~blocked;
}

std::uint64_t PermitTable::ComputeFreeMask(const Server& server) const {
  std::uint64_t mask = server.ready & ~server.in_use & ~server.elsewhere &
                       RoomMask(server) & LowBits(server.usable);
  // Two requests may run on one slot while a third slot is idle, when a host
  // took over a slot whose old work had not ended and then gave it back. Each
  // such slot costs a free one.
  int shared = std::popcount(server.in_use & server.elsewhere);
  for (; shared > 0 && mask != 0; --shared) mask &= mask - 1;
  return mask;
}

void PermitTable::Refresh(ServerIndex server) {
  const Server& entry = servers_[server];
  const std::uint64_t mask = ComputeFreeMask(entry);
  const auto free = static_cast<std::uint32_t>(std::popcount(mask));
  free_permits_ -=
      static_cast<std::uint32_t>(std::popcount(free_masks_[server]));
  free_permits_ += free;
  free_masks_[server] = mask;
  if (free == 0) {
    free_.Remove(server);
  } else {
    free_.Put(server, Key{entry.score, kMaximumSlots - free});
  }
}

void PermitTable::Gain(ServerIndex server, std::uint32_t slot, TimePoint now) {
  const Slot& entry = slots_[servers_[server].first_slot + slot];
  activations_.push_back({.at = now + options_->permit_takeover_delay,
                          .server = server,
                          .slot = slot,
                          .generation = entry.generation});
}

std::vector<HostIndex> PermitTable::AssignOwners(
    const std::vector<std::uint64_t>& name_hashes,
    const std::vector<HostIndex>& alive) const {
  std::vector<AssignableSlot> assignable;
  std::vector<std::size_t> places;
  for (const Server& server : servers_) {
    for (std::uint32_t slot = 0; slot < server.slots; ++slot) {
      assignable.push_back({server.name_hash, slot});
      places.push_back(server.first_slot + slot);
    }
  }
  std::vector<AssignableHost> hosts;
  hosts.reserve(alive.size());
  for (const HostIndex host : alive) hosts.push_back({name_hashes[host], host});
  const std::vector<HostIndex> assigned = AssignSlots(assignable, hosts);
  std::vector<HostIndex> owners(slots_.size(), kNoIndex);
  for (std::size_t i = 0; i < places.size(); ++i) {
    owners[places[i]] = assigned[i];
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
  permits_of_host_.assign(name_hashes.size(), 0);
  const std::vector<HostIndex> owners = AssignOwners(name_hashes, alive);
  for (ServerIndex index = 0; index < servers_.size(); ++index) {
    Server& server = servers_[index];
    std::uint64_t orphaned = 0;
    for (std::uint32_t slot = 0; slot < server.slot_capacity; ++slot) {
      Slot& entry = slots_[server.first_slot + slot];
      const std::uint64_t bit = std::uint64_t{1} << slot;
      const HostIndex owner = owners[server.first_slot + slot];
      if (entry.busy_host != kNoIndex && !is_alive[entry.busy_host]) {
        entry.busy_host = kNoIndex;
        server.elsewhere &= ~bit;
        orphaned |= bit;
      }
      if (owner != kNoIndex && slot < server.usable) ++permits_of_host_[owner];
      if (owner == entry.owner) continue;
      if (entry.owner != kNoIndex && !is_alive[entry.owner]) {
        orphaned |= bit;
        entry.vanished_owner = entry.owner;
      }
      const bool is_taken =
          (server.in_use & bit) != 0 ||
          ((server.orphaned & bit) != 0 && entry.owner == self &&
           entry.vanished_owner != owner);
      entry.owner = owner;
      ++entry.generation;
      server.ready &= ~bit;
      server.owned &= ~bit;
      if (owner == self) {
        server.owned |= bit;
        Gain(index, slot, now);
      } else if (owner != kNoIndex && is_taken) {
        handovers.push_back({index, slot, owner});
      }
    }
    if (orphaned != 0) {
      AddOrphans(index, orphaned, now + options_->permit_takeover_delay);
    }
  }
  RefreshOwned();
}

void PermitTable::AddOrphans(ServerIndex server, std::uint64_t orphaned,
                             TimePoint from) {
  Server& entry = servers_[server];
  if (entry.orphaned == 0) room_checks_.push_back(server);
  entry.orphaned |= orphaned;
  entry.least_in_work = kNoIndex;
  entry.room_check_from = from;
  entry.room_check_until = from + options_->room_check_limit;
}

void PermitTable::MarkOrphaned(ServerIndex server, std::uint32_t slot,
                               TimePoint now) {
  AddOrphans(server, std::uint64_t{1} << slot, now);
  Refresh(server);
}

void PermitTable::OrphanOwned(TimePoint now) {
  for (ServerIndex index = 0; index < servers_.size(); ++index) {
    if (servers_[index].owned == 0) continue;
    AddOrphans(index, servers_[index].owned,
               now + options_->permit_takeover_delay);
    Refresh(index);
  }
}

void PermitTable::RefreshOwned() {
  owned_permits_ = 0;
  for (ServerIndex index = 0; index < servers_.size(); ++index) {
    owned_permits_ += static_cast<std::uint32_t>(
        std::popcount(servers_[index].owned & LowBits(servers_[index].usable)));
    Refresh(index);
  }
}

void PermitTable::Advance(TimePoint now) {
  while (next_activation_ < activations_.size() &&
         activations_[next_activation_].at <= now) {
    const Activation& activation = activations_[next_activation_++];
    Server& server = servers_[activation.server];
    const Slot& slot = slots_[server.first_slot + activation.slot];
    if (slot.generation != activation.generation) continue;
    server.ready |= std::uint64_t{1} << activation.slot;
    Refresh(activation.server);
  }
  if (next_activation_ == activations_.size() && next_activation_ != 0) {
    activations_.clear();
    next_activation_ = 0;
  }
  for (std::size_t index = 0; index < room_checks_.size();) {
    Server& server = servers_[room_checks_[index]];
    if (now < server.room_check_until) {
      ++index;
      continue;
    }
    server.orphaned = 0;
    Refresh(room_checks_[index]);
    room_checks_[index] = room_checks_.back();
    room_checks_.pop_back();
  }
}

ServerIndex PermitTable::best_except(ServerIndex excluded) const {
  const ServerIndex first = best();
  if (first != excluded || first == kNoIndex) return first;
  ServerIndex second = kNoIndex;
  for (std::size_t position = 1;
       position < std::min<std::size_t>(3, free_.size()); ++position) {
    const ServerIndex candidate = free_.at(position);
    if (second == kNoIndex || free_.key(candidate) < free_.key(second)) {
      second = candidate;
    }
  }
  return second;
}

std::uint32_t PermitTable::Take(ServerIndex server) {
  const std::uint64_t mask = free_masks_[server];
  VERIFY(mask != 0);
  const auto slot = static_cast<std::uint32_t>(std::bit_width(mask)) - 1;
  servers_[server].in_use |= std::uint64_t{1} << slot;
  Refresh(server);
  return slot;
}

void PermitTable::TakeFirst(ServerIndex server) {
  VERIFY(is_first_slot_free(server));
  servers_[server].in_use |= 1;
  Refresh(server);
}

void PermitTable::Release(ServerIndex server, std::uint32_t slot) {
  VERIFY(is_in_use(server, slot));
  servers_[server].in_use &= ~(std::uint64_t{1} << slot);
  Refresh(server);
}

void PermitTable::SetBusyElsewhere(ServerIndex server, std::uint32_t slot,
                                   HostIndex host) {
  slots_[servers_[server].first_slot + slot].busy_host = host;
  servers_[server].elsewhere |= std::uint64_t{1} << slot;
  Refresh(server);
}

void PermitTable::ClearBusyElsewhere(ServerIndex server, std::uint32_t slot,
                                     HostIndex host) {
  Slot& entry = slots_[servers_[server].first_slot + slot];
  if (entry.busy_host != host) return;
  entry.busy_host = kNoIndex;
  servers_[server].elsewhere &= ~(std::uint64_t{1} << slot);
  Refresh(server);
}

void PermitTable::ReportInWork(ServerIndex server, std::uint32_t in_work,
                               TimePoint now) {
  Server& entry = servers_[server];
  if (entry.orphaned == 0 || now < entry.room_check_from ||
      in_work >= entry.least_in_work) {
    return;
  }
  entry.least_in_work = in_work;
  if (in_work == 0) {
    entry.orphaned = 0;
    std::erase(room_checks_, server);
  }
  Refresh(server);
}

std::size_t PermitTable::bytes() const {
  return servers_.capacity() * sizeof(Server) +
         free_masks_.capacity() * sizeof(std::uint64_t) +
         slots_.capacity() * sizeof(Slot) +
         activations_.capacity() * sizeof(Activation) +
         room_checks_.capacity() * sizeof(ServerIndex) +
         permits_of_host_.capacity() * sizeof(std::uint32_t) + free_.bytes();
}

}  // namespace dogwood
