#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "Libraries/Core/core.h"
#include "Libraries/Idempotency/claim_rows.h"

namespace dogwood {

// The keys of one shard and their states. Owned by the shard's holder.
class ClaimShard {
 public:
  struct Entry {
    ClaimantId claimant;
    std::int64_t expires_seconds = 0;  // since the Unix epoch
    std::uint64_t sequence = 0;        // of the row of the newest record
    std::uint32_t epoch = 0;           // of the shard at the newest record
    std::uint16_t status = 0;
    ClaimState state = ClaimState::kClaiming;
  };

  explicit ClaimShard(Duration remember) : remember_(remember) {}

  std::size_t size() const { return entries_.size(); }
  // Null when the key is not remembered at `now`.
  const Entry* Find(const ClaimKeyHash& key, WallTime now) const;

  // Applies a committed record, unless a newer one is already applied: records
  // are ordered by epoch, then by sequence, whatever order rows are loaded in.
  // Within one row, a later record replaces an earlier one.
  void Apply(const ClaimRecord& record, std::uint64_t epoch,
             std::uint64_t sequence, WallTime now);
  // Marks a key whose claim is on its way to the store.
  void MarkClaiming(const ClaimKeyHash& key, ClaimantId claimant, WallTime now);
  // Forgets a key whose claim will never be committed.
  void Forget(const ClaimKeyHash& key) { entries_.erase(key); }
  // Removes up to `limit` expired entries.
  void RemoveExpired(WallTime now, std::size_t limit);

 private:
  struct Expiry {
    std::int64_t seconds;
    ClaimKeyHash key;
  };

  Entry& Refresh(const ClaimKeyHash& key, WallTime now);

  Duration remember_;
  std::unordered_map<ClaimKeyHash, Entry> entries_;
  std::deque<Expiry> expiries_;  // about in order of time
};

}  // namespace dogwood
