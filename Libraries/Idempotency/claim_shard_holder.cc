#include "Libraries/Idempotency/claim_shard_holder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dogwood {
namespace {

using Kind = ClaimAnswer::Kind;

// Released claimants whose claims are still to be rejected if they arrive late;
// the oldest are evicted first.
constexpr std::size_t kMaxEarlyCancellations = 16384;
constexpr std::size_t kMaxDeletesPerCommit = 64;
constexpr std::size_t kMaxExpirationsPerCall = 4096;
constexpr Duration kSequenceCheckpointInterval = std::chrono::seconds(30);
// Rows are kept longer than keys are remembered, because the wall clocks of
// hosts differ.
constexpr Duration kRowRetentionMargin = std::chrono::minutes(10);

bool IsClaimRecord(const ClaimRecord& record) {
  return record.state == ClaimState::kGranted;
}

void AddAnswers(std::vector<ClaimShardHolder::Answered>& answers,
                const std::vector<ClaimShardHolder::Ticket>& tickets,
                Kind kind) {
  for (const ClaimShardHolder::Ticket ticket : tickets)
    answers.push_back({ticket, {kind}});
}

}  // namespace

ClaimShardHolder::ClaimShardHolder(HostId host, Incarnation incarnation,
                                   ClaimOptions options)
    : host_(std::move(host)), incarnation_(incarnation), options_(options) {}

std::size_t ClaimShardHolder::key_count() const {
  std::size_t total = 0;
  for (const auto& [shard, held] : held_shards_) total += held.table.size();
  return total;
}

std::optional<ClaimAnswer> ClaimShardHolder::Claim(
    const IdempotencyKeyHash& key, ClaimantId claimant, Ticket ticket,
    WallTime now) {
  const auto held = held_shards_.find(ShardOfKey(key));
  if (held == held_shards_.end()) return ClaimAnswer{Kind::kNotHolder};
  if (early_cancellations_.contains(claimant))
    return ClaimAnswer{Kind::kCancelled};
  const ClaimShard::Entry* entry = held->second.table.Find(key, now);
  if (entry == nullptr ||
      (entry->state == ClaimState::kReleased && entry->claimant != claimant)) {
    if (pending_.size() >= options_.max_pending)
      return ClaimAnswer{Kind::kBusy};
    held->second.table.MarkClaiming(key, claimant, now);
    pending_.push_back({{key, claimant, ClaimState::kGranted}, {ticket}});
    return std::nullopt;
  }
  if (entry->state == ClaimState::kCompleted)
    return ClaimAnswer{Kind::kCompleted, entry->status};
  if (entry->claimant != claimant) return ClaimAnswer{Kind::kOutcomeUnknown};
  if (entry->state == ClaimState::kGranted) return ClaimAnswer{Kind::kGranted};
  if (entry->state == ClaimState::kReleased)
    return ClaimAnswer{Kind::kCancelled};
  if (entry->state != ClaimState::kClaiming)
    return ClaimAnswer{Kind::kOutcomeUnknown};
  // A repeated claim waits for the commit of the first one.
  const auto add_waiter = [&](std::vector<PendingRecord>& records) {
    for (PendingRecord& pending : records) {
      if (pending.record.claimant == claimant &&
          IsClaimRecord(pending.record)) {
        pending.tickets.push_back(ticket);
        return true;
      }
    }
    return false;
  };
  VERIFY(add_waiter(pending_) || (batch_ && add_waiter(batch_->records)));
  return std::nullopt;
}

void ClaimShardHolder::CancelEarly(ClaimantId claimant) {
  if (!early_cancellations_.insert(claimant).second) return;
  early_cancellation_order_.push_back(claimant);
  if (early_cancellation_order_.size() <= kMaxEarlyCancellations) return;
  early_cancellations_.erase(early_cancellation_order_.front());
  early_cancellation_order_.pop_front();
}

