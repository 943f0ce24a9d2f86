#include "Libraries/Routing/borrow_peer_selector.h"

#include <algorithm>
#include <utility>

namespace dogwood {
namespace {

// Candidates drawn per selection; the one with most free permits wins.
constexpr std::size_t kCandidates = 3;
// Reported free permits are outdated after about one service time.
constexpr Duration kHintLifetime = std::chrono::milliseconds(20);
constexpr Duration kRefusalBackoff = std::chrono::milliseconds(100);
// Assumed for a peer without a recent report: between none and one.
constexpr double kAssumedFreePermits = 0.5;

}  // namespace

void BorrowPeerSelector::SetPeers(std::vector<HostIndex> peers,
                                  std::size_t host_count) {
  peers_ = std::move(peers);
  if (hints_.size() < host_count) hints_.resize(host_count);
}

void BorrowPeerSelector::RecordFreePermits(HostIndex peer,
                                           std::uint32_t free_permits,
                                           TimePoint now) {
  if (peer >= hints_.size()) return;
  hints_[peer].recorded_at = now;
  hints_[peer].free_permits = free_permits;
}

void BorrowPeerSelector::RecordRefusal(HostIndex peer, TimePoint now) {
  if (peer >= hints_.size()) return;
  hints_[peer].refused_until = now + kRefusalBackoff;
}

HostIndex BorrowPeerSelector::Select(const HostIndex* excluded,
                                     std::size_t excluded_count, TimePoint now,
                                     std::mt19937_64& engine) const {
  if (peers_.empty()) return kInvalidIndex;
  HostIndex best = kInvalidIndex;
  double best_free_permits = -1;
  for (std::size_t draw = 0; draw < kCandidates; ++draw) {
    const HostIndex peer = peers_[engine() % peers_.size()];
    if (std::find(excluded, excluded + excluded_count, peer) !=
        excluded + excluded_count) {
      continue;
    }
    const PeerHint& hint = hints_[peer];
    if (hint.refused_until > now) continue;
    double value = kAssumedFreePermits;
    if (hint.recorded_at != TimePoint::min() &&
        now - hint.recorded_at < kHintLifetime) {
      value = hint.free_permits;
    }
    if (value > best_free_permits) {
      best = peer;
      best_free_permits = value;
    }
  }
  return best;
}

std::size_t BorrowPeerSelector::bytes() const {
  return peers_.capacity() * sizeof(HostIndex) +
         hints_.capacity() * sizeof(PeerHint);
}

}  // namespace dogwood
