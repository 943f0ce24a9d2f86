#include "Libraries/Routing/fair_queue.h"

#include <algorithm>

namespace dogwood {

void FairQueue::EnsureFlows(ClientAccountIndex client_account) {
  const std::size_t needed =
      FlowIndex(client_account, AgreementCompliance::kOver) + 1;
  if (flows_.size() >= needed) return;
  flows_.resize(needed);
  heap_.Resize(needed);
}

void FairQueue::SetShare(ClientAccountIndex client_account, double share) {
  EnsureFlows(client_account);
  flows_[FlowIndex(client_account, AgreementCompliance::kWithin)].share = share;
  flows_[FlowIndex(client_account, AgreementCompliance::kOver)].share = share;
}

FairQueue::Entry FairQueue::Push(const RouterRequest& request) {
  EnsureFlows(request.client_account);
  Entry entry = 0;
  if (unused_.empty()) {
    entry = static_cast<Entry>(entries_.size());
    entries_.emplace_back();
    unused_.reserve(entries_.capacity());
  } else {
    entry = unused_.back();
    unused_.pop_back();
  }
  const std::uint32_t flow_index =
      FlowIndex(request.client_account, request.agreement);
  const auto agreement = static_cast<std::size_t>(request.agreement);
  Flow& flow = flows_[flow_index];
  QueuedRequest& item = entries_[entry];
  item.request = request;
  item.start_tag = std::max(virtual_times_[agreement], flow.finish_tag);
  flow.finish_tag = item.start_tag + 1 / flow.share;
  item.order = next_order_++;
  item.flow = flow_index;
  item.previous = flow.last;
  item.next = kInvalidIndex;
  if (flow.last != kInvalidIndex) entries_[flow.last].next = entry;
  flow.last = entry;
  ++size_;
  ++class_sizes_[agreement];
  if (flow.first == kInvalidIndex) {
    flow.first = entry;
    UpdateHead(flow_index);
  }
  return entry;
}

void FairQueue::UpdateHead(std::uint32_t flow) {
  const Entry first = flows_[flow].first;
  if (first == kInvalidIndex) {
    heap_.Remove(flow);
    return;
  }
  const QueuedRequest& item = entries_[first];
  heap_.InsertOrUpdate(flow, Key(item.request.agreement, item.start_tag,
                                 item.request.arrival, item.order));
}

void FairQueue::Remove(Entry entry) {
  QueuedRequest& item = entries_[entry];
  Flow& flow = flows_[item.flow];
  const bool was_first = flow.first == entry;
  if (item.previous != kInvalidIndex) entries_[item.previous].next = item.next;
  if (item.next != kInvalidIndex) entries_[item.next].previous = item.previous;
  if (was_first) flow.first = item.next;
  if (flow.last == entry) flow.last = item.previous;
  --size_;
  --class_sizes_[static_cast<std::size_t>(item.request.agreement)];
  unused_.push_back(entry);
  if (was_first) UpdateHead(item.flow);
}

void FairQueue::Serve(Entry entry) {
  const QueuedRequest& item = entries_[entry];
  double& virtual_time =
      virtual_times_[static_cast<std::size_t>(item.request.agreement)];
  virtual_time = std::max(virtual_time, item.start_tag);
  Remove(entry);
}

std::size_t FairQueue::bytes() const {
  return entries_.capacity() * sizeof(QueuedRequest) +
         unused_.capacity() * sizeof(Entry) + flows_.capacity() * sizeof(Flow) +
         heap_.bytes();
}

}  // namespace dogwood
