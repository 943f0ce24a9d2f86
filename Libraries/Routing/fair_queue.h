#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "Libraries/Routing/indexed_heap.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Waiting requests: those within their party's agreement first, then
// start-time fair queueing by share, then arrival. All operations are
// logarithmic in the number of parties and allocate only when the queue or the
// number of parties reaches a new maximum.
class FairQueue {
 public:
  using Entry = std::uint32_t;

  // Order of two heads: class, start tag, arrival, order of insertion.
  using Key = std::tuple<AgreementClass, double, TimePoint, std::uint64_t>;

  // Greater shares get more; 1 for parties without a share.
  void SetShare(PartyIndex party, double share);

  Entry Push(const RouterRequest& request);
  void Remove(Entry entry);

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  std::size_t size(AgreementClass agreement) const {
    return class_sizes_[static_cast<std::size_t>(agreement)];
  }
  // The first of the queue.
  Entry head() const { return flows_[heap_.top()].first; }
  const RouterRequest& request(Entry entry) const {
    return entries_[entry].request;
  }
  // First entry among the first few that satisfies the predicate, or kNoIndex.
  // The bound keeps decisions cheap when many heads exclude a server.
  template <typename Predicate>
  Entry FindHead(Predicate&& is_accepted);

  // Removes the entry as served: advances the virtual time.
  void Serve(Entry entry);

  std::size_t bytes() const;

 private:
  static constexpr std::uint32_t kInspectedHeads = 4;

  struct Item {
    RouterRequest request;
    double start_tag = 0;
    std::uint64_t order = 0;
    Entry previous = kNoIndex;
    Entry next = kNoIndex;
    std::uint32_t flow = 0;
  };
  // Requests of one party in one class, in order of arrival.
  struct Flow {
    Entry first = kNoIndex;
    Entry last = kNoIndex;
    double share = 1;
    double finish_tag = 0;
  };

  static std::uint32_t FlowOf(PartyIndex party, AgreementClass agreement) {
    return 2 * party + static_cast<std::uint32_t>(agreement);
  }
  void GrowTo(PartyIndex party);
  void UpdateHead(std::uint32_t flow);

  std::vector<Item> entries_;
  std::vector<Entry> unused_;
  std::vector<Flow> flows_;
  IndexedHeap<Key> heap_;  // flows with entries, by their first
  std::size_t size_ = 0;
  std::size_t class_sizes_[2] = {0, 0};
  double virtual_times_[2] = {0, 0};
  std::uint64_t next_order_ = 0;
};

template <typename Predicate>
FairQueue::Entry FairQueue::FindHead(Predicate&& is_accepted) {
  if (empty()) return kNoIndex;
  Entry entry = head();
  for (std::uint32_t count = 0; count < kInspectedHeads && entry != kNoIndex;
       ++count) {
    if (is_accepted(entries_[entry].request)) return entry;
    entry = entries_[entry].next;
  }
  for (std::size_t position = 1;
       position < heap_.size() && position < kInspectedHeads; ++position) {
    const Entry other = flows_[heap_.at(position)].first;
    if (is_accepted(entries_[other].request)) return other;
  }
  return kNoIndex;
}

}  // namespace dogwood
