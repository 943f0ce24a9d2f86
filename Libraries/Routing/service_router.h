#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "Libraries/Routing/backend_server.h"
#include "Libraries/Routing/fair_queue.h"
#include "Libraries/Routing/lent_permits.h"
#include "Libraries/Routing/parked_borrows.h"
#include "Libraries/Routing/peer_chooser.h"
#include "Libraries/Routing/permit_lease.h"
#include "Libraries/Routing/permit_table.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Placement of the requests of one service on one host: permits, the queue of
// waiting requests, borrowing between hosts and the state of the backend
// servers. Uses no clock and no I/O: callers pass the time, which must not
// decrease, and carry out the appended actions in order. Not thread-safe.
//
// A call to Tick is needed at least every 50 ms, and SetLeaseRenewed with every
// acknowledgement by a peer.
class ServiceRouter {
 public:
  // `engine` must outlive the router.
  ServiceRouter(RouterOptions options, std::mt19937_64& engine);
  ServiceRouter(const ServiceRouter&) = delete;
  ServiceRouter& operator=(const ServiceRouter&) = delete;

  // --- View of the fleet ---
  void ApplyFleet(const RouterFleet& fleet, TimePoint now,
                  RouterActions& actions);
  // A peer acknowledged a message that this host sent at `sent_at`.
  void SetLeaseRenewed(TimePoint sent_at, TimePoint now,
                       RouterActions& actions);
  void SetShare(PartyIndex party, double share) {
    queue_.SetShare(party, share);
  }

  // --- Requests ---
  AcquireResult Acquire(const RouterRequest& request, TimePoint now,
                        RouterActions& actions);
  // Gives back a permit of Acquire or of a kGrant action, exactly once.
  void Complete(const Permit& permit, const RouterObservation& observation,
                TimePoint now, RouterActions& actions);
  // Removes a waiting request; false when it no longer waits.
  bool Cancel(std::uint64_t request_id, TimePoint now, RouterActions& actions);
  // Expires waiting requests, borrows and takeover delays.
  void Tick(TimePoint now, RouterActions& actions);

  // --- Lender's side of borrowing ---
  // Answers with kLend or kRefuseBorrow now or by a later call.
  void OnBorrow(const BorrowRequest& borrow, TimePoint now,
                RouterActions& actions);
  // True when the borrow was parked and is now forgotten. When false, its
  // kLend or kRefuseBorrow is already among the actions and still counts.
  bool OnBorrowCancelled(HostIndex from, std::uint64_t borrow_id);
  // `permit` is the one of the peer's kReturnPermit, with its borrow id.
  void OnPermitReturned(HostIndex from, const Permit& permit, TimePoint now,
                        RouterActions& actions);

  // `permit` is the one of the peer's kOrphanPermit.
  void OnPermitOrphaned(HostIndex from, const Permit& permit, TimePoint now,
                        RouterActions& actions);

  // --- Borrower's side ---
  void OnBorrowGranted(HostIndex from, std::uint64_t borrow_id,
                       ServerIndex server, std::uint32_t slot,
                       std::uint32_t free_hint, TimePoint now,
                       RouterActions& actions);
  void OnBorrowRefused(HostIndex from, std::uint64_t borrow_id, TimePoint now,
                       RouterActions& actions);
  // A lender asks whether a lent permit (borrow id set) is in use, or the new
  // owner of a slot whether there is still work on it (borrow id 0). Answers
  // with kReturnPermit, kOrphanPermit or kSlotFree when not.
  void OnLentQuery(HostIndex from, const Permit& permit, TimePoint now,
                   RouterActions& actions);

  // --- Shared state of backend servers ---
  void OnServerState(HostIndex from, ServerIndex server,
                     const ServerState& state, TimePoint now,
                     RouterActions& actions);
  void OnSlotBusy(HostIndex from, ServerIndex server, std::uint32_t slot);
  void OnSlotFree(HostIndex from, ServerIndex server, std::uint32_t slot,
                  TimePoint now, RouterActions& actions);
  void OnHealth(ServerIndex server, BackendServer::Health health, TimePoint now,
                RouterActions& actions);
  // Result of a probe: evidence without a permit.
  void OnProbeResult(ServerIndex server, const RouterObservation& observation,
                     TimePoint now, RouterActions& actions);
  // Whether the server's state waits for evidence that traffic does not give.
  bool should_probe(ServerIndex server, TimePoint now) const;

