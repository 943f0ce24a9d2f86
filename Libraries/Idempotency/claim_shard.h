#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "Libraries/Core/core.h"
#include "Libraries/Idempotency/claim_rows.h"

namespace dogwood {

// In-memory table of the keys of one shard and their states.
class ClaimShard {
 public:
  struct Entry {
    ClaimantId claimant;
    std::int64_t expires_at_seconds = 0;  // since the Unix epoch
    std::uint64_t sequence = 0;           // of the newest record's row
    std::uint32_t epoch = 0;              // of the newest record
    std::uint16_t status = 0;             // HTTP status, for kCompleted
    ClaimState state = ClaimState::kClaiming;
  };

  explicit ClaimShard(Duration retention) : retention_(retention) {}

  std::size_t size() const { return entries_.size(); }
  // Returns null if the key is unknown or has expired at `now`.
  const Entry* Find(const IdempotencyKeyHash& key, WallTime now) const;

  // Applies a committed record unless a newer one has been applied. Records are
  // ordered by epoch, then by sequence, regardless of the order in which rows
  // are loaded. Within one row, a later record replaces an earlier one.
  void Apply(const ClaimRecord& record, std::uint64_t epoch,
             std::uint64_t sequence, WallTime now);
  // Marks a key whose claim is not committed yet.
  void MarkClaiming(const IdempotencyKeyHash& key, ClaimantId claimant,
                    WallTime now);
  // Removes a key whose claim failed to commit.
  void Erase(const IdempotencyKeyHash& key) { entries_.erase(key); }
  // Removes up to `limit` expired entries.
  void RemoveExpired(WallTime now, std::size_t limit);

 private:
  struct Expiration {
    std::int64_t unix_seconds;
    IdempotencyKeyHash key;
  };

  Entry& RefreshExpiration(const IdempotencyKeyHash& key, WallTime now);

  Duration retention_;
  std::unordered_map<IdempotencyKeyHash, Entry> entries_;
  std::deque<Expiration> expirations_;  // approximately in order of time
};

}  // namespace dogwood
