#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "Libraries/Routing/indexed_heap.h"
#include "Libraries/Routing/linked_pool.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// A peer's request for a permit.
struct BorrowRequest {
  HostIndex from = kNoIndex;
  std::uint64_t borrow_id = 0;  // of the borrower
  TimePoint arrival;            // of the waiting request, on the local clock
  AgreementClass agreement = AgreementClass::kWithin;
  bool is_suspect = false;
  ServerIndex excluded = kNoIndex;
};

// Borrow requests that wait at the lender: those within their agreement first,
// then by arrival. Each expires after the borrow timeout.
class ParkedBorrows {
 public:
  using Key = std::tuple<AgreementClass, TimePoint>;

  void Park(const BorrowRequest& borrow, TimePoint expires);
  // False when the borrow is not parked.
  bool Cancel(HostIndex from, std::uint64_t borrow_id);
  // Drops the borrows of a host.
  void CancelAllOf(HostIndex from);
  // Appends the expired ones to `expired` and drops them.
  void Expire(TimePoint now, std::vector<BorrowRequest>& expired);

  bool empty() const { return pool_.size() == 0; }
  std::size_t size() const { return pool_.size(); }
  // First that satisfies the predicate among the first few, or kNoIndex.
  template <typename Predicate>
  std::uint32_t Find(Predicate&& is_accepted) const {
    for (std::size_t position = 0;
         position < heap_.size() && position < kInspected; ++position) {
      const std::uint32_t index = heap_.at(position);
      if (is_accepted(pool_[index].borrow)) return index;
    }
    return kNoIndex;
  }
  const BorrowRequest& borrow(std::uint32_t index) const {
    return pool_[index].borrow;
  }
  const Key& key(std::uint32_t index) const { return heap_.key(index); }
  void Remove(std::uint32_t index);

  std::size_t bytes() const;

 private:
  static constexpr std::size_t kInspected = 4;

  struct Item {
    BorrowRequest borrow;
    TimePoint expires;
    std::uint32_t next_in_bucket = kNoIndex;
  };

  std::size_t BucketOf(HostIndex from, std::uint64_t borrow_id) const;
  void Rehash(std::size_t buckets);

  LinkedPool<Item> pool_;
  IndexedHeap<Key> heap_;
  std::vector<std::uint32_t> buckets_;  // heads of chains; a power of two
};

}  // namespace dogwood
