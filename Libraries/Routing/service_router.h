#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "Libraries/Routing/backend_server.h"
#include "Libraries/Routing/borrow_peer_selector.h"
#include "Libraries/Routing/borrow_queue.h"
#include "Libraries/Routing/fair_queue.h"
#include "Libraries/Routing/permit_lease.h"
#include "Libraries/Routing/permit_lending.h"
#include "Libraries/Routing/permit_table.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Places the requests of one service on backend servers, for one host. Combines
// the permit table, the queue of waiting requests, permit borrowing between
// hosts and the state of the backend servers. Uses no clock and no I/O: callers
// pass the time, which must not decrease, and carry out the appended actions in
// order. Not thread-safe.
//
// Tick must be called at least every 50 ms, and SetLeaseRenewed for every
// acknowledgement by a peer.
class ServiceRouter {
 public:
  // `engine` must outlive the router.
  ServiceRouter(RouterOptions options, std::mt19937_64& engine);
  ServiceRouter(const ServiceRouter&) = delete;
  ServiceRouter& operator=(const ServiceRouter&) = delete;

  // --- Fleet membership ---
  void ApplyConfiguration(const RouterConfiguration& fleet, TimePoint now,
                          RouterActions& actions);
  // A peer acknowledged a message that this host sent at `sent_at`.
  void SetLeaseRenewed(TimePoint sent_at, TimePoint now,
                       RouterActions& actions);
  void SetShare(ClientAccountIndex client_account, double share) {
    queue_.SetShare(client_account, share);
  }

  // --- Requests ---
  PermitAcquisition Acquire(const RouterRequest& request, TimePoint now,
                            RouterActions& actions);
  // Releases a permit granted by Acquire or kGrant. Must be called exactly once
  // per permit.
  void Complete(const Permit& permit, const AttemptObservation& observation,
                TimePoint now, RouterActions& actions);
  // Removes a queued request. Returns false when it is no longer queued.
  bool Cancel(std::uint64_t request_id, TimePoint now, RouterActions& actions);
  // Expires queued requests, borrow requests and takeover delays.
  void Tick(TimePoint now, RouterActions& actions);

  // --- Permit borrowing, lender side ---
  // Answers with kLend or kRefuseBorrow, possibly during a later call.
  void OnBorrow(const BorrowRequest& borrow, TimePoint now,
                RouterActions& actions);
  // Returns true when the borrow request was queued and is now removed.
  // Otherwise its kLend or kRefuseBorrow was already issued and remains valid.
  bool OnBorrowCancelled(HostIndex from, std::uint64_t borrow_id);
  // `permit` is that of the peer's kReturnPermit, with its borrow id.
  void OnPermitReturned(HostIndex from, const Permit& permit, TimePoint now,
                        RouterActions& actions);

  // `permit` is that of the peer's kOrphanPermit.
  void OnPermitOrphaned(HostIndex from, const Permit& permit, TimePoint now,
                        RouterActions& actions);

  // --- Permit borrowing, borrower side ---
  void OnBorrowGranted(HostIndex from, std::uint64_t borrow_id,
                       ServerIndex server, std::uint32_t slot,
                       std::uint32_t free_hint, TimePoint now,
                       RouterActions& actions);
  void OnBorrowRefused(HostIndex from, std::uint64_t borrow_id, TimePoint now,
                       RouterActions& actions);
  // Handles the query of a lender whether a lent permit (with borrow id) is in
  // use, or of a slot's new owner whether a request of this host still runs on
  // it (borrow id 0). Answers with kReturnPermit, kOrphanPermit or kSlotFree if
  // not.
  void OnLentQuery(HostIndex from, const Permit& permit, TimePoint now,
                   RouterActions& actions);

  // --- Backend server state ---
  void OnServerState(HostIndex from, ServerIndex server,
                     const SharedServerState& state, TimePoint now,
                     RouterActions& actions);
  void OnSlotBusy(HostIndex from, ServerIndex server, std::uint32_t slot);
  void OnSlotFree(HostIndex from, ServerIndex server, std::uint32_t slot,
                  TimePoint now, RouterActions& actions);
  void OnHealth(ServerIndex server, BackendServer::Health health, TimePoint now,
                RouterActions& actions);
  // Applies the result of a probe, which runs without a permit.
  void OnProbeResult(ServerIndex server, const AttemptObservation& observation,
                     TimePoint now, RouterActions& actions);
  // Whether the server is in rotation below full concurrency and has not
  // responded recently.
  bool should_probe(ServerIndex server, TimePoint now) const;

  // --- Accessors ---
  ServerIndex server_index(const ServerId& id) const;  // or kInvalidIndex
  HostIndex host_index(const HostId& id) const;        // or kInvalidIndex
  const ServerId& server_id(ServerIndex server) const {
    return backends_[server].configuration().id;
  }
  const HostId& host_id(HostIndex host) const { return hosts_[host]; }
  std::size_t server_count() const { return backends_.size(); }
  const BackendServer& backend(ServerIndex server) const {
    return backends_[server];
  }
  const PermitTable& permits() const { return permits_; }
  std::size_t queue_length() const { return queue_.size(); }
  std::size_t lent_permits() const { return lent_permits_.size(); }
  std::size_t queued_borrows() const { return borrow_queue_.size(); }
  bool is_lease_valid(TimePoint now) const { return lease_.is_valid(now); }
  Duration service_median_latency() const {
    return Duration(static_cast<std::int64_t>(median_latency_));
  }
  std::size_t bytes() const;

