#include "Libraries/Routing/borrow_queue.h"

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {

std::size_t BorrowQueue::BucketOf(HostIndex from,
                                  std::uint64_t borrow_id) const {
  return CombineHashes(borrow_id, from) & (buckets_.size() - 1);
}

void BorrowQueue::Rehash(std::size_t buckets) {
  buckets_.assign(buckets, kInvalidIndex);
  for (std::uint32_t index = pool_.first(); index != kInvalidIndex;
       index = pool_.next(index)) {
    QueuedBorrow& item = pool_[index];
    std::uint32_t& head =
        buckets_[BucketOf(item.borrow.from, item.borrow.borrow_id)];
    item.next_in_bucket = head;
    head = index;
  }
}

void BorrowQueue::Push(const BorrowRequest& borrow, TimePoint expires_at) {
  const std::uint32_t index =
      pool_.Add(QueuedBorrow{.borrow = borrow, .expires_at = expires_at});
  heap_.Resize(pool_.capacity());
  heap_.InsertOrUpdate(index, Key(borrow.agreement, borrow.arrival));
  if (pool_.capacity() > buckets_.size()) {
    Rehash(buckets_.empty() ? 16 : 2 * buckets_.size());
    return;
  }
  std::uint32_t& head = buckets_[BucketOf(borrow.from, borrow.borrow_id)];
  pool_[index].next_in_bucket = head;
  head = index;
}

void BorrowQueue::Remove(std::uint32_t index) {
  const QueuedBorrow& item = pool_[index];
  std::uint32_t* link =
      &buckets_[BucketOf(item.borrow.from, item.borrow.borrow_id)];
  while (*link != index) link = &pool_[*link].next_in_bucket;
  *link = item.next_in_bucket;
  heap_.Remove(index);
  pool_.Remove(index);
}

bool BorrowQueue::Cancel(HostIndex from, std::uint64_t borrow_id) {
  if (buckets_.empty()) return false;
  std::uint32_t index = buckets_[BucketOf(from, borrow_id)];
  while (index != kInvalidIndex) {
    const QueuedBorrow& item = pool_[index];
    if (item.borrow.from == from && item.borrow.borrow_id == borrow_id) {
      Remove(index);
      return true;
    }
    index = item.next_in_bucket;
  }
  return false;
}

void BorrowQueue::RemoveAllFrom(HostIndex from) {
  std::uint32_t index = pool_.first();
  while (index != kInvalidIndex) {
    const std::uint32_t next = pool_.next(index);
    if (pool_[index].borrow.from == from) Remove(index);
    index = next;
  }
}

void BorrowQueue::RemoveExpired(TimePoint now,
                                std::vector<BorrowRequest>& expired) {
  while (pool_.first() != kInvalidIndex &&
         pool_[pool_.first()].expires_at <= now) {
    expired.push_back(pool_[pool_.first()].borrow);
    Remove(pool_.first());
  }
}

std::size_t BorrowQueue::bytes() const {
  return pool_.bytes() + heap_.bytes() +
         buckets_.capacity() * sizeof(std::uint32_t);
}

}  // namespace dogwood
