#include "Libraries/Routing/peer_chooser.h"

#include <algorithm>
#include <utility>

namespace dogwood {
namespace {

// Candidates drawn per choice; the one with the best hint wins.
constexpr std::size_t kDrawn = 3;
// A hint is about as old as a service time when it has lost its value.
constexpr Duration kHintAge = std::chrono::milliseconds(20);
constexpr Duration kRefusalTime = std::chrono::milliseconds(100);
// Value of a peer without a recent hint, between busy (0) and one free permit.
constexpr double kUnknownValue = 0.5;

}  // namespace

void PeerChooser::SetPeers(std::vector<HostIndex> peers,
                           std::size_t host_count) {
  peers_ = std::move(peers);
  if (hints_.size() < host_count) hints_.resize(host_count);
}

void PeerChooser::Hint(HostIndex peer, std::uint32_t free_permits,
                       TimePoint now) {
  if (peer >= hints_.size()) return;
  hints_[peer].at = now;
  hints_[peer].free_permits = free_permits;
}

void PeerChooser::HintRefused(HostIndex peer, TimePoint now) {
  if (peer >= hints_.size()) return;
  hints_[peer].refused_until = now + kRefusalTime;
}

HostIndex PeerChooser::Choose(const HostIndex* taken, std::size_t taken_count,
                              TimePoint now, std::mt19937_64& engine) const {
  if (peers_.empty()) return kNoIndex;
  HostIndex best = kNoIndex;
  double best_value = -1;
  for (std::size_t draw = 0; draw < kDrawn; ++draw) {
    const HostIndex peer = peers_[engine() % peers_.size()];
    if (std::find(taken, taken + taken_count, peer) != taken + taken_count) {
      continue;
    }
    const HintEntry& hint = hints_[peer];
    if (hint.refused_until > now) continue;
    double value = kUnknownValue;
    if (hint.at != TimePoint::min() && now - hint.at < kHintAge) {
      value = hint.free_permits;
    }
    if (value > best_value) {
      best = peer;
      best_value = value;
    }
  }
  return best;
}

std::size_t PeerChooser::bytes() const {
  return peers_.capacity() * sizeof(HostIndex) +
         hints_.capacity() * sizeof(HintEntry);
}

}  // namespace dogwood
