#pragma once

#include <cstdint>
#include <vector>

#include "Libraries/Routing/indexed_heap.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Tracks which slots of the backend servers this host owns and which of them
// are free. Slots are assigned to the live hosts by rendezvous hashing. A slot
// that is reassigned to another host is released at once; a slot that is
// assigned to this host is used only after the takeover delay.
class PermitTable {
 public:
  struct Slot {
    HostIndex owner = kInvalidIndex;
    // Other host that still runs a request on the slot.
    HostIndex other_user = kInvalidIndex;
    // Removed host that may still have a request here.
    HostIndex removed_owner = kInvalidIndex;
    std::uint32_t generation = 0;  // incremented on each change of owner
    std::uint32_t lent_record = kInvalidIndex;  // index into LentPermits
  };
  // A slot that moved to another live host while a request of this host runs on
  // it, or a request of a removed host may.
  struct Handover {
    ServerIndex server;
    std::uint32_t slot;
    HostIndex new_owner;
  };

  explicit PermitTable(const RouterOptions& options) : options_(&options) {}

  // Adds a server. Its index is the previous number of servers.
  void AddServer(std::uint64_t name_hash, std::uint32_t slots);
  void SetSlots(ServerIndex server, std::uint32_t slots);
  // Lets only slots with an index below `usable_slots` start requests.
  void SetUsableSlots(ServerIndex server, std::uint32_t usable_slots);
  // Sets the preference among servers with free permits; lower is better.
  void SetScore(ServerIndex server, double score);

  // Reassigns all slots. `name_hashes` is indexed by host, `alive` lists the
  // live hosts. Appends the slots that their new owner must not use yet to
  // `handovers`.
  void ApplyHosts(const std::vector<std::uint64_t>& name_hashes,
                  const std::vector<HostIndex>& alive, HostIndex self,
                  TimePoint now, std::vector<Handover>& handovers);

  // Activates gained slots whose takeover delay has passed.
  void Advance(TimePoint now);

  // Best server with a free permit, or kInvalidIndex.
  ServerIndex best_server() const {
    return free_servers_.empty() ? kInvalidIndex : free_servers_.top();
  }
  // As best_server, but skips `excluded`. The top three heap positions suffice,
  // since one of the root's children holds the second best.
  ServerIndex best_server_except(ServerIndex excluded) const;
  bool has_free_permit(ServerIndex server) const {
    return free_slot_mask(server) != 0;
  }
  // Whether slot 0, the only one that crash suspects may use, is free.
  bool is_first_slot_free(ServerIndex server) const {
    return (free_slot_mask(server) & 1) != 0;
  }
  std::uint32_t free_permits() const { return free_permits_; }

  // Takes the free slot with the greatest index, which keeps slot 0 available
  // for crash suspects.
  std::uint32_t Take(ServerIndex server);
  void TakeFirstSlot(ServerIndex server);
  void Release(ServerIndex server, std::uint32_t slot);

  void SetBusyElsewhere(ServerIndex server, std::uint32_t slot, HostIndex host);
  void ClearBusyElsewhere(ServerIndex server, std::uint32_t slot,
                          HostIndex host);
  // Marks a slot on which a removed borrower may still run a request.
  void MarkOrphaned(ServerIndex server, std::uint32_t slot, TimePoint now);
  // Marks all owned slots, on which an earlier incarnation of this host may
  // still run requests.
  void MarkOwnedOrphaned(TimePoint now);
  // Applies the number of in-flight requests that a response of the server
  // reported. Orphaned slots become usable_slots when it shows free capacity.
  void ObserveInFlight(ServerIndex server, std::uint32_t in_flight,
                       TimePoint now);

