#include "Libraries/Membership/gossip_queue.h"

#include <vector>

namespace dogwood {

void GossipQueue::Add(const HostId& host) {
  Remove(host);
  positions_[host] = order_.emplace(0U, --newest_sequence_, host).first;
}

void GossipQueue::Remove(const HostId& host) {
  const auto found = positions_.find(host);
  if (found == positions_.end()) return;
  order_.erase(found->second);
  positions_.erase(found);
}

void GossipQueue::Visit(unsigned transmit_limit,
                        const std::function<Decision(const HostId&)>& select) {
  std::vector<Position> taken;
  for (const Position& position : order_) {
    const Decision decision = select(std::get<HostId>(position));
    if (decision == Decision::kStop) break;
    if (decision == Decision::kTake) taken.push_back(position);
  }
  for (const auto& [sent, sequence, host] : taken) {
    Remove(host);
    if (sent + 1 < transmit_limit)
      positions_[host] = order_.emplace(sent + 1, sequence, host).first;
  }
}

}  // namespace dogwood
