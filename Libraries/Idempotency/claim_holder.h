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

// The holder's answer to a claim or to a report of its outcome.
struct ClaimAnswer {
  enum class Kind {
    kGranted,         // the claim is durable
    kDone,            // the outcome is durable, or concerns no claim
    kNotHolder,       // this host does not hold the key's shard
    kUnavailable,     // the store did not take the claim
    kBusy,            // too many claims wait for a commit
    kCancelled,       // the claimant released it before it was granted
    kOutcomeUnknown,  // another claimant may be running it or may have run it
    kCompleted,       // another claimant completed it with `status`
    kPending,         // no answer within the time given; ask again
  };
  Kind kind = Kind::kNotHolder;
  std::uint16_t status = 0;
};

inline constexpr NameTable<ClaimAnswer::Kind, 9> kClaimAnswerNames{{{
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
  Duration remember = std::chrono::hours(24);
  // Shortest time between the starts of two commits of a host.
  Duration commit_interval = std::chrono::milliseconds(60);
  std::size_t max_pending = 4096;  // records that wait for a commit
};

// All shards one host holds, and the group commit of their records. A claim is
// granted only after its commit; the commit checks the version of each shard
// row concerned, so a replaced holder grants nothing. At most one commit is
// under way; one whose answer was lost is repeated until its fate is known, and
// nothing else is committed meanwhile. Sequences have no gaps: a sequence is
// used again when its commit is known to have failed.
class ClaimHolder {
 public:
  using Ticket = std::uint64_t;  // names a waiting caller
  struct Answered {
    Ticket ticket;
    ClaimAnswer answer;
  };

  ClaimHolder(HostId host, Incarnation incarnation, ClaimOptions options);

  const HostId& host() const { return host_; }
  Incarnation incarnation() const { return incarnation_; }
  const ClaimOptions& options() const { return options_; }
  std::uint64_t next_sequence() const { return sequence_; }
  bool is_holder_of(ClaimShardId shard) const { return held_.contains(shard); }
  std::size_t shard_count() const { return held_.size(); }
  std::size_t remembered_keys() const;

  // Nothing when the answer follows after a commit.
  std::optional<ClaimAnswer> Claim(const ClaimKeyHash& key, ClaimantId claimant,
                                   Ticket ticket, WallTime now);
  // Records kCompleted, kReleased or kUnknown for a granted claim. A release of
  // a claim that has not arrived yet cancels it in advance.
  std::optional<ClaimAnswer> Finish(const ClaimRecord& record, Ticket ticket,
                                    WallTime now);

  // Whether StartCommit has something to send, and the earliest time for it.
  std::optional<TimePoint> next_commit_time() const;
  // The commit to send now; the same one again while its fate is unknown.
  const TableCommit& StartCommit(TimePoint now, WallTime wall);
  std::vector<Answered> FinishCommit(const CommitResult& result, WallTime now);
  // Key of the row whose presence shows that an unresolved commit took effect.
  std::optional<std::string> unresolved_row_key() const;
  // Resolves a commit whose answer was lost by the row read under that key; an
  // absent row shows nothing, since the commit may still take effect.
  std::vector<Answered> ResolveByRow(const TableRow& row, WallTime now);

  // Starts serving a shard that a ClaimTakeover loaded.
  void Install(ClaimShardId shard, ClaimShardRow row, std::uint64_t version,
               ClaimShard table);
  // Stops serving a shard at once.
  std::vector<Answered> Drop(ClaimShardId shard);
  // The row version under which a held shard is served.
  std::optional<std::uint64_t> version_of(ClaimShardId shard) const;
  // Frees all shards for other holders at a planned stop.
  TableCommit HandoverCommit(WallTime now) const;
  // Removes expired keys, a bounded number per call.
  void RemoveExpired(WallTime now);

 private:
  struct Held {
    ClaimShardRow row;
    std::uint64_t version = 0;
    ClaimShard table;
  };
  struct Pending {
    ClaimRecord record;
    std::vector<Ticket> tickets;
    bool is_dropped = false;  // the shard was dropped while it was sent
  };
  struct Batch {
    TableCommit commit;
    std::string row_key;
    std::vector<Pending> records;
    WallTime wall;
    bool is_uncertain = false;  // an answer was lost
  };
  struct SequenceMark {
    std::uint64_t end;  // rows below it were written at or before `wall`
    WallTime wall;
  };

  void BuildBatch(TimePoint now, WallTime wall);
  void AddExpiredRows(WallTime wall, TableCommit& commit);
  void CancelAhead(ClaimantId claimant);
  std::vector<Answered> Committed(WallTime now);
  std::vector<Answered> Conflicted(const CommitConflict& conflict,
                                   WallTime now);
  std::vector<Answered> Refused(WallTime now);
  std::vector<Answered> FlushDeferred(WallTime now);

  HostId host_;
  Incarnation incarnation_;
  ClaimOptions options_;
  std::uint64_t sequence_ = 1;
  std::map<ClaimShardId, Held> held_;
  std::vector<Pending> pending_;
  std::optional<Batch> batch_;
  // Releases of claims that are not committed yet; they follow the commit.
  std::vector<Pending> deferred_;
  std::optional<TimePoint> commit_started_;
  std::unordered_set<ClaimantId> cancelled_;
  std::deque<ClaimantId> cancelled_order_;
  std::deque<SequenceMark> marks_;
  std::uint64_t oldest_row_ = 1;
};

}  // namespace dogwood
