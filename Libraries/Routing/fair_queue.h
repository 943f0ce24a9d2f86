#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "Libraries/Routing/indexed_heap.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Queue of waiting requests. Requests within the agreement of their client
// account precede those over it; each class uses start-time fair queueing
// weighted by share, then order of arrival. Operations are logarithmic in the
// number of client accounts and allocate only when the queue or the number of
// client accounts reaches a new maximum.
class FairQueue {
 public:
  using Entry = std::uint32_t;

  // Priority of a flow's first request: class, start tag, arrival, insertion
  // order.
  using Key = std::tuple<AgreementCompliance, double, TimePoint, std::uint64_t>;

  // Sets the fair-queueing weight of a client account; the default is 1.
  void SetShare(ClientAccountIndex client_account, double share);

  Entry Push(const RouterRequest& request);
  void Remove(Entry entry);

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  std::size_t size(AgreementCompliance agreement) const {
    return class_sizes_[static_cast<std::size_t>(agreement)];
  }
  // First entry of the queue, which must not be empty.
  Entry head() const { return flows_[heap_.top()].first; }
  const RouterRequest& request(Entry entry) const {
    return entries_[entry].request;
  }
  // Returns an entry near the head that satisfies the predicate, or
  // kInvalidIndex. Inspects up to kInspectedHeads entries of the first flow and
  // of the heap each, so the cost is bounded when many heads exclude a server.
  template <typename Predicate>
  Entry FindHead(Predicate&& is_accepted);

  // Removes an entry that is being served and advances the virtual time.
  void Serve(Entry entry);

  std::size_t bytes() const;

 private:
  static constexpr std::uint32_t kInspectedHeads = 4;

  struct QueuedRequest {
    RouterRequest request;
    double start_tag = 0;
    std::uint64_t order = 0;
    Entry previous = kInvalidIndex;
    Entry next = kInvalidIndex;
    std::uint32_t flow = 0;
  };
  // Requests of one client account in one class, in order of arrival.
  struct Flow {
    Entry first = kInvalidIndex;
    Entry last = kInvalidIndex;
    double share = 1;
    double finish_tag = 0;
  };

  static std::uint32_t FlowIndex(ClientAccountIndex client_account,
                                 AgreementCompliance agreement) {
    return 2 * client_account + static_cast<std::uint32_t>(agreement);
  }
  void EnsureFlows(ClientAccountIndex client_account);
  void UpdateHead(std::uint32_t flow);

  std::vector<QueuedRequest> entries_;
  std::vector<Entry> unused_;
  std::vector<Flow> flows_;
  IndexedHeap<Key> heap_;  // non-empty flows, keyed by their first request
  std::size_t size_ = 0;
  std::size_t class_sizes_[2] = {0, 0};
  double virtual_times_[2] = {0, 0};
  std::uint64_t next_order_ = 0;
};

template <typename Predicate>
FairQueue::Entry FairQueue::FindHead(Predicate&& is_accepted) {
  if (empty()) return kInvalidIndex;
  Entry entry = head();
  for (std::uint32_t count = 0;
       count < kInspectedHeads && entry != kInvalidIndex; ++count) {
    if (is_accepted(entries_[entry].request)) return entry;
    entry = entries_[entry].next;
  }
  for (std::size_t position = 1;
       position < heap_.size() && position < kInspectedHeads; ++position) {
    const Entry other = flows_[heap_.at(position)].first;
    if (is_accepted(entries_[other].request)) return other;
  }
  return kInvalidIndex;
}

}  // namespace dogwood
