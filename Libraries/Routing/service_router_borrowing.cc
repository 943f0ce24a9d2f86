// Borrowing between hosts.
#include <algorithm>

#include "Libraries/Routing/service_router.h"

namespace dogwood {

void ServiceRouter::SendBorrows(FairQueue::Entry entry, TimePoint now,
                                RouterActions& actions) {
  if (!lease_.is_valid(now)) return;
  Waiting& waiting = waiting_[entry];
  const RouterRequest& request = queue_.request(entry);
  std::array<HostIndex, kMaximumFanout> taken{};
  for (std::uint32_t index = 0; index < waiting.borrow_count; ++index) {
    taken[index] = own_borrows_[waiting.borrows[index]].peer;
  }
  while (waiting.borrow_count < options_.borrow_fanout) {
    const HostIndex peer =
        peers_.Choose(taken.data(), waiting.borrow_count, now, *engine_);
    if (peer == kNoIndex) return;
    const std::uint32_t borrow =
        own_borrows_.Add({.peer = peer, .entry = entry, .sent = now});
    VERIFY(borrow < (1U << kBorrowIndexBits));
    OwnBorrow& own = own_borrows_[borrow];
    own.id = (next_generation_++ << kBorrowIndexBits) | borrow;
    taken[waiting.borrow_count] = peer;
    waiting.borrows[waiting.borrow_count++] = borrow;
    actions.push_back({.kind = RouterAction::Kind::kSendBorrow,
                       .host = peer,
                       .server = request.excluded,
                       .request = request.id,
                       .borrow_id = own.id,
                       .age = now - request.arrival,
                       .agreement = request.agreement,
                       .is_suspect = request.is_suspect});
  }
}

// Drops a pending borrow of a waiting request.
void ServiceRouter::ForgetBorrow(std::uint32_t borrow) {
  Waiting& waiting = waiting_[own_borrows_[borrow].entry];
  auto* const end = waiting.borrows.data() + waiting.borrow_count;
  *std::find(waiting.borrows.data(), end, borrow) = *(end - 1);
  --waiting.borrow_count;
  own_borrows_.Remove(borrow);
}

void ServiceRouter::Lend(const BorrowRequest& borrow, ServerIndex server,
                         TimePoint now, RouterActions& actions) {
  Permit permit = TakePermit(server, borrow.is_suspect);
  permit.borrow_id = borrow.borrow_id;
  permits_.set_lent(
      server, permit.slot,
      lent_.Add({.server = server,
                 .slot = permit.slot,
                 .borrower = borrow.from,
                 .borrow_id = borrow.borrow_id,
                 .next_query = now + options_.lent_query_interval}));
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
  if (!is_known || !can_use_own(now) || permits_.owned_permits() == 0) {
    actions.push_back({.kind = RouterAction::Kind::kRefuseBorrow,
                       .host = borrow.from,
                       .borrow_id = borrow.borrow_id});
    return;
  }
  const ServerIndex server = FindServer(
      {.is_suspect = borrow.is_suspect, .excluded = borrow.excluded});
  if (server != kNoIndex) {
    Lend(borrow, server, now, actions);
    return;
  }
  parked_.Park(borrow, now + options_.borrow_timeout);
}

bool ServiceRouter::OnBorrowCancelled(HostIndex from, std::uint64_t borrow_id) {
  return parked_.Cancel(from, borrow_id);
}

bool ServiceRouter::TakeBack(HostIndex from, const Permit& permit) {
  if (permit.server >= backends_.size() ||
      permit.slot >= permits_.slot_count(permit.server)) {
    return false;
  }
  const std::uint32_t record = permits_.lent(permit.server, permit.slot);
  // A return that was lost and asked for again may arrive twice.
  if (record == kNoIndex || lent_[record].borrower != from ||
      lent_[record].borrow_id != permit.borrow_id) {
    return false;
  }
  lent_.Remove(record);
  permits_.set_lent(permit.server, permit.slot, kNoIndex);
  return true;
}

void ServiceRouter::OnPermitReturned(HostIndex from, const Permit& permit,
                                     TimePoint now, RouterActions& actions) {
  Advance(now);
  if (!TakeBack(from, permit)) return;
  ReleaseOwn(permit.server, permit.slot, now, actions);
}

void ServiceRouter::OnPermitOrphaned(HostIndex from, const Permit& permit,
                                     TimePoint now, RouterActions& actions) {
  Advance(now);
  if (!TakeBack(from, permit)) return;
  permits_.MarkOrphaned(permit.server, permit.slot, now);
  ReleaseOwn(permit.server, permit.slot, now, actions);
}

void ServiceRouter::OnBorrowGranted(HostIndex from, std::uint64_t borrow_id,
                                    ServerIndex server, std::uint32_t slot,
                                    std::uint32_t free_hint, TimePoint now,
                                    RouterActions& actions) {
  Advance(now);
  peers_.Hint(from, free_hint, now);
  const Permit permit{
      .server = server, .slot = slot, .lender = from, .borrow_id = borrow_id};
  const std::uint32_t borrow = BorrowIndexOf(borrow_id);
  const bool is_pending =
      own_borrows_.contains(borrow) && own_borrows_[borrow].id == borrow_id &&
      own_borrows_[borrow].state == OwnBorrow::State::kPending;
  bool is_usable = is_pending && server < backends_.size() &&
                   lease_.is_valid(now) &&
                   now - own_borrows_[borrow].sent <= options_.grant_validity &&
                   slot < backends_[server].usable_slots();
  if (is_usable) {
    is_usable = is_acceptable(queue_.request(own_borrows_[borrow].entry),
                              server, slot == 0);
  }
  if (!is_usable) {
    if (is_pending) ForgetBorrow(borrow);
    actions.push_back({.kind = RouterAction::Kind::kReturnPermit,
                       .host = from,
                       .borrow_id = borrow_id,
                       .permit = permit});
    return;
  }
  const FairQueue::Entry entry = own_borrows_[borrow].entry;
  Waiting& waiting = waiting_[entry];
  auto* const end = waiting.borrows.data() + waiting.borrow_count;
  *std::find(waiting.borrows.data(), end, borrow) = *(end - 1);
  --waiting.borrow_count;
  own_borrows_[borrow].state = OwnBorrow::State::kInUse;
  own_borrows_[borrow].entry = kNoIndex;
  actions.push_back({.kind = RouterAction::Kind::kGrant,
                     .request = queue_.request(entry).id,
                     .permit = permit});
  Dequeue(entry, true, now, actions);
}

void ServiceRouter::OnBorrowRefused(HostIndex from, std::uint64_t borrow_id,
                                    TimePoint now, RouterActions& actions) {
  Advance(now);
  peers_.HintRefused(from, now);
  const std::uint32_t borrow = BorrowIndexOf(borrow_id);
  if (!own_borrows_.contains(borrow) || own_borrows_[borrow].id != borrow_id ||
      own_borrows_[borrow].state != OwnBorrow::State::kPending) {
    return;
  }
  const FairQueue::Entry entry = own_borrows_[borrow].entry;
  ForgetBorrow(borrow);
  SendBorrows(entry, now, actions);
}

void ServiceRouter::OnLentQuery(HostIndex from, const Permit& permit,
                                TimePoint now, RouterActions& actions) {
  Advance(now);
  if (permit.borrow_id == 0) {
    // The question is repeated later.
    if (now < earlier_work_until_) return;
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
  const std::uint32_t borrow = BorrowIndexOf(permit.borrow_id);
  if (own_borrows_.contains(borrow) &&
      own_borrows_[borrow].id == permit.borrow_id) {
    if (own_borrows_[borrow].state == OwnBorrow::State::kInUse) return;
    // The grant was lost or is late; it must not be used after this answer.
    ForgetBorrow(borrow);
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
  std::uint32_t borrow = own_borrows_.first();
  while (borrow != kNoIndex &&
         own_borrows_[borrow].sent + options_.borrow_timeout <= now) {
    const std::uint32_t next = own_borrows_.next(borrow);
    if (own_borrows_[borrow].state == OwnBorrow::State::kPending) {
      const FairQueue::Entry entry = own_borrows_[borrow].entry;
      ForgetBorrow(borrow);
      SendBorrows(entry, now, actions);
    }
    borrow = next;
  }
  expired_.clear();
  parked_.Expire(now, expired_);
  for (const BorrowRequest& expired : expired_) {
    actions.push_back({.kind = RouterAction::Kind::kRefuseBorrow,
                       .host = expired.from,
                       .borrow_id = expired.borrow_id});
  }
}

void ServiceRouter::WatchLent(TimePoint now, RouterActions& actions) {
  std::uint32_t record = lent_.first();
  while (record != kNoIndex) {
    const std::uint32_t next = lent_.next(record);
    LentPermit& lent = lent_[record];
    if (lent.reclaim_at <= now) {
      const ServerIndex server = lent.server;
      const std::uint32_t slot = lent.slot;
      lent_.Remove(record);
      permits_.set_lent(server, slot, kNoIndex);
      permits_.MarkOrphaned(server, slot, now);
      ReleaseOwn(server, slot, now, actions);
    } else if (lent.next_query <= now) {
      lent.next_query = now + options_.lent_query_interval;
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
  ServeFrom(server, now, actions);
}

void ServiceRouter::WatchBusySlots(TimePoint now, RouterActions& actions) {
  if (busy_elsewhere_.empty() || now < next_busy_query_) return;
  next_busy_query_ = now + options_.lent_query_interval;
  std::erase_if(busy_elsewhere_, [&](const auto& busy) {
    return permits_.busy_host(busy.first, busy.second) == kNoIndex;
  });
  std::sort(busy_elsewhere_.begin(), busy_elsewhere_.end());
  busy_elsewhere_.erase(
      std::unique(busy_elsewhere_.begin(), busy_elsewhere_.end()),
      busy_elsewhere_.end());
  for (const auto& [server, slot] : busy_elsewhere_) {
    actions.push_back({.kind = RouterAction::Kind::kQueryLent,
                       .host = permits_.busy_host(server, slot),
                       .permit = {.server = server, .slot = slot}});
  }
}

}  // namespace dogwood
