#pragma once

#include <cstdint>
#include <vector>

#include "Libraries/Routing/indexed_heap.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Which slots of which backend servers this host owns and which of them are
// free. Ownership follows rendezvous hashing over the live hosts: a slot is
// released the moment the view assigns it to another host, and is used only
// after the takeover delay when the view assigns it to this one.
class PermitTable {
 public:
  struct Slot {
    HostIndex owner = kNoIndex;
    HostIndex busy_host = kNoIndex;       // says that it still has work here
    HostIndex vanished_owner = kNoIndex;  // whose work made it an orphan
    std::uint32_t generation = 0;         // of ownership
    std::uint32_t lent = kNoIndex;        // record of the LentPermits
  };
  // A live host that gained a slot on which this host still has work, or on
  // which work of a vanished host may still be running.
  struct Handover {
    ServerIndex server;
    std::uint32_t slot;
    HostIndex new_owner;
  };

  explicit PermitTable(const RouterOptions& options) : options_(&options) {}

  // Adds a server; its index is the number of servers before.
  void AddServer(std::uint64_t name_hash, std::uint32_t slots);
  void SetSlots(ServerIndex server, std::uint32_t slots);
  // Slots with an index below `usable` may start work.
  void SetUsable(ServerIndex server, std::uint32_t usable);
  // Order among servers with free permits; lower is better.
  void SetScore(ServerIndex server, double score);

  // Recomputes the owners. `name_hashes` is indexed by host; `alive` lists live
  // hosts. Appends slots to hand over to `handovers`.
  void ApplyHosts(const std::vector<std::uint64_t>& name_hashes,
                  const std::vector<HostIndex>& alive, HostIndex self,
                  TimePoint now, std::vector<Handover>& handovers);

  // Starts to use slots whose takeover delay has passed.
  void Advance(TimePoint now);

  // Best server with a free permit, or kNoIndex.
  ServerIndex best() const { return free_.empty() ? kNoIndex : free_.top(); }
  // Best free server other than `excluded`; looks at the first three.
  ServerIndex best_except(ServerIndex excluded) const;
  bool has_free(ServerIndex server) const { return free_mask(server) != 0; }
  // Whether the first slot, the only one for crash suspects, is free.
  bool is_first_slot_free(ServerIndex server) const {
    return (free_mask(server) & 1) != 0;
  }
  std::uint32_t free_permits() const { return free_permits_; }

  // Takes a free slot of the server: the greatest, so that first slots stay
  // free for crash suspects.
  std::uint32_t Take(ServerIndex server);
  void TakeFirst(ServerIndex server);
  void Release(ServerIndex server, std::uint32_t slot);

  void SetBusyElsewhere(ServerIndex server, std::uint32_t slot, HostIndex host);
  void ClearBusyElsewhere(ServerIndex server, std::uint32_t slot,
                          HostIndex host);
  // The slot may have work of a vanished borrower.
  void MarkOrphaned(ServerIndex server, std::uint32_t slot, TimePoint now);
  // All slots of this host may have work of its earlier incarnation.
  void OrphanOwned(TimePoint now);
  // A response of the server reported this many requests in work; see
  // room_check_limit.
  void ReportInWork(ServerIndex server, std::uint32_t in_work, TimePoint now);

  HostIndex owner(ServerIndex server, std::uint32_t slot) const {
    return slots_[servers_[server].first_slot + slot].owner;
  }
  std::uint32_t lent(ServerIndex server, std::uint32_t slot) const {
    return slots_[servers_[server].first_slot + slot].lent;
  }
  void set_lent(ServerIndex server, std::uint32_t slot, std::uint32_t record) {
    slots_[servers_[server].first_slot + slot].lent = record;
  }
  HostIndex busy_host(ServerIndex server, std::uint32_t slot) const {
    return slots_[servers_[server].first_slot + slot].busy_host;
  }
  bool is_in_use(ServerIndex server, std::uint32_t slot) const {
    return (servers_[server].in_use >> slot & 1) != 0;
  }
  bool is_orphaned(ServerIndex server, std::uint32_t slot) const {
    return (servers_[server].orphaned >> slot & 1) != 0;
  }
  // Slots that exist or existed.
  std::uint32_t slot_count(ServerIndex server) const {
    return servers_[server].slot_capacity;
  }
  std::size_t server_count() const { return servers_.size(); }
  // Permits this host owns on usable slots, free or not.
  std::uint32_t owned_permits() const { return owned_permits_; }
  std::uint32_t owned_permits(HostIndex host) const {
    return host < permits_of_host_.size() ? permits_of_host_[host] : 0;
  }
  std::uint32_t usable_permits() const { return usable_permits_; }

  std::size_t bytes() const;

 private:
  // Owner of each place in slots_.
  std::vector<HostIndex> AssignOwners(
      const std::vector<std::uint64_t>& name_hashes,
      const std::vector<HostIndex>& alive) const;
  struct Server {
    std::uint64_t name_hash = 0;
    std::uint64_t owned = 0;      // by this host in the current view
    std::uint64_t ready = 0;      // owned, and the takeover delay has passed
    std::uint64_t in_use = 0;     // running here or lent, owned or not
    std::uint64_t elsewhere = 0;  // another host says that it has work there
    std::uint64_t orphaned = 0;   // gained by any host from a vanished one
    TimePoint room_check_from{};
    TimePoint room_check_until{};
    std::uint32_t least_in_work = kNoIndex;  // reported since room_check_from
    std::uint32_t first_slot = 0;
    std::uint32_t slots = 0;
    std::uint32_t slot_capacity = 0;  // entries from first_slot
    std::uint32_t usable = 0;
    float score = 0;
  };
  struct Activation {
    TimePoint at;
    ServerIndex server;
    std::uint32_t slot;
    std::uint32_t generation;
  };
  // Order among servers: score, then most free slots.
  struct Key {
    float score = 0;
    std::uint32_t taken = 0;  // maximum slots minus free slots
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  static std::uint64_t LowBits(std::uint32_t count) {
    return count >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << count) - 1;
  }
  std::uint64_t RoomMask(const Server& server) const;
  std::uint64_t ComputeFreeMask(const Server& server) const;
  std::uint64_t free_mask(ServerIndex server) const {
    return free_masks_[server];
  }
  // Recomputes what depends on the masks of the server.
  void Refresh(ServerIndex server);
  void RefreshOwned();
  void AddOrphans(ServerIndex server, std::uint64_t orphaned, TimePoint from);
  void Gain(ServerIndex server, std::uint32_t slot, TimePoint now);

  const RouterOptions* options_;
  std::vector<Server> servers_;
  std::vector<std::uint64_t> free_masks_;
  std::vector<Slot> slots_;
  std::vector<Activation> activations_;  // ascending time
  std::size_t next_activation_ = 0;
  std::vector<ServerIndex> room_checks_;  // servers with orphaned slots
  std::vector<std::uint32_t> permits_of_host_;
  IndexedHeap<Key> free_;  // servers with free permits
  HostIndex self_ = kNoIndex;
  std::uint32_t free_permits_ = 0;
  std::uint32_t owned_permits_ = 0;
  std::uint32_t usable_permits_ = 0;
};

}  // namespace dogwood
