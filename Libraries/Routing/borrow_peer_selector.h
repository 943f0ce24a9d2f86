#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Selects the peers to borrow permits from: random among the peers that own
// permits, preferring those that recently reported free permits.
class BorrowPeerSelector {
 public:
  // Replaces the candidates. `host_count` is the number of known hosts.
  void SetPeers(std::vector<HostIndex> peers, std::size_t host_count);
  // Records the number of free permits that a peer reported with a grant.
  void RecordFreePermits(HostIndex peer, std::uint32_t free_permits,
                         TimePoint now);
  // Excludes a peer that refused a borrow from selection for kRefusalBackoff.
  void RecordRefusal(HostIndex peer, TimePoint now);

  // Returns a peer that is not in `excluded`, or kInvalidIndex.
  HostIndex Select(const HostIndex* excluded, std::size_t excluded_count,
                   TimePoint now, std::mt19937_64& engine) const;

  std::size_t bytes() const;

 private:
  struct PeerHint {
    TimePoint recorded_at = TimePoint::min();
    TimePoint refused_until = TimePoint::min();
    std::uint32_t free_permits = 0;
  };

  std::vector<HostIndex> peers_;
  std::vector<PeerHint> hints_;  // indexed by host
};

}  // namespace dogwood
