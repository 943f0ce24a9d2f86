#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

inline constexpr std::uint32_t kClaimShardCount = 64;

// 128-bit hash of an idempotency key. Memory and stored rows contain only the
// hash, so that their size does not depend on the length of keys.
struct IdempotencyKeyHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend bool operator==(const IdempotencyKeyHash&,
                         const IdempotencyKeyHash&) = default;
};

// Identifies one attempt to claim a key; never reused.
using ClaimantId = StrongId<struct ClaimantIdTag, std::uint64_t>;
using ClaimShardId = StrongId<struct ClaimShardIdTag, std::uint32_t>;

IdempotencyKeyHash HashIdempotencyKey(std::string_view key);
ClaimShardId ShardOfKey(const IdempotencyKeyHash& key);
// `counter` must differ for each claim of the incarnation.
ClaimantId MakeClaimantId(const HostId& host, Incarnation incarnation,
                          std::uint64_t counter);
// Selects the host that should hold the shard by rendezvous hashing; returns
// nothing if `live` is empty.
std::optional<HostId> SelectShardHolder(ClaimShardId shard,
                                        std::span<const HostId> live);

enum class ClaimState : std::uint8_t {
  kClaiming,   // the claim is not committed yet
  kGranted,    // the claim is committed; the request may be running
  kCompleted,  // a backend server answered the request
  kReleased,   // the request was not sent to any backend server
  kUnknown,    // the request may have run
};

inline constexpr EnumNames<ClaimState, 5> kClaimStateNames{{{
    {ClaimState::kClaiming, "claiming"},
    {ClaimState::kGranted, "granted"},
    {ClaimState::kCompleted, "completed"},
    {ClaimState::kReleased, "released"},
    {ClaimState::kUnknown, "unknown"},
}}};

// One state change of a key.
struct ClaimRecord {
  IdempotencyKeyHash key;
  ClaimantId claimant;
  ClaimState state = ClaimState::kGranted;
  std::uint16_t status = 0;  // HTTP status, for kCompleted
};

// Group of state changes that one commit stores under the key
// claim/HOST/INCARNATION/SEQUENCE. Records apply in order.
struct ClaimRow {
  WallTime written_at;
  std::map<ClaimShardId, std::uint64_t> epochs;  // of all affected shards
  std::vector<ClaimRecord> records;

  std::string Encode() const;
  static Result<ClaimRow> Parse(std::string_view json);
};

// An incarnation that held a shard and whose rows may contain keys that are
// still remembered.
struct FormerHolder {
  HostId host;
  Incarnation incarnation;
  std::uint64_t first_sequence = 0;            // of its first row as holder
  std::optional<std::uint64_t> last_sequence;  // of its last row, if known
  WallTime replaced_at;                        // by the next holder
};

// The holder of a shard, stored under the key claim-shard/SHARD. The row is
// never deleted, so its version increases with every epoch, and checking the
// version also checks the epoch.
struct ClaimShardRow {
  std::uint64_t epoch = 0;
  HostId holder;  // empty if released
  Incarnation incarnation;
  std::uint64_t first_sequence = 0;  // of the holder's first row
  std::vector<FormerHolder> former_holders;

  std::string Encode() const;
  // Parses an absent row as epoch 0 without a holder.
  static Result<ClaimShardRow> Parse(const TableRow& row);
  // Returns the row after `host` has taken over the shard. Omits former holders
  // that were replaced before `forget_before`.
  ClaimShardRow TakenOverBy(const HostId& host, Incarnation new_incarnation,
                            std::uint64_t next_sequence, WallTime now,
                            WallTime forget_before) const;
};

std::string ClaimShardRowKey(ClaimShardId shard);
std::string ClaimRowPrefix(const HostId& host, Incarnation incarnation);
// Pads the sequence, so that the order of keys is that of sequences.
std::string ClaimRowKey(const HostId& host, Incarnation incarnation,
                        std::uint64_t sequence);
// Parses the sequence in the key of a claim row.
std::optional<std::uint64_t> ClaimRowSequence(std::string_view row_key);

}  // namespace dogwood

template <>
struct std::hash<dogwood::IdempotencyKeyHash> {
  std::size_t operator()(
      const dogwood::IdempotencyKeyHash& key) const noexcept {
    return key.low;
  }
};