std::optional<ClaimAnswer> ClaimShardHolder::Finish(const ClaimRecord& record,
                                                    Ticket ticket,
                                                    WallTime now) {
  VERIFY(record.state != ClaimState::kClaiming &&
         record.state != ClaimState::kGranted);
  const auto held = held_shards_.find(ShardOfKey(record.key));
  if (held == held_shards_.end()) return ClaimAnswer{Kind::kNotHolder};
  ClaimShard& table = held->second.table;
  const ClaimShard::Entry* entry = table.Find(record.key, now);
  const bool is_release = record.state == ClaimState::kReleased;
  if (is_release) CancelEarly(record.claimant);
  if (entry == nullptr || entry->claimant != record.claimant)
    return ClaimAnswer{Kind::kDone};
  if (entry->state == ClaimState::kClaiming) {
    deferred_releases_.push_back({record, {ticket}});
    return std::nullopt;
  }
  // Ignores a release after another outcome of the same claimant, and another
  // outcome after a release.
  const bool was_released = entry->state == ClaimState::kReleased;
  if (entry->state != ClaimState::kGranted && was_released != is_release)
    return ClaimAnswer{Kind::kDone};
  // Keeps the epoch and sequence of the entry until the commit, because the
  // sequence may be that of a former holder.
  table.Apply(record, entry->epoch, entry->sequence, now);
  pending_.push_back({record, {ticket}});
  return std::nullopt;
}

std::optional<TimePoint> ClaimShardHolder::next_commit_time() const {
  if (!batch_ && pending_.empty()) return std::nullopt;
  if (!last_commit_start_) return TimePoint{};
  return *last_commit_start_ + options_.commit_interval;
}

const TableTransaction& ClaimShardHolder::StartCommit(TimePoint now,
                                                      WallTime wall_time) {
  if (!batch_) BuildBatch(now, wall_time);
  last_commit_start_ = now;
  return batch_->commit;
}

void ClaimShardHolder::BuildBatch(TimePoint now, WallTime wall_time) {
  VERIFY(!pending_.empty());
  batch_ = CommitBatch{};
  batch_->records = std::exchange(pending_, {});
  batch_->written_at = wall_time;
  batch_->row_key = ClaimRowKey(host_, incarnation_, next_sequence_);
  ClaimRow row;
  row.written_at = wall_time;
  for (const PendingRecord& pending : batch_->records) {
    const ClaimShardId shard = ShardOfKey(pending.record.key);
    row.epochs[shard] = held_shards_.at(shard).row.epoch;
    row.records.push_back(pending.record);
  }
  TableTransaction& commit = batch_->commit;
  for (const auto& [shard, epoch] : row.epochs)
    commit.checks.push_back(
        {ClaimShardRowKey(shard), held_shards_.at(shard).version});
  commit.checks.push_back({batch_->row_key, 0});
  commit.puts.push_back({batch_->row_key, row.Encode()});
  AddExpiredRowDeletes(wall_time, commit);
  last_commit_start_ = now;
}

void ClaimShardHolder::AddExpiredRowDeletes(WallTime wall_time,
                                            TableTransaction& commit) {
  const auto retained_since =
      wall_time - std::chrono::duration_cast<WallTime::duration>(
                      options_.remember + kRowRetentionMargin);
  while (!sequence_checkpoints_.empty() &&
         sequence_checkpoints_.front().written_at < retained_since) {
    while (oldest_row_sequence_ < sequence_checkpoints_.front().end_sequence) {
      if (commit.deletes.size() >= kMaxDeletesPerCommit) return;
      commit.deletes.push_back(
          ClaimRowKey(host_, incarnation_, oldest_row_sequence_));
      ++oldest_row_sequence_;
    }
    sequence_checkpoints_.pop_front();
  }
}