  HostIndex owner(ServerIndex server, std::uint32_t slot) const {
    return slots_[servers_[server].first_slot_offset + slot].owner;
  }
  std::uint32_t lent_record(ServerIndex server, std::uint32_t slot) const {
    return slots_[servers_[server].first_slot_offset + slot].lent_record;
  }
  void set_lent_record(ServerIndex server, std::uint32_t slot,
                       std::uint32_t record) {
    slots_[servers_[server].first_slot_offset + slot].lent_record = record;
  }
  HostIndex other_user(ServerIndex server, std::uint32_t slot) const {
    return slots_[servers_[server].first_slot_offset + slot].other_user;
  }
  bool is_in_use(ServerIndex server, std::uint32_t slot) const {
    return (servers_[server].in_use_mask >> slot & 1) != 0;
  }
  bool is_orphaned(ServerIndex server, std::uint32_t slot) const {
    return (servers_[server].orphaned_mask >> slot & 1) != 0;
  }
  // Number of slots that the server has or had.
  std::uint32_t slot_count(ServerIndex server) const {
    return servers_[server].slot_capacity;
  }
  std::size_t server_count() const { return servers_.size(); }
  // Permits for usable_slots slots that this host owns, in use or free.
  std::uint32_t owned_permits() const { return owned_permits_; }
  std::uint32_t owned_permits(HostIndex host) const {
    return host < permits_by_host_.size() ? permits_by_host_[host] : 0;
  }
  std::uint32_t usable_permits() const { return usable_permits_; }

  std::size_t bytes() const;

 private:
  // Owners, indexed like slots_.
  std::vector<HostIndex> AssignOwners(
      const std::vector<std::uint64_t>& name_hashes,
      const std::vector<HostIndex>& alive) const;
  struct Server {
    std::uint64_t name_hash = 0;
    std::uint64_t owned_mask = 0;  // owned by this host
    std::uint64_t ready_mask = 0;  // owned, takeover delay has passed
    // Running here or lent, even if no longer owned.
    std::uint64_t in_use_mask = 0;
    // Another host reported a running request.
    std::uint64_t busy_elsewhere_mask = 0;
    std::uint64_t orphaned_mask = 0;  // a removed host may still run a request
    TimePoint orphan_check_from{};
    TimePoint orphan_check_until{};
    std::uint32_t lowest_in_flight = kInvalidIndex;  // since orphan_check_from
    std::uint32_t first_slot_offset = 0;
    std::uint32_t slots = 0;
    // Entries in slots_ from first_slot_offset.
    std::uint32_t slot_capacity = 0;
    std::uint32_t usable_slots = 0;
    float score = 0;
  };
  struct Activation {
    TimePoint at;
    ServerIndex server;
    std::uint32_t slot;
    std::uint32_t generation;
  };
  // Order of servers: score, then number of free slots, descending.
  struct ServerRank {
    float score = 0;
    std::uint32_t unavailable_slots = 0;  // kMaximumSlots minus free slots
    friend auto operator<=>(const ServerRank&, const ServerRank&) = default;
  };

  static std::uint64_t LowBitsMask(std::uint32_t count) {
    return count >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << count) - 1;
  }
  std::uint64_t UnblockedMask(const Server& server) const;
  std::uint64_t ComputeFreeMask(const Server& server) const;
  std::uint64_t free_slot_mask(ServerIndex server) const {
    return free_slot_masks_[server];
  }
  // Recomputes the free mask, the free count and the heap position of a server.
  void Refresh(ServerIndex server);
  void RecountOwnedPermits();
  void AddOrphanedSlots(ServerIndex server, std::uint64_t orphaned_mask,
                        TimePoint from);
  void ScheduleActivation(ServerIndex server, std::uint32_t slot,
                          TimePoint now);

  const RouterOptions* options_;
  std::vector<Server> servers_;
  std::vector<std::uint64_t> free_slot_masks_;
  std::vector<Slot> slots_;
  std::vector<Activation> activations_;  // ordered by time
  std::size_t next_activation_ = 0;
  std::vector<ServerIndex> servers_with_orphans_;
  std::vector<std::uint32_t> permits_by_host_;
  IndexedHeap<ServerRank> free_servers_;
  HostIndex self_ = kInvalidIndex;
  std::uint32_t free_permits_ = 0;
  std::uint32_t owned_permits_ = 0;
  std::uint32_t usable_permits_ = 0;
};

}  // namespace dogwood
