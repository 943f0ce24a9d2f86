#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Chooses the peers to borrow from: random among those that own permits,
// preferring peers that recently had free permits.
class PeerChooser {
 public:
  // Replaces the candidates; weights are their usable permits.
  void SetPeers(std::vector<HostIndex> peers, std::size_t host_count);
  // A peer's answer told how many free permits it has left.
  void Hint(HostIndex peer, std::uint32_t free_permits, TimePoint now);
  // The peer refused a borrow; it is avoided for a while.
  void HintRefused(HostIndex peer, TimePoint now);

  // A peer other than those in `taken`, or kNoIndex.
  HostIndex Choose(const HostIndex* taken, std::size_t taken_count,
                   TimePoint now, std::mt19937_64& engine) const;

  std::size_t bytes() const;

 private:
  struct HintEntry {
    TimePoint at = TimePoint::min();
    TimePoint refused_until = TimePoint::min();
    std::uint32_t free_permits = 0;
  };

  std::vector<HostIndex> peers_;
  std::vector<HintEntry> hints_;  // by host
};

}  // namespace dogwood
