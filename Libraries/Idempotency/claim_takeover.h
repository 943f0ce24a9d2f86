#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Idempotency/claim_rows.h"
#include "Libraries/Idempotency/claim_shard.h"
#include "Libraries/Idempotency/claim_shard_holder.h"

namespace dogwood {

// Takes over a set of shards in three steps: raises their epochs by one
// compare-and-set, loads the rows of the former holders, and confirms by a
// check-only commit that the epochs are unchanged and no further row exists.
// The confirmation is necessary because reads may return stale data; unlike
// reads, it is linearizable and returns the rows that they missed.
class ClaimTakeover {
 public:
  enum class Phase { kRaise, kLoad, kConfirm, kDone, kLost };

  // `rows` are the shards' rows as last read. A stale row is harmless, because
  // it fails the compare-and-set.
  ClaimTakeover(const ClaimShardHolder& holder,
                const std::map<ClaimShardId, TableRow>& rows);

  Phase phase() const { return phase_; }
  // Returns the shards that are still part of this takeover.
  std::vector<ClaimShardId> shards() const;

  // In kRaise: returns the commit to send, the same one until ApplyRaiseEpochs
  // sees a conflict.
  TableTransaction BuildRaiseEpochsCommit(WallTime now);
  void ApplyRaiseEpochs(const CommitResult& result);

  // In kLoad: returns the prefix of the next scan and the key after which it
  // starts.
  std::pair<std::string, std::string> NextScan() const;
  // Applies the rows of that scan, in key order. Fewer than `limit` rows mean
  // that this former holder has no more.
  Result<void> ApplyScan(std::span<const TableRow> rows, std::size_t limit);

  // In kConfirm: returns a check-only commit, which can safely be repeated.
  TableTransaction BuildConfirmCommit() const;
  Result<void> ApplyConfirm(const CommitResult& result);

  // In kDone: moves the loaded shards to the holder.
  void Install(ClaimShardHolder& holder);

 private:
  struct ShardTakeover {
    ClaimShardRow former_row;
    std::uint64_t version = 0;  // of the store's row
    ClaimShardRow raised_row;
    ClaimShard table;
  };
  struct FormerHolderScan {
    HostId host;
    Incarnation incarnation;
    std::uint64_t next_sequence = 0;  // first one not loaded yet
    std::string last_key;
  };

  void StartLoad();
  Result<void> ApplyRow(const TableRow& row);

  HostId host_;
  Incarnation incarnation_;
  ClaimOptions options_;
  std::uint64_t first_sequence_;
  Phase phase_ = Phase::kRaise;
  std::map<ClaimShardId, ShardTakeover> shards_;
  std::vector<FormerHolderScan> scans_;
  std::size_t current_scan_ = 0;  // index into scans_
  std::optional<TableTransaction> raise_commit_;
};

}  // namespace dogwood