std::vector<ClaimShardHolder::Answered> ClaimShardHolder::FinishCommit(
    const CommitResult& result, WallTime now) {
  VERIFY(batch_.has_value());
  if (std::holds_alternative<Committed>(result)) return ApplyCommitted(now);
  if (const auto* conflict = std::get_if<CommitConflict>(&result))
    return ApplyConflict(*conflict, now);
  if (std::holds_alternative<CommitOutcomeUnknown>(result)) {
    batch_->is_outcome_unknown = true;
    return {};
  }
  // An earlier attempt of this commit may still take effect.
  if (batch_->is_outcome_unknown) return {};
  return ApplyUnavailable(now);
}

std::optional<std::string> ClaimShardHolder::unresolved_row_key() const {
  if (!batch_ || !batch_->is_outcome_unknown) return std::nullopt;
  return batch_->row_key;
}

std::vector<ClaimShardHolder::Answered> ClaimShardHolder::ResolveCommitByRow(
    const TableRow& row, WallTime now) {
  if (!batch_ || row.key != batch_->row_key || row.version == 0) return {};
  return ApplyConflict({{row}}, now);
}

std::vector<ClaimShardHolder::Answered> ClaimShardHolder::ApplyCommitted(
    WallTime now) {
  std::vector<Answered> answers;
  const CommitBatch batch = *std::exchange(batch_, std::nullopt);
  for (const PendingRecord& pending : batch.records) {
    // Its callers were answered when the shard was dropped.
    if (pending.is_shard_dropped) continue;
    HeldShard& held = held_shards_.at(ShardOfKey(pending.record.key));
    ClaimShard& table = held.table;
    const ClaimShard::Entry* entry = table.Find(pending.record.key, now);
    // After a release, another claimant may already hold the key.
    if (entry != nullptr && entry->claimant == pending.record.claimant)
      table.Apply(pending.record, held.row.epoch, next_sequence_,
                  batch.written_at);
    AddAnswers(answers, pending.tickets,
               IsClaimRecord(pending.record) ? Kind::kGranted : Kind::kDone);
  }
  ++next_sequence_;
  if (sequence_checkpoints_.empty() ||
      batch.written_at - sequence_checkpoints_.back().written_at >
          kSequenceCheckpointInterval)
    sequence_checkpoints_.push_back({next_sequence_, batch.written_at});
  const std::vector<Answered> deferred = RetryDeferredReleases(now);
  answers.insert(answers.end(), deferred.begin(), deferred.end());
  return answers;
}

std::vector<ClaimShardHolder::Answered> ClaimShardHolder::ApplyConflict(
    const CommitConflict& conflict, WallTime now) {
  std::vector<ClaimShardId> lost_shards;
  bool is_row_foreign = false;
  for (const TableRow& row : conflict.current) {
    if (row.key == batch_->row_key && row.version > 0) {
      if (row.value == batch_->commit.puts.front().value)
        return ApplyCommitted(now);
      is_row_foreign = true;
    }
    for (const auto& [shard, held] : held_shards_) {
      if (row.key == ClaimShardRowKey(shard) && row.version != held.version)
        lost_shards.push_back(shard);
    }
  }
  // Another process writes rows under this host's incarnation. Dropping all
  // shards prevents that both processes grant the same key.
  if (is_row_foreign) {
    lost_shards.clear();
    for (const auto& [shard, held] : held_shards_) lost_shards.push_back(shard);
  }
  // The checked versions are outdated, so this commit can no longer succeed.
  std::erase_if(batch_->records, [](const PendingRecord& pending) {
    return pending.is_shard_dropped;
  });
  pending_.insert(pending_.begin(),
                  std::make_move_iterator(batch_->records.begin()),
                  std::make_move_iterator(batch_->records.end()));
  batch_.reset();
  std::vector<Answered> answers;
  for (const ClaimShardId shard : lost_shards) {
    const std::vector<Answered> dropped = Drop(shard);
    answers.insert(answers.end(), dropped.begin(), dropped.end());
  }
  const std::vector<Answered> deferred = RetryDeferredReleases(now);
  answers.insert(answers.end(), deferred.begin(), deferred.end());
  return answers;
}

