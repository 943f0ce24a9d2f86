#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Idempotency/claim_holder.h"
#include "Libraries/Idempotency/claim_rows.h"
#include "Libraries/Idempotency/claim_shard.h"

namespace dogwood {

// Takes a set of shards over: raises their epochs in one compare-and-set, loads
// the former holders' rows, then confirms with a check-only commit that the
// epochs still hold and that no further row exists. Reads may be answered from
// the past; the confirmation may not, and returns the rows that reads missed.
class ClaimTakeover {
 public:
  enum class Phase { kRaise, kLoad, kConfirm, kDone, kLost };

  // `rows` are the shards' rows as read; a stale one only fails the first
  // compare-and-set.
  ClaimTakeover(const ClaimHolder& holder,
                const std::map<ClaimShardId, TableRow>& rows);

  Phase phase() const { return phase_; }
  // Shards that are still part of this takeover.
  std::vector<ClaimShardId> shards() const;

  // kRaise: the commit to send; the same one until ApplyRaise changes it.
  TableCommit RaiseCommit(WallTime now);
  void ApplyRaise(const CommitResult& result);

  // kLoad: prefix and last key seen of the next scan.
  std::pair<std::string, std::string> NextScan() const;
  // Rows of that scan in key order; fewer than `limit` end this holder's rows.
  Result<void> ApplyScan(std::span<const TableRow> rows, std::size_t limit);

  // kConfirm: changes nothing in the store, so that it may be repeated freely.
  TableCommit ConfirmCommit() const;
  Result<void> ApplyConfirm(const CommitResult& result);

  // kDone: hands the loaded shards to the holder.
  void Install(ClaimHolder& holder);

 private:
  struct Shard {
    ClaimShardRow before;
    std::uint64_t version = 0;  // of the row before, then of the raised row
    ClaimShardRow raised;
    ClaimShard table;
  };
  struct Source {
    HostId host;
    Incarnation incarnation;
    std::uint64_t next = 0;  // first sequence not loaded yet
    std::string last_key;
  };

  void StartLoad();
  Result<void> Feed(const TableRow& row);

  HostId host_;
  Incarnation incarnation_;
  ClaimOptions options_;
  std::uint64_t since_;
  Phase phase_ = Phase::kRaise;
  std::map<ClaimShardId, Shard> shards_;
  std::vector<Source> sources_;
  std::size_t scanning_ = 0;  // index into sources_
  std::optional<TableCommit> raise_;
};

}  // namespace dogwood
