// Request queue of the ServiceRouter.
#include <algorithm>

#include "Libraries/Routing/rendezvous.h"
#include "Libraries/Routing/service_router.h"

namespace dogwood {

std::size_t ServiceRouter::BucketOf(std::uint64_t request_id) const {
  return CombineHashes(request_id, 0) & (request_buckets_.size() - 1);
}

void ServiceRouter::AddToBucket(FairQueue::Entry entry) {
  FairQueue::Entry& head = request_buckets_[BucketOf(queue_.request(entry).id)];
  waiting_requests_[entry].next_in_bucket = head;
  head = entry;
}

void ServiceRouter::RemoveFromBucket(FairQueue::Entry entry) {
  FairQueue::Entry* link =
      &request_buckets_[BucketOf(queue_.request(entry).id)];
  while (*link != entry) link = &waiting_requests_[*link].next_in_bucket;
  *link = waiting_requests_[entry].next_in_bucket;
}

FairQueue::Entry ServiceRouter::Enqueue(const RouterRequest& request) {
  const FairQueue::Entry entry = queue_.Push(request);
  if (entry >= waiting_requests_.size()) {
    waiting_requests_.resize(entry + 1);
    deadlines_.Resize(entry + 1);
  }
  waiting_requests_[entry] = WaitingRequest{};
  deadlines_.InsertOrUpdate(entry, request.deadline);
  if (queue_.size() > request_buckets_.size()) {
    const std::size_t buckets =
        std::max<std::size_t>(16, 2 * request_buckets_.size());
    request_buckets_.assign(buckets, kInvalidIndex);
    for (std::size_t position = 0; position < deadlines_.size(); ++position) {
      AddToBucket(deadlines_.at(position));
    }
  } else {
    AddToBucket(entry);
  }
  return entry;
}

void ServiceRouter::Dequeue(FairQueue::Entry entry, bool is_served,
                            TimePoint now, RouterActions& actions) {
  (void)now;
  WaitingRequest& waiting = waiting_requests_[entry];
  for (std::uint32_t index = 0; index < waiting.borrow_count; ++index) {
    const std::uint32_t borrow = waiting.borrows[index];
    actions.push_back({.kind = RouterAction::Kind::kCancelBorrow,
                       .host = outgoing_borrows_[borrow].peer,
                       .borrow_id = outgoing_borrows_[borrow].id});
    outgoing_borrows_.Remove(borrow);
  }
  waiting.borrow_count = 0;
  deadlines_.Remove(entry);
  RemoveFromBucket(entry);
  if (is_served) {
    queue_.Serve(entry);
  } else {
    queue_.Remove(entry);
  }
}

void ServiceRouter::AssignFreePermits(ServerIndex server, TimePoint now,
                                      RouterActions& actions) {
  if (!can_use_own_permits(now)) return;
  while (permits_.has_free_permit(server)) {
    const bool is_first_free = permits_.is_first_slot_free(server);
    const FairQueue::Entry entry =
        queue_.FindHead([&](const RouterRequest& request) {
          return is_server_allowed(request, server, is_first_free);
        });
    const std::uint32_t queued_borrow =
        borrow_queue_.Find([&](const BorrowRequest& borrow) {
          return borrow.excluded != server &&
                 (!borrow.is_suspect || is_first_free);
        });
    if (entry == kInvalidIndex && queued_borrow == kInvalidIndex) return;
    bool should_lend = entry == kInvalidIndex;
    if (entry != kInvalidIndex && queued_borrow != kInvalidIndex) {
      const RouterRequest& request = queue_.request(entry);
      const BorrowRequest& borrow = borrow_queue_.borrow(queued_borrow);
      should_lend = borrow.agreement < request.agreement ||
                    (borrow.agreement == request.agreement &&
                     borrow.arrival + options_.lend_margin <= request.arrival);
    }
    if (should_lend) {
      const BorrowRequest borrow = borrow_queue_.borrow(queued_borrow);
      borrow_queue_.Remove(queued_borrow);
      LendPermit(borrow, server, now, actions);
      continue;
    }
    const RouterRequest request = queue_.request(entry);
    const Permit permit = TakePermit(server, request.is_suspect);
    actions.push_back({.kind = RouterAction::Kind::kGrant,
                       .request = request.id,
                       .permit = permit});
    Dequeue(entry, true, now, actions);
  }
}

void ServiceRouter::AssignAllFreePermits(TimePoint now,
                                         RouterActions& actions) {
  if (queue_.empty() && borrow_queue_.empty()) return;
  for (ServerIndex server = 0;
       server < backends_.size() && permits_.free_permits() > 0; ++server) {
    AssignFreePermits(server, now, actions);
    if (queue_.empty() && borrow_queue_.empty()) return;
  }
}

void ServiceRouter::ExpireRequests(TimePoint now, RouterActions& actions) {
  while (!deadlines_.empty() && deadlines_.key(deadlines_.top()) <= now) {
    const FairQueue::Entry entry = deadlines_.top();
    actions.push_back(
        {.kind = RouterAction::Kind::kRefuse,
         .request = queue_.request(entry).id,
         .reason = RefusalReason::kDeadlineTooShort,
         .retry_after = EstimateWait(AgreementCompliance::kOver)});
    Dequeue(entry, false, now, actions);
  }
}

}  // namespace dogwood