std::vector<ClaimShardHolder::Answered> ClaimShardHolder::ApplyUnavailable(
    WallTime now) {
  std::vector<Answered> answers;
  std::vector<PendingRecord> retained;
  CommitBatch batch = *std::exchange(batch_, std::nullopt);
  for (PendingRecord& pending : batch.records) {
    if (pending.is_shard_dropped) continue;
    if (!IsClaimRecord(pending.record)) {
      retained.push_back(std::move(pending));
      continue;
    }
    held_shards_.at(ShardOfKey(pending.record.key))
        .table.Erase(pending.record.key);
    AddAnswers(answers, pending.tickets, Kind::kUnavailable);
  }
  pending_.insert(pending_.begin(), std::make_move_iterator(retained.begin()),
                  std::make_move_iterator(retained.end()));
  const std::vector<Answered> deferred = RetryDeferredReleases(now);
  answers.insert(answers.end(), deferred.begin(), deferred.end());
  return answers;
}

std::vector<ClaimShardHolder::Answered> ClaimShardHolder::RetryDeferredReleases(
    WallTime now) {
  std::vector<Answered> answers;
  for (const PendingRecord& release : std::exchange(deferred_releases_, {})) {
    for (const Ticket ticket : release.tickets) {
      if (const auto answer = Finish(release.record, ticket, now))
        answers.push_back({ticket, *answer});
    }
  }
  return answers;
}

void ClaimShardHolder::Install(ClaimShardId shard, ClaimShardRow row,
                               std::uint64_t version, ClaimShard table) {
  VERIFY(!held_shards_.contains(shard));
  held_shards_.emplace(shard,
                       HeldShard{std::move(row), version, std::move(table)});
}

std::vector<ClaimShardHolder::Answered> ClaimShardHolder::Drop(
    ClaimShardId shard) {
  std::vector<Answered> answers;
  if (held_shards_.erase(shard) == 0) return answers;
  const auto is_of_shard = [shard](const PendingRecord& pending) {
    return ShardOfKey(pending.record.key) == shard;
  };
  for (std::vector<PendingRecord>* records : {&pending_, &deferred_releases_}) {
    for (const PendingRecord& pending : *records) {
      if (is_of_shard(pending))
        AddAnswers(answers, pending.tickets, Kind::kNotHolder);
    }
    std::erase_if(*records, is_of_shard);
  }
  if (!batch_) return answers;
  // The commit in flight cannot change any more; its callers are answered now.
  for (PendingRecord& pending : batch_->records) {
    if (!is_of_shard(pending)) continue;
    AddAnswers(answers, std::exchange(pending.tickets, {}), Kind::kNotHolder);
    pending.is_shard_dropped = true;
  }
  return answers;
}

std::optional<std::uint64_t> ClaimShardHolder::shard_version(
    ClaimShardId shard) const {
  const auto held = held_shards_.find(shard);
  if (held == held_shards_.end()) return std::nullopt;
  return held->second.version;
}

TableTransaction ClaimShardHolder::BuildReleaseCommit(WallTime now) const {
  TableTransaction commit;
  const auto forget_before =
      now - std::chrono::duration_cast<WallTime::duration>(options_.remember +
                                                           kRowRetentionMargin);
  for (const auto& [shard, held] : held_shards_) {
    ClaimShardRow row =
        held.row.TakenOverBy(HostId(), Incarnation(), 0, now, forget_before);
    row.former_holders.back().last_sequence = next_sequence_ - 1;
    commit.checks.push_back({ClaimShardRowKey(shard), held.version});
    commit.puts.push_back({ClaimShardRowKey(shard), row.Encode()});
  }
  return commit;
}

void ClaimShardHolder::RemoveExpired(WallTime now) {
  for (auto& [shard, held] : held_shards_)
    held.table.RemoveExpired(now, kMaxExpirationsPerCall);
}

}  // namespace dogwood
