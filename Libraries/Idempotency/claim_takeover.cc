#include "Libraries/Idempotency/claim_takeover.h"

#include <algorithm>

namespace dogwood {
namespace {

// Sequences that one confirmation checks beyond the last loaded row. A former
// holder that still holds other shards may write 17 rows per second, far fewer
// than this number per round trip.
constexpr std::uint64_t kConfirmLookAhead = 8;
// Former holders are kept longer than keys are remembered, because the wall
// clocks of hosts differ.
constexpr std::chrono::microseconds kFormerHolderRetentionMargin =
    std::chrono::minutes(10);

}  // namespace

ClaimTakeover::ClaimTakeover(const ClaimShardHolder& holder,
                             const std::map<ClaimShardId, TableRow>& rows)
    : host_(holder.host()),
      incarnation_(holder.incarnation()),
      options_(holder.options()),
      first_sequence_(holder.next_sequence()) {
  for (const auto& [shard, row] : rows) {
    auto former_row = ClaimShardRow::Parse(row);
    // No host can serve a shard whose row is malformed.
    if (!former_row) continue;
    shards_.emplace(shard, ShardTakeover{std::move(former_row).value(),
                                         row.version,
                                         {},
                                         ClaimShard(options_.remember)});
  }
  if (shards_.empty()) phase_ = Phase::kLost;
}

std::vector<ClaimShardId> ClaimTakeover::shards() const {
  std::vector<ClaimShardId> shards;
  for (const auto& [shard, state] : shards_) shards.push_back(shard);
  return shards;
}

TableTransaction ClaimTakeover::BuildRaiseEpochsCommit(WallTime now) {
  VERIFY(phase_ == Phase::kRaise);
  if (raise_commit_) return *raise_commit_;
  const auto forget_before =
      now -
      std::chrono::duration_cast<std::chrono::microseconds>(options_.remember) -
      kFormerHolderRetentionMargin;
  raise_commit_.emplace();
  for (auto& [shard, state] : shards_) {
    state.raised_row = state.former_row.TakenOverBy(
        host_, incarnation_, first_sequence_, now, forget_before);
    raise_commit_->checks.push_back({ClaimShardRowKey(shard), state.version});
    raise_commit_->puts.push_back(
        {ClaimShardRowKey(shard), state.raised_row.Encode()});
  }
  return *raise_commit_;
}

void ClaimTakeover::ApplyRaiseEpochs(const CommitResult& result) {
  VERIFY(phase_ == Phase::kRaise && raise_commit_);
  if (std::holds_alternative<Committed>(result)) {
    for (auto& [shard, state] : shards_) ++state.version;
    StartLoad();
    return;
  }
  const auto* conflict = std::get_if<CommitConflict>(&result);
  // The same commit is sent again; its checks let at most one attempt succeed.
  if (conflict == nullptr) return;
  bool is_already_raised = false;
  for (const TableRow& row : conflict->current) {
    for (auto shard = shards_.begin(); shard != shards_.end(); ++shard) {
      ShardTakeover& state = shard->second;
      if (row.key != ClaimShardRowKey(shard->first)) continue;
      if (row.version == state.version + 1 &&
          row.value == state.raised_row.Encode()) {
        is_already_raised = true;
        state.version = row.version;
      } else {
        // Another host has changed the row; a retry needs a new takeover.
        shards_.erase(shard);
      }
      break;
    }
  }
  raise_commit_.reset();
  if (shards_.empty()) {
    phase_ = Phase::kLost;
  } else if (is_already_raised) {
    StartLoad();
  }
}

void ClaimTakeover::StartLoad() {
  for (const auto& [shard, state] : shards_) {
    for (const FormerHolder& former : state.raised_row.former_holders) {
      const auto existing =
          std::find_if(scans_.begin(), scans_.end(),
                       [&former](const FormerHolderScan& scan) {
                         return scan.host == former.host &&
                                scan.incarnation == former.incarnation;
                       });
      if (existing == scans_.end()) {
        scans_.push_back({former.host, former.incarnation,
                          former.first_sequence, std::string()});
      } else {
        existing->next_sequence =
            std::min(existing->next_sequence, former.first_sequence);
      }
    }
  }
  for (FormerHolderScan& scan : scans_) {
    if (scan.next_sequence > 0)
      scan.last_key =
          ClaimRowKey(scan.host, scan.incarnation, scan.next_sequence - 1);
  }
  phase_ = scans_.empty() ? Phase::kConfirm : Phase::kLoad;
}

std::pair<std::string, std::string> ClaimTakeover::NextScan() const {
  VERIFY(phase_ == Phase::kLoad);
  const FormerHolderScan& scan = scans_[current_scan_];
  return {ClaimRowPrefix(scan.host, scan.incarnation), scan.last_key};
}

Result<void> ClaimTakeover::ApplyScan(std::span<const TableRow> rows,
                                      std::size_t limit) {
  VERIFY(phase_ == Phase::kLoad);
  FormerHolderScan& scan = scans_[current_scan_];
  for (const TableRow& row : rows) {
    const auto sequence = ClaimRowSequence(row.key);
    if (!sequence)
      return Fail(ErrorCode::kProtocol,
                  "claim row key " + row.key + " has no sequence number");
    TRY(ApplyRow(row));
    scan.next_sequence = std::max(scan.next_sequence, *sequence + 1);
    scan.last_key = row.key;
  }
  if (rows.size() < limit && ++current_scan_ == scans_.size())
    phase_ = Phase::kConfirm;
  return outcome::success();
}

Result<void> ClaimTakeover::ApplyRow(const TableRow& row) {
  TRY_ASSIGN(const ClaimRow parsed, ClaimRow::Parse(row.value));
  const std::uint64_t sequence = ClaimRowSequence(row.key).value_or(0);
  for (const ClaimRecord& record : parsed.records) {
    const ClaimShardId id = ShardOfKey(record.key);
    const auto shard = shards_.find(id);
    const auto epoch = parsed.epochs.find(id);
    if (shard == shards_.end() || epoch == parsed.epochs.end()) continue;
    shard->second.table.Apply(record, epoch->second, sequence,
                              parsed.written_at);
  }
  return outcome::success();
}

TableTransaction ClaimTakeover::BuildConfirmCommit() const {
  VERIFY(phase_ == Phase::kConfirm);
  TableTransaction commit;
  for (const auto& [shard, state] : shards_)
    commit.checks.push_back({ClaimShardRowKey(shard), state.version});
  for (const FormerHolderScan& scan : scans_) {
    for (std::uint64_t ahead = 0; ahead < kConfirmLookAhead; ++ahead) {
      commit.checks.push_back(
          {ClaimRowKey(scan.host, scan.incarnation, scan.next_sequence + ahead),
           0});
    }
  }
  return commit;
}

Result<void> ClaimTakeover::ApplyConfirm(const CommitResult& result) {
  VERIFY(phase_ == Phase::kConfirm);
  if (std::holds_alternative<Committed>(result)) {
    phase_ = Phase::kDone;
    return outcome::success();
  }
  const auto* conflict = std::get_if<CommitConflict>(&result);
  if (conflict == nullptr) return outcome::success();
  for (const TableRow& row : conflict->current) {
    if (row.key.starts_with("claim/")) {
      TRY(ApplyRow(row));
      for (FormerHolderScan& scan : scans_) {
        if (row.key.starts_with(ClaimRowPrefix(scan.host, scan.incarnation)))
          scan.next_sequence =
              std::max(scan.next_sequence, *ClaimRowSequence(row.key) + 1);
      }
      continue;
    }
    std::erase_if(shards_, [&row](const auto& shard) {
      return ClaimShardRowKey(shard.first) == row.key;
    });
  }
  if (shards_.empty()) phase_ = Phase::kLost;
  return outcome::success();
}

void ClaimTakeover::Install(ClaimShardHolder& holder) {
  VERIFY(phase_ == Phase::kDone);
  for (auto& [shard, state] : shards_) {
    if (!holder.is_holder_of(shard))
      holder.Install(shard, std::move(state.raised_row), state.version,
                     std::move(state.table));
  }
  shards_.clear();
}

}  // namespace dogwood
