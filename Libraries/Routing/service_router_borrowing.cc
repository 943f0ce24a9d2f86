// Permit borrowing between hosts.
#include <algorithm>

#include "Libraries/Routing/service_router.h"

namespace dogwood {

void ServiceRouter::SendBorrowRequests(FairQueue::Entry entry, TimePoint now,
                                       RouterActions& actions) {
  if (!lease_.is_valid(now)) return;
  WaitingRequest& waiting = waiting_requests_[entry];
  const RouterRequest& request = queue_.request(entry);
  std::array<HostIndex, kMaximumBorrowFanout> asked_peers{};
  for (std::uint32_t index = 0; index < waiting.borrow_count; ++index) {
    asked_peers[index] = outgoing_borrows_[waiting.borrows[index]].peer;
  }
  while (waiting.borrow_count < options_.borrow_fanout) {
    const HostIndex peer = peer_selector_.Select(
        asked_peers.data(), waiting.borrow_count, now, *engine_);
    if (peer == kInvalidIndex) return;
    const std::uint32_t borrow =
        outgoing_borrows_.Add({.peer = peer, .entry = entry, .sent = now});
    VERIFY(borrow < (1U << kBorrowIndexBits));
    OutgoingBorrow& outgoing = outgoing_borrows_[borrow];
    outgoing.id = (next_borrow_generation_++ << kBorrowIndexBits) | borrow;
    asked_peers[waiting.borrow_count] = peer;
    waiting.borrows[waiting.borrow_count++] = borrow;
    actions.push_back({.kind = RouterAction::Kind::kSendBorrow,
                       .host = peer,
                       .server = request.excluded,
                       .request = request.id,
                       .borrow_id = outgoing.id,
                       .age = now - request.arrival,
                       .agreement = request.agreement,
                       .is_suspect = request.is_suspect});
  }
}

// Removes a pending borrow request of a queued request.
void ServiceRouter::RemovePendingBorrow(std::uint32_t borrow) {
  WaitingRequest& waiting = waiting_requests_[outgoing_borrows_[borrow].entry];
  auto* const end = waiting.borrows.data() + waiting.borrow_count;
  *std::find(waiting.borrows.data(), end, borrow) = *(end - 1);
  --waiting.borrow_count;
  outgoing_borrows_.Remove(borrow);
}

void ServiceRouter::LendPermit(const BorrowRequest& borrow, ServerIndex server,
                               TimePoint now, RouterActions& actions) {
  Permit permit = TakePermit(server, borrow.is_suspect);
  permit.borrow_id = borrow.borrow_id;
  permits_.set_lent_record(
      server, permit.slot,
      lent_permits_.Add({.server = server,
                         .slot = permit.slot,
                         .borrower = borrow.from,
                         .borrow_id = borrow.borrow_id,
                         .next_query_at = now + options_.lent_query_interval}));
  actions.push_back({.kind = RouterAction::Kind::kLend,
                     .host = borrow.from,
                     .borrow_id = borrow.borrow_id,
                     .permit = permit,
                     .free_hint = permits_.free_permits()});
}

void ServiceRouter::OnBorrow(const BorrowRequest& borrow, TimePoint now,
                             RouterActions& actions) {
  Advance(now);
  const bool is_known =
      borrow.from < is_alive_.size() && is_alive_[borrow.from];
  if (!is_known || !can_use_own_permits(now) || permits_.owned_permits() == 0) {
    actions.push_back({.kind = RouterAction::Kind::kRefuseBorrow,
                       .host = borrow.from,
                       .borrow_id = borrow.borrow_id});
    return;
  }
  const ServerIndex server = FindFreeServer(
      {.is_suspect = borrow.is_suspect, .excluded = borrow.excluded});
  if (server != kInvalidIndex) {
    LendPermit(borrow, server, now, actions);
    return;
  }
  borrow_queue_.Push(borrow, now + options_.borrow_timeout);
}

bool ServiceRouter::OnBorrowCancelled(HostIndex from, std::uint64_t borrow_id) {
  return borrow_queue_.Cancel(from, borrow_id);
}

bool ServiceRouter::RemoveLentRecord(HostIndex from, const Permit& permit) {
  if (permit.server >= backends_.size() ||
      permit.slot >= permits_.slot_count(permit.server)) {
    return false;
  }
  const std::uint32_t record = permits_.lent_record(permit.server, permit.slot);
  // A return may arrive twice when the lender queried the permit.
  if (record == kInvalidIndex || lent_permits_[record].borrower != from ||
      lent_permits_[record].borrow_id != permit.borrow_id) {
    return false;
  }
  lent_permits_.Remove(record);
  permits_.set_lent_record(permit.server, permit.slot, kInvalidIndex);
  return true;
}

void ServiceRouter::OnPermitReturned(HostIndex from, const Permit& permit,
                                     TimePoint now, RouterActions& actions) {
  Advance(now);
  if (!RemoveLentRecord(from, permit)) return;
  ReleaseOwnPermit(permit.server, permit.slot, now, actions);
}

void ServiceRouter::OnPermitOrphaned(HostIndex from, const Permit& permit,
                                     TimePoint now, RouterActions& actions) {
  Advance(now);
  if (!RemoveLentRecord(from, permit)) return;
  permits_.MarkOrphaned(permit.server, permit.slot, now);
  ReleaseOwnPermit(permit.server, permit.slot, now, actions);
}

void ServiceRouter::OnBorrowGranted(HostIndex from, std::uint64_t borrow_id,
                                    ServerIndex server, std::uint32_t slot,
                                    std::uint32_t free_hint, TimePoint now,
                                    RouterActions& actions) {
  Advance(now);
  peer_selector_.RecordFreePermits(from, free_hint, now);
  const Permit permit{
      .server = server, .slot = slot, .lender = from, .borrow_id = borrow_id};
  const std::uint32_t borrow = BorrowIndex(borrow_id);
  const bool is_pending =
      outgoing_borrows_.contains(borrow) &&
      outgoing_borrows_[borrow].id == borrow_id &&
      outgoing_borrows_[borrow].state == OutgoingBorrow::State::kPending;
  bool is_usable =
      is_pending && server < backends_.size() && lease_.is_valid(now) &&
      now - outgoing_borrows_[borrow].sent <= options_.grant_validity &&
      slot < backends_[server].usable_slots();
  if (is_usable) {
    is_usable = is_server_allowed(
        queue_.request(outgoing_borrows_[borrow].entry), server, slot == 0);
  }
  if (!is_usable) {
    if (is_pending) RemovePendingBorrow(borrow);
    actions.push_back({.kind = RouterAction::Kind::kReturnPermit,
                       .host = from,
                       .borrow_id = borrow_id,
                       .permit = permit});
    return;
  }
  const FairQueue::Entry entry = outgoing_borrows_[borrow].entry;
  WaitingRequest& waiting = waiting_requests_[entry];
  auto* const end = waiting.borrows.data() + waiting.borrow_count;
  *std::find(waiting.borrows.data(), end, borrow) = *(end - 1);
  --waiting.borrow_count;
  outgoing_borrows_[borrow].state = OutgoingBorrow::State::kInUse;
  outgoing_borrows_[borrow].entry = kInvalidIndex;
  actions.push_back({.kind = RouterAction::Kind::kGrant,
                     .request = queue_.request(entry).id,
                     .permit = permit});
  Dequeue(entry, true, now, actions);
}

void ServiceRouter::OnBorrowRefused(HostIndex from, std::uint64_t borrow_id,
                                    TimePoint now, RouterActions& actions) {
  Advance(now);
  peer_selector_.RecordRefusal(from, now);
  const std::uint32_t borrow = BorrowIndex(borrow_id);
  if (!outgoing_borrows_.contains(borrow) ||
      outgoing_borrows_[borrow].id != borrow_id ||
      outgoing_borrows_[borrow].state != OutgoingBorrow::State::kPending) {
    return;
  }
  const FairQueue::Entry entry = outgoing_borrows_[borrow].entry;
  RemovePendingBorrow(borrow);
  SendBorrowRequests(entry, now, actions);
}

void ServiceRouter::OnLentQuery(HostIndex from, const Permit& permit,
                                TimePoint now, RouterActions& actions) {
  Advance(now);
  if (permit.borrow_id == 0) {
    // The new owner repeats the query.
    if (now < earlier_incarnation_work_until_) return;
    if (permit.server < backends_.size() &&
        permit.slot < permits_.slot_count(permit.server) &&
        (permits_.is_in_use(permit.server, permit.slot) ||
         permits_.is_orphaned(permit.server, permit.slot))) {
      return;
    }
    actions.push_back({.kind = RouterAction::Kind::kSlotFree,
                       .host = from,
                       .permit = permit});
    return;
  }
  const std::uint32_t borrow = BorrowIndex(permit.borrow_id);
  if (outgoing_borrows_.contains(borrow) &&
      outgoing_borrows_[borrow].id == permit.borrow_id) {
    if (outgoing_borrows_[borrow].state == OutgoingBorrow::State::kInUse)
      return;
    // The grant was lost or is late. It must not be used after this answer.
    RemovePendingBorrow(borrow);
  }
  Permit returned = permit;
  returned.lender = from;
  const bool is_of_earlier_incarnation =
      permit.borrow_id >> kBorrowIndexBits < options_.first_borrow_generation;
  actions.push_back({.kind = is_of_earlier_incarnation
                                 ? RouterAction::Kind::kOrphanPermit
                                 : RouterAction::Kind::kReturnPermit,
                     .host = from,
                     .borrow_id = permit.borrow_id,
                     .permit = returned});
}

void ServiceRouter::ExpireBorrows(TimePoint now, RouterActions& actions) {
  std::uint32_t borrow = outgoing_borrows_.first();
  while (borrow != kInvalidIndex &&
         outgoing_borrows_[borrow].sent + options_.borrow_timeout <= now) {
    const std::uint32_t next = outgoing_borrows_.next(borrow);
    if (outgoing_borrows_[borrow].state == OutgoingBorrow::State::kPending) {
      const FairQueue::Entry entry = outgoing_borrows_[borrow].entry;
      RemovePendingBorrow(borrow);
      SendBorrowRequests(entry, now, actions);
    }
    borrow = next;
  }
  expired_borrows_.clear();
  borrow_queue_.RemoveExpired(now, expired_borrows_);
  for (const BorrowRequest& expired : expired_borrows_) {
    actions.push_back({.kind = RouterAction::Kind::kRefuseBorrow,
                       .host = expired.from,
                       .borrow_id = expired.borrow_id});
  }
}

void ServiceRouter::CheckLentPermits(TimePoint now, RouterActions& actions) {
  std::uint32_t record = lent_permits_.first();
  while (record != kInvalidIndex) {
    const std::uint32_t next = lent_permits_.next(record);
    LentPermit& lent = lent_permits_[record];
    if (lent.reclaim_at <= now) {
      const ServerIndex server = lent.server;
      const std::uint32_t slot = lent.slot;
      lent_permits_.Remove(record);
      permits_.set_lent_record(server, slot, kInvalidIndex);
      permits_.MarkOrphaned(server, slot, now);
      ReleaseOwnPermit(server, slot, now, actions);
    } else if (lent.next_query_at <= now) {
      lent.next_query_at = now + options_.lent_query_interval;
      actions.push_back({.kind = RouterAction::Kind::kQueryLent,
                         .host = lent.borrower,
                         .borrow_id = lent.borrow_id,
                         .permit = {.server = lent.server,
                                    .slot = lent.slot,
                                    .borrow_id = lent.borrow_id}});
    }
    record = next;
  }
}

void ServiceRouter::OnSlotBusy(HostIndex from, ServerIndex server,
                               std::uint32_t slot) {
  if (server >= backends_.size() || slot >= permits_.slot_count(server)) return;
  permits_.SetBusyElsewhere(server, slot, from);
  busy_elsewhere_.emplace_back(server, slot);
}

void ServiceRouter::OnSlotFree(HostIndex from, ServerIndex server,
                               std::uint32_t slot, TimePoint now,
                               RouterActions& actions) {
  Advance(now);
  if (server >= backends_.size() || slot >= permits_.slot_count(server)) return;
  permits_.ClearBusyElsewhere(server, slot, from);
  AssignFreePermits(server, now, actions);
}

void ServiceRouter::QueryBusySlots(TimePoint now, RouterActions& actions) {
  if (busy_elsewhere_.empty() || now < next_busy_slot_query_at_) return;
  next_busy_slot_query_at_ = now + options_.lent_query_interval;
  std::erase_if(busy_elsewhere_, [&](const auto& busy) {
    return permits_.other_user(busy.first, busy.second) == kInvalidIndex;
  });
  std::sort(busy_elsewhere_.begin(), busy_elsewhere_.end());
  busy_elsewhere_.erase(
      std::unique(busy_elsewhere_.begin(), busy_elsewhere_.end()),
      busy_elsewhere_.end());
  for (const auto& [server, slot] : busy_elsewhere_) {
    actions.push_back({.kind = RouterAction::Kind::kQueryLent,
                       .host = permits_.other_user(server, slot),
                       .permit = {.server = server, .slot = slot}});
  }
}

}  // namespace dogwood
