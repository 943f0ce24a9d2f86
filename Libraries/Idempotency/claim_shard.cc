#include "Libraries/Idempotency/claim_shard.h"

#include <tuple>

namespace dogwood {
namespace {

std::int64_t Seconds(WallTime time) {
  return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch())
      .count();
}

}  // namespace

const ClaimShard::Entry* ClaimShard::Find(const ClaimKeyHash& key,
                                          WallTime now) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return nullptr;
  // A claim on its way to the store stays until its outcome is known.
  if (found->second.state != ClaimState::kClaiming &&
      found->second.expires_seconds < Seconds(now))
    return nullptr;
  return &found->second;
}

ClaimShard::Entry& ClaimShard::Refresh(const ClaimKeyHash& key, WallTime now) {
  Entry& entry = entries_[key];
  entry.expires_seconds =
      Seconds(now) + std::chrono::ceil<std::chrono::seconds>(remember_).count();
  expiries_.push_back({entry.expires_seconds, key});
  return entry;
}

void ClaimShard::Apply(const ClaimRecord& record, std::uint64_t epoch,
                       std::uint64_t sequence, WallTime now) {
  const auto found = entries_.find(record.key);
  if (found != entries_.end() &&
      std::tuple(found->second.epoch, found->second.sequence) >
          std::tuple(epoch, sequence))
    return;
  Entry& entry = Refresh(record.key, now);
  entry.claimant = record.claimant;
  entry.state = record.state;
  entry.status = record.status;
  entry.epoch = static_cast<std::uint32_t>(epoch);
  entry.sequence = sequence;
}

void ClaimShard::MarkClaiming(const ClaimKeyHash& key, ClaimantId claimant,
                              WallTime now) {
  Entry& entry = Refresh(key, now);
  entry.claimant = claimant;
  entry.state = ClaimState::kClaiming;
}

void ClaimShard::RemoveExpired(WallTime now, std::size_t limit) {
  for (; limit > 0 && !expiries_.empty() &&
         expiries_.front().seconds < Seconds(now);
       --limit) {
    const ClaimKeyHash key = expiries_.front().key;
    expiries_.pop_front();
    const auto found = entries_.find(key);
    if (found != entries_.end() &&
        found->second.state != ClaimState::kClaiming &&
        found->second.expires_seconds < Seconds(now))
      entries_.erase(found);
  }
}

}  // namespace dogwood
