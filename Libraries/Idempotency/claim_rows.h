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

// 128-bit hash of an idempotency key. Tables and rows hold the hash, so that
// their size does not depend on the key's length.
struct ClaimKeyHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend bool operator==(const ClaimKeyHash&, const ClaimKeyHash&) = default;
};

// One attempt to claim a key; never used twice.
using ClaimantId = StrongId<struct ClaimantIdTag, std::uint64_t>;
using ClaimShardId = StrongId<struct ClaimShardIdTag, std::uint32_t>;

ClaimKeyHash HashClaimKey(std::string_view key);
ClaimShardId ShardOf(const ClaimKeyHash& key);
// `counter` differs for each claim of the incarnation.
ClaimantId MakeClaimantId(const HostId& host, Incarnation incarnation,
                          std::uint64_t counter);
// The host that should hold the shard, by rendezvous hashing; none of an empty
// list.
std::optional<HostId> RendezvousHolder(ClaimShardId shard,
                                       std::span<const HostId> live);

enum class ClaimState : std::uint8_t {
  kClaiming,   // not committed yet
  kGranted,    // committed, may be running
  kCompleted,  // a backend server answered
  kReleased,   // never handed to a backend server
  kUnknown,    // may have run
};

inline constexpr NameTable<ClaimState, 5> kClaimStateNames{{{
    {ClaimState::kClaiming, "claiming"},
    {ClaimState::kGranted, "granted"},
    {ClaimState::kCompleted, "completed"},
    {ClaimState::kReleased, "released"},
    {ClaimState::kUnknown, "unknown"},
}}};

// One state change of a key as rows hold it.
struct ClaimRecord {
  ClaimKeyHash key;
  ClaimantId claimant;
  ClaimState state = ClaimState::kGranted;
  std::uint16_t status = 0;  // HTTP status, for kCompleted
};

// Value of a row claim/HOST/INCARNATION/SEQUENCE. Records apply in order.
struct ClaimRow {
  WallTime wall;
  std::map<ClaimShardId, std::uint64_t> epochs;  // of the shards concerned
  std::vector<ClaimRecord> records;

  std::string Encode() const;
  static Result<ClaimRow> Parse(std::string_view json);
};

// An incarnation that held a shard within the remembering time.
struct FormerHolder {
  HostId host;
  Incarnation incarnation;
  std::uint64_t since = 0;              // its first sequence as holder
  std::optional<std::uint64_t> newest;  // its last sequence, if known
  WallTime until;                       // when it was replaced
};

// Value of a row claim-shard/SHARD. The row is never deleted, so its version
// rises with every epoch and a check of the version is a check of the epoch.
struct ClaimShardRow {
  std::uint64_t epoch = 0;
  HostId holder;  // empty when the shard was handed over
  Incarnation incarnation;
  std::uint64_t since = 0;  // the holder's next sequence at the takeover
  std::vector<FormerHolder> former;

  std::string Encode() const;
  // An absent row is epoch 0 without a holder.
  static Result<ClaimShardRow> Parse(const TableRow& row);
  // The row after `host` takes the shard over. Former holders replaced before
  // `forget_before` are dropped.
  ClaimShardRow TakenOverBy(const HostId& host, Incarnation new_incarnation,
                            std::uint64_t next_sequence, WallTime now,
                            WallTime forget_before) const;
};

std::string ClaimShardKey(ClaimShardId shard);
std::string ClaimRowPrefix(const HostId& host, Incarnation incarnation);
// Sequences are padded, so that key order is sequence order.
std::string ClaimRowKey(const HostId& host, Incarnation incarnation,
                        std::uint64_t sequence);
// The sequence in a claim row's key.
std::optional<std::uint64_t> ClaimRowSequence(std::string_view row_key);

}  // namespace dogwood

template <>
struct std::hash<dogwood::ClaimKeyHash> {
  std::size_t operator()(const dogwood::ClaimKeyHash& key) const noexcept {
    return key.low;
  }
};
