#include "Libraries/Idempotency/claim_shard.h"

#include <tuple>

namespace dogwood {
namespace {

std::int64_t UnixSeconds(WallTime time) {
  return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch())
      .count();
}

}  // namespace

const ClaimShard::Entry* ClaimShard::Find(const IdempotencyKeyHash& key,
                                          WallTime now) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return nullptr;
  // An uncommitted claim does not expire before the outcome of its commit is
  // known.
  if (found->second.state != ClaimState::kClaiming &&
      found->second.expires_at_seconds < UnixSeconds(now))
    return nullptr;
  return &found->second;
}

ClaimShard::Entry& ClaimShard::RefreshExpiration(const IdempotencyKeyHash& key,
                                                 WallTime now) {
  Entry& entry = entries_[key];
  entry.expires_at_seconds =
      UnixSeconds(now) +
      std::chrono::ceil<std::chrono::seconds>(retention_).count();
  expirations_.push_back({entry.expires_at_seconds, key});
  return entry;
}

void ClaimShard::Apply(const ClaimRecord& record, std::uint64_t epoch,
                       std::uint64_t sequence, WallTime now) {
  const auto found = entries_.find(record.key);
  if (found != entries_.end() &&
      std::tuple(found->second.epoch, found->second.sequence) >
          std::tuple(epoch, sequence))
    return;
  Entry& entry = RefreshExpiration(record.key, now);
  entry.claimant = record.claimant;
  entry.state = record.state;
  entry.status = record.status;
  entry.epoch = static_cast<std::uint32_t>(epoch);
  entry.sequence = sequence;
}

void ClaimShard::MarkClaiming(const IdempotencyKeyHash& key,
                              ClaimantId claimant, WallTime now) {
  Entry& entry = RefreshExpiration(key, now);
  entry.claimant = claimant;
  entry.state = ClaimState::kClaiming;
}

void ClaimShard::RemoveExpired(WallTime now, std::size_t limit) {
  for (; limit > 0 && !expirations_.empty() &&
         expirations_.front().unix_seconds < UnixSeconds(now);
       --limit) {
    const IdempotencyKeyHash key = expirations_.front().key;
    expirations_.pop_front();
    const auto found = entries_.find(key);
    if (found != entries_.end() &&
        found->second.state != ClaimState::kClaiming &&
        found->second.expires_at_seconds < UnixSeconds(now))
      entries_.erase(found);
  }
}

}  // namespace dogwood
