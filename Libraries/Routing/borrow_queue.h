#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "Libraries/Routing/indexed_heap.h"
#include "Libraries/Routing/linked_pool.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Request of a peer to borrow a permit.
struct BorrowRequest {
  HostIndex from = kInvalidIndex;
  std::uint64_t borrow_id = 0;  // assigned by the borrower
  TimePoint arrival;            // of the queued request, in local time
  AgreementCompliance agreement = AgreementCompliance::kWithin;
  bool is_suspect = false;
  ServerIndex excluded = kInvalidIndex;
};

// Borrow requests queued at the lender, ordered by agreement class and arrival.
// Each request expires after the borrow timeout.
class BorrowQueue {
 public:
  using Key = std::tuple<AgreementCompliance, TimePoint>;

  void Push(const BorrowRequest& borrow, TimePoint expires_at);
  // Returns false when the borrow request is not queued.
  bool Cancel(HostIndex from, std::uint64_t borrow_id);
  // Removes all borrow requests of a host.
  void RemoveAllFrom(HostIndex from);
  // Moves expired borrow requests to `expired`.
  void RemoveExpired(TimePoint now, std::vector<BorrowRequest>& expired);

  bool empty() const { return pool_.size() == 0; }
  std::size_t size() const { return pool_.size(); }
  // Returns a request among the first kInspectedBorrows of the heap that
  // satisfies the predicate, or kInvalidIndex.
  template <typename Predicate>
  std::uint32_t Find(Predicate&& is_accepted) const {
    for (std::size_t position = 0;
         position < heap_.size() && position < kInspectedBorrows; ++position) {
      const std::uint32_t index = heap_.at(position);
      if (is_accepted(pool_[index].borrow)) return index;
    }
    return kInvalidIndex;
  }
  const BorrowRequest& borrow(std::uint32_t index) const {
    return pool_[index].borrow;
  }
  const Key& key(std::uint32_t index) const { return heap_.key(index); }
  void Remove(std::uint32_t index);

  std::size_t bytes() const;

 private:
  static constexpr std::size_t kInspectedBorrows = 4;

  struct QueuedBorrow {
    BorrowRequest borrow;
    TimePoint expires_at;
    std::uint32_t next_in_bucket = kInvalidIndex;
  };

  std::size_t BucketOf(HostIndex from, std::uint64_t borrow_id) const;
  void Rehash(std::size_t buckets);

  LinkedPool<QueuedBorrow> pool_;
  IndexedHeap<Key> heap_;
  // Heads of hash chains; size is a power of two.
  std::vector<std::uint32_t> buckets_;
};

}  // namespace dogwood