  // --- Names and state ---
  ServerIndex server_index(const ServerId& id) const;  // or kNoIndex
  HostIndex host_index(const HostId& id) const;        // or kNoIndex
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
  std::size_t lent_permits() const { return lent_.size(); }
  std::size_t parked_borrows() const { return parked_.size(); }
  bool is_lease_valid(TimePoint now) const { return lease_.is_valid(now); }
  Duration service_median() const {
    return Duration(static_cast<std::int64_t>(median_));
  }
  std::size_t bytes() const;

 private:
  static constexpr std::size_t kMaximumFanout = 4;

  // State of a waiting request beside its queue entry.
  struct Waiting {
    std::array<std::uint32_t, kMaximumFanout> borrows{};  // pool indexes
    std::uint32_t borrow_count = 0;
    FairQueue::Entry next_in_bucket = kNoIndex;
  };

  void Advance(TimePoint now);
  bool can_use_own(TimePoint now) const {
    return lease_.is_valid(now) && now >= lease_.usable_from();
  }
  bool is_acceptable(const RouterRequest& request, ServerIndex server,
                     bool is_first_slot) const;

  // service_router.cc
  Permit TakePermit(ServerIndex server, bool is_suspect);
  ServerIndex FindServer(const RouterRequest& request) const;
  void ReleaseOwn(ServerIndex server, std::uint32_t slot, TimePoint now,
                  RouterActions& actions);
  void RefreshServer(ServerIndex server);
  void Publish(ServerIndex server, HostIndex to, RouterActions& actions) const;
  void RecordLatency(const RouterObservation& observation);
  void TakeEvidence(ServerIndex server, const RouterObservation& observation,
                    TimePoint now, RouterActions& actions);
  Duration ExpectedWait(AgreementClass agreement) const;

  // service_router_queue.cc
  FairQueue::Entry Enqueue(const RouterRequest& request);
  void Dequeue(FairQueue::Entry entry, bool is_served, TimePoint now,
               RouterActions& actions);
  // Serves waiting requests, own and parked, from free permits of the server.
  void ServeFrom(ServerIndex server, TimePoint now, RouterActions& actions);
  void ServeAll(TimePoint now, RouterActions& actions);
  std::size_t BucketOf(std::uint64_t request_id) const;
  void LinkRequest(FairQueue::Entry entry);
  void UnlinkRequest(FairQueue::Entry entry);
  void ExpireRequests(TimePoint now, RouterActions& actions);

  // service_router_borrowing.cc
  void SendBorrows(FairQueue::Entry entry, TimePoint now,
                   RouterActions& actions);
  void Lend(const BorrowRequest& borrow, ServerIndex server, TimePoint now,
            RouterActions& actions);
  // Drops the record of a lent permit that the peer holds; false when it does
  // not hold it.
  bool TakeBack(HostIndex from, const Permit& permit);
  void ForgetBorrow(std::uint32_t borrow);
  void ExpireBorrows(TimePoint now, RouterActions& actions);
  void WatchLent(TimePoint now, RouterActions& actions);
  void WatchBusySlots(TimePoint now, RouterActions& actions);

  // service_router_fleet.cc
  HostIndex InternHost(const HostId& id);
  void ApplyServers(const RouterFleet& fleet,
                    std::vector<ServerIndex>& changed);
  void ApplyView(const RouterFleet& fleet, TimePoint now,
                 RouterActions& actions);

  RouterOptions options_;
  std::mt19937_64* engine_;
  PermitLease lease_;
  PermitTable permits_;
  std::vector<BackendServer> backends_;
  FairQueue queue_;
  std::vector<Waiting> waiting_;                   // by queue entry
  IndexedHeap<TimePoint> deadlines_;               // by queue entry
  std::vector<FairQueue::Entry> request_buckets_;  // heads of chains by id
  ParkedBorrows parked_;
  OwnBorrows own_borrows_;
  LentPermits lent_;
  PeerChooser peers_;
  std::uint64_t next_generation_;
  std::vector<BorrowRequest> expired_;  // scratch
  std::vector<std::pair<ServerIndex, std::uint32_t>> busy_elsewhere_;
  TimePoint next_busy_query_{};

  std::vector<HostId> hosts_;
  std::vector<std::uint64_t> host_hashes_;
  std::vector<bool> is_alive_;
  std::unordered_map<std::string, HostIndex> host_indexes_;
  std::unordered_map<std::string, ServerIndex> server_indexes_;
  HostIndex self_ = kNoIndex;
  std::size_t live_hosts_ = 1;
  bool has_fleet_ = false;
  // Until then an earlier incarnation of this host may have work.
  TimePoint earlier_work_until_ = TimePoint::min();
  double median_ = 0;        // of latency, in ns
  double mean_latency_ = 0;  // in ns
};

}  // namespace dogwood
