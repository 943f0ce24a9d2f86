#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>

#include "Libraries/Core/core.h"

namespace dogwood {

// Hosts whose newest record is still to be gossiped, each a limited number of
// times. Ordered by the number of transmissions, then newest first.
class GossipQueue {
 public:
  // Resets the transmission count of a host that is already queued.
  void Add(const HostId& host);
  void Remove(const HostId& host);
  bool contains(const HostId& host) const { return positions_.contains(host); }
  std::size_t size() const { return positions_.size(); }

  // Calls `select` for each host in order until it returns kStop. A host that
  // was taken `transmit_limit` times leaves the queue.
  enum class Decision { kTake, kSkip, kStop };
  void Visit(unsigned transmit_limit,
             const std::function<Decision(const HostId&)>& select);

 private:
  // Transmissions, sequence number (smaller is newer), host.
  using Position = std::tuple<unsigned, std::int64_t, HostId>;

  std::set<Position> order_;
  std::map<HostId, std::set<Position>::iterator> positions_;
  std::int64_t newest_sequence_ = 0;
};

}  // namespace dogwood