 private:
  static constexpr std::size_t kMaximumBorrowFanout = 4;

  // State of a queued request in addition to its queue entry.
  struct WaitingRequest {
    // Indexes into outgoing_borrows_.
    std::array<std::uint32_t, kMaximumBorrowFanout> borrows{};
    std::uint32_t borrow_count = 0;
    FairQueue::Entry next_in_bucket = kInvalidIndex;
  };

  void Advance(TimePoint now);
  bool can_use_own_permits(TimePoint now) const {
    return lease_.is_valid(now) && now >= lease_.usable_from();
  }
  bool is_server_allowed(const RouterRequest& request, ServerIndex server,
                         bool is_first_slot) const;

  // Defined in service_router.cc.
  Permit TakePermit(ServerIndex server, bool is_suspect);
  ServerIndex FindFreeServer(const RouterRequest& request) const;
  void ReleaseOwnPermit(ServerIndex server, std::uint32_t slot, TimePoint now,
                        RouterActions& actions);
  void RefreshServer(ServerIndex server);
  void PublishState(ServerIndex server, HostIndex to,
                    RouterActions& actions) const;
  void RecordLatency(const AttemptObservation& observation);
  void ApplyObservation(ServerIndex server,
                        const AttemptObservation& observation, TimePoint now,
                        RouterActions& actions);
  Duration EstimateWait(AgreementCompliance agreement) const;

  // Defined in service_router_queue.cc.
  FairQueue::Entry Enqueue(const RouterRequest& request);
  void Dequeue(FairQueue::Entry entry, bool is_served, TimePoint now,
               RouterActions& actions);
  // Assigns free permits of the server to queued requests and queued borrow
  // requests.
  void AssignFreePermits(ServerIndex server, TimePoint now,
                         RouterActions& actions);
  void AssignAllFreePermits(TimePoint now, RouterActions& actions);
  std::size_t BucketOf(std::uint64_t request_id) const;
  void AddToBucket(FairQueue::Entry entry);
  void RemoveFromBucket(FairQueue::Entry entry);
  void ExpireRequests(TimePoint now, RouterActions& actions);

  // Defined in service_router_borrowing.cc.
  void SendBorrowRequests(FairQueue::Entry entry, TimePoint now,
                          RouterActions& actions);
  void LendPermit(const BorrowRequest& borrow, ServerIndex server,
                  TimePoint now, RouterActions& actions);
  // Removes the record of a permit that the peer holds. Returns false when the
  // peer does not hold it.
  bool RemoveLentRecord(HostIndex from, const Permit& permit);
  void RemovePendingBorrow(std::uint32_t borrow);
  void ExpireBorrows(TimePoint now, RouterActions& actions);
  void CheckLentPermits(TimePoint now, RouterActions& actions);
  void QueryBusySlots(TimePoint now, RouterActions& actions);

  // Defined in service_router_membership.cc.
  HostIndex InternHost(const HostId& id);
  void ApplyServers(const RouterConfiguration& fleet,
                    std::vector<ServerIndex>& changed);
  void ApplyMembership(const RouterConfiguration& fleet, TimePoint now,
                       RouterActions& actions);

  RouterOptions options_;
  std::mt19937_64* engine_;
  PermitLease lease_;
  PermitTable permits_;
  std::vector<BackendServer> backends_;
  FairQueue queue_;
  std::vector<WaitingRequest> waiting_requests_;   // indexed by queue entry
  IndexedHeap<TimePoint> deadlines_;               // indexed by queue entry
  std::vector<FairQueue::Entry> request_buckets_;  // heads of chains by id
  BorrowQueue borrow_queue_;
  OutgoingBorrows outgoing_borrows_;
  LentPermits lent_permits_;
  BorrowPeerSelector peer_selector_;
  std::uint64_t next_borrow_generation_;
  std::vector<BorrowRequest> expired_borrows_;  // reused buffer
  std::vector<std::pair<ServerIndex, std::uint32_t>> busy_elsewhere_;
  TimePoint next_busy_slot_query_at_{};

  std::vector<HostId> hosts_;
  std::vector<std::uint64_t> host_hashes_;
  std::vector<bool> is_alive_;
  std::unordered_map<std::string, HostIndex> host_indexes_;
  std::unordered_map<std::string, ServerIndex> server_indexes_;
  HostIndex self_ = kInvalidIndex;
  std::size_t live_hosts_ = 1;
  bool has_configuration_ = false;
  // Until this time requests of an earlier incarnation of this host may run.
  TimePoint earlier_incarnation_work_until_ = TimePoint::min();
  double median_latency_ = 0;  // in ns
  double mean_latency_ = 0;    // in ns
};

}  // namespace dogwood
