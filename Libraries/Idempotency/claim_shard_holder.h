#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Idempotency/claim_rows.h"
#include "Libraries/Idempotency/claim_shard.h"

namespace dogwood {

// The answer of a shard's holder to a claim or to a reported outcome.
struct ClaimAnswer {
  enum class Kind {
    kGranted,         // the claim is durable
    kDone,            // the outcome is durable, or belongs to no known claim
    kNotHolder,       // this host does not hold the key's shard
    kUnavailable,     // the claim could not be stored
    kBusy,            // too many records wait for a commit
    kCancelled,       // the claimant has released the claim
    kOutcomeUnknown,  // the key's request may be running or may have run
    kCompleted,       // the key's request was answered with `status`
    kPending,         // the wait timed out; the claimant should ask again
  };
  Kind kind = Kind::kNotHolder;
  std::uint16_t status = 0;  // HTTP status, for kCompleted
};

inline constexpr EnumNames<ClaimAnswer::Kind, 9> kClaimAnswerNames{{{
    {ClaimAnswer::Kind::kGranted, "granted"},
    {ClaimAnswer::Kind::kDone, "done"},
    {ClaimAnswer::Kind::kNotHolder, "not-holder"},
    {ClaimAnswer::Kind::kUnavailable, "unavailable"},
    {ClaimAnswer::Kind::kBusy, "busy"},
    {ClaimAnswer::Kind::kCancelled, "cancelled"},
    {ClaimAnswer::Kind::kOutcomeUnknown, "outcome-unknown"},
    {ClaimAnswer::Kind::kCompleted, "completed"},
    {ClaimAnswer::Kind::kPending, "pending"},
}}};

struct ClaimOptions {
  // How long a key is kept after its last state change.
  Duration remember = std::chrono::hours(24);
  // Minimum time between the starts of two commits of a host.
  Duration commit_interval = std::chrono::milliseconds(60);
  std::size_t max_pending = 4096;  // records waiting for a commit
};

// Holds the shards of the idempotency-key store that are assigned to one host,
// and commits state changes of their keys in groups. A claim is granted only
// after its commit, which checks the version of every affected shard row, so a
// holder that was replaced cannot grant. At most one commit is in flight; if
// its outcome is unknown, it is repeated until the outcome is known, before any
// other commit. Sequences have no gaps: the sequence of a failed commit is used
// again.
class ClaimShardHolder {
 public:
  using Ticket = std::uint64_t;  // identifies a waiting caller
  struct Answered {
    Ticket ticket;
    ClaimAnswer answer;
  };

  ClaimShardHolder(HostId host, Incarnation incarnation, ClaimOptions options);

  const HostId& host() const { return host_; }
  Incarnation incarnation() const { return incarnation_; }
  const ClaimOptions& options() const { return options_; }
  std::uint64_t next_sequence() const { return next_sequence_; }
  bool is_holder_of(ClaimShardId shard) const {
    return held_shards_.contains(shard);
  }
  std::size_t shard_count() const { return held_shards_.size(); }
  std::size_t key_count() const;

  // Claims a key. Returns nothing if a commit has to provide the answer; then
  // FinishCommit, ResolveCommitByRow or Drop returns it with the ticket.
  std::optional<ClaimAnswer> Claim(const IdempotencyKeyHash& key,
                                   ClaimantId claimant, Ticket ticket,
                                   WallTime now);
  // Records kCompleted, kReleased or kUnknown for a granted claim; returns like
  // Claim. A release that arrives before its claim cancels that claim.
  std::optional<ClaimAnswer> Finish(const ClaimRecord& record, Ticket ticket,
                                    WallTime now);

  // Returns the earliest time for the next commit, or nothing if there is
  // nothing to commit.
  std::optional<TimePoint> next_commit_time() const;
  // Returns the commit to send now: the same one again while its outcome is
  // unknown.
  const TableTransaction& StartCommit(TimePoint now, WallTime wall_time);
  std::vector<Answered> FinishCommit(const CommitResult& result, WallTime now);
  // Returns the key of the row that a commit of unknown outcome writes, if any.
  std::optional<std::string> unresolved_row_key() const;
  // Resolves a commit of unknown outcome by the row read under
  // unresolved_row_key. An absent row resolves nothing, because the commit may
  // still take effect.
  std::vector<Answered> ResolveCommitByRow(const TableRow& row, WallTime now);

  // Starts serving a shard that a ClaimTakeover has loaded.
  void Install(ClaimShardId shard, ClaimShardRow row, std::uint64_t version,
               ClaimShard table);
  // Stops serving a shard immediately and answers its waiting callers.
  std::vector<Answered> Drop(ClaimShardId shard);
  // Returns the version of a held shard's row.
  std::optional<std::uint64_t> shard_version(ClaimShardId shard) const;
  // Returns a commit that releases all shards, for a planned stop.
  TableTransaction BuildReleaseCommit(WallTime now) const;
  // Removes expired keys, up to a fixed number per shard and call.
  void RemoveExpired(WallTime now);

 private:
  struct HeldShard {
    ClaimShardRow row;
    std::uint64_t version = 0;
    ClaimShard table;
  };
  struct PendingRecord {
    ClaimRecord record;
    std::vector<Ticket> tickets;
    bool is_shard_dropped = false;  // while the commit was in flight
  };
  struct CommitBatch {
    TableTransaction commit;
    std::string row_key;
    std::vector<PendingRecord> records;
    WallTime written_at;
    bool is_outcome_unknown = false;  // of an earlier attempt
  };
  // Rows below `end_sequence` were written at or before `written_at`.
  struct SequenceCheckpoint {
    std::uint64_t end_sequence;
    WallTime written_at;
  };

  void BuildBatch(TimePoint now, WallTime wall_time);
  void AddExpiredRowDeletes(WallTime wall_time, TableTransaction& commit);
  void CancelEarly(ClaimantId claimant);
  std::vector<Answered> ApplyCommitted(WallTime now);
  std::vector<Answered> ApplyConflict(const CommitConflict& conflict,
                                      WallTime now);
  std::vector<Answered> ApplyUnavailable(WallTime now);
  std::vector<Answered> RetryDeferredReleases(WallTime now);

  HostId host_;
  Incarnation incarnation_;
  ClaimOptions options_;
  std::uint64_t next_sequence_ = 1;
  std::map<ClaimShardId, HeldShard> held_shards_;
  std::vector<PendingRecord> pending_;
  std::optional<CommitBatch> batch_;
  // Releases of uncommitted claims, retried after the commit.
  std::vector<PendingRecord> deferred_releases_;
  std::optional<TimePoint> last_commit_start_;
  std::unordered_set<ClaimantId> early_cancellations_;
  std::deque<ClaimantId> early_cancellation_order_;
  std::deque<SequenceCheckpoint> sequence_checkpoints_;
  std::uint64_t oldest_row_sequence_ = 1;
};

}  // namespace dogwood
