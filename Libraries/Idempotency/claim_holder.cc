#include "Libraries/Idempotency/claim_holder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dogwood {
namespace {

using Kind = ClaimAnswer::Kind;

// Releases that arrived before their claim; the oldest are forgotten first.
constexpr std::size_t kMaxCancelledAhead = 16384;
constexpr std::size_t kMaxDeletesPerCommit = 64;
constexpr std::size_t kMaxExpiriesPerCall = 4096;
constexpr Duration kSequenceMarkInterval = std::chrono::seconds(30);
// Rows outlive the remembering time by this much, because hosts' wall clocks
// differ.
constexpr Duration kRowMargin = std::chrono::minutes(10);

bool IsClaim(const ClaimRecord& record) {
  return record.state == ClaimState::kGranted;
}

void Answer(std::vector<ClaimHolder::Answered>& answers,
            const std::vector<ClaimHolder::Ticket>& tickets, Kind kind) {
  for (const ClaimHolder::Ticket ticket : tickets)
    answers.push_back({ticket, {kind}});
}

}  // namespace

ClaimHolder::ClaimHolder(HostId host, Incarnation incarnation,
                         ClaimOptions options)
    : host_(std::move(host)), incarnation_(incarnation), options_(options) {}

std::size_t ClaimHolder::remembered_keys() const {
  std::size_t total = 0;
  for (const auto& [shard, held] : held_) total += held.table.size();
  return total;
}

std::optional<ClaimAnswer> ClaimHolder::Claim(const ClaimKeyHash& key,
                                              ClaimantId claimant,
                                              Ticket ticket, WallTime now) {
  const auto held = held_.find(ShardOf(key));
  if (held == held_.end()) return ClaimAnswer{Kind::kNotHolder};
  if (cancelled_.contains(claimant)) return ClaimAnswer{Kind::kCancelled};
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
  // The claimant asks again before its claim is committed.
  const auto wait_with = [&](std::vector<Pending>& records) {
    for (Pending& pending : records) {
      if (pending.record.claimant == claimant && IsClaim(pending.record)) {
        pending.tickets.push_back(ticket);
        return true;
      }
    }
    return false;
  };
  VERIFY(wait_with(pending_) || (batch_ && wait_with(batch_->records)));
  return std::nullopt;
}

void ClaimHolder::CancelAhead(ClaimantId claimant) {
  if (!cancelled_.insert(claimant).second) return;
  cancelled_order_.push_back(claimant);
  if (cancelled_order_.size() <= kMaxCancelledAhead) return;
  cancelled_.erase(cancelled_order_.front());
  cancelled_order_.pop_front();
}

std::optional<ClaimAnswer> ClaimHolder::Finish(const ClaimRecord& record,
                                               Ticket ticket, WallTime now) {
  VERIFY(record.state != ClaimState::kClaiming &&
         record.state != ClaimState::kGranted);
  const auto held = held_.find(ShardOf(record.key));
  if (held == held_.end()) return ClaimAnswer{Kind::kNotHolder};
  ClaimShard& table = held->second.table;
  const ClaimShard::Entry* entry = table.Find(record.key, now);
  const bool is_release = record.state == ClaimState::kReleased;
  if (is_release) CancelAhead(record.claimant);
  if (entry == nullptr || entry->claimant != record.claimant)
    return ClaimAnswer{Kind::kDone};
  if (entry->state == ClaimState::kClaiming) {
    deferred_.push_back({record, {ticket}});
    return std::nullopt;
  }
  // A release never follows another outcome of the same claimant, and an
  // outcome never follows a release.
  const bool was_released = entry->state == ClaimState::kReleased;
  if (entry->state != ClaimState::kGranted && was_released != is_release)
    return ClaimAnswer{Kind::kDone};
  // The place in the order stays that of the loaded record until the commit:
  // the sequence may be another host's.
  table.Apply(record, entry->epoch, entry->sequence, now);
  pending_.push_back({record, {ticket}});
  return std::nullopt;
}

std::optional<TimePoint> ClaimHolder::next_commit_time() const {
  if (!batch_ && pending_.empty()) return std::nullopt;
  if (!commit_started_) return TimePoint{};
  return *commit_started_ + options_.commit_interval;
}

const TableCommit& ClaimHolder::StartCommit(TimePoint now, WallTime wall) {
  if (!batch_) BuildBatch(now, wall);
  commit_started_ = now;
  return batch_->commit;
}

void ClaimHolder::BuildBatch(TimePoint now, WallTime wall) {
  VERIFY(!pending_.empty());
  batch_ = Batch{};
  batch_->records = std::exchange(pending_, {});
  batch_->wall = wall;
  batch_->row_key = ClaimRowKey(host_, incarnation_, sequence_);
  ClaimRow row;
  row.wall = wall;
  for (const Pending& pending : batch_->records) {
    const ClaimShardId shard = ShardOf(pending.record.key);
    row.epochs[shard] = held_.at(shard).row.epoch;
    row.records.push_back(pending.record);
  }
  TableCommit& commit = batch_->commit;
  for (const auto& [shard, epoch] : row.epochs)
    commit.checks.push_back({ClaimShardKey(shard), held_.at(shard).version});
  commit.checks.push_back({batch_->row_key, 0});
  commit.puts.push_back({batch_->row_key, row.Encode()});
  AddExpiredRows(wall, commit);
  commit_started_ = now;
}

void ClaimHolder::AddExpiredRows(WallTime wall, TableCommit& commit) {
  const auto keep_from = wall - std::chrono::duration_cast<WallTime::duration>(
                                    options_.remember + kRowMargin);
  while (!marks_.empty() && marks_.front().wall < keep_from) {
    while (oldest_row_ < marks_.front().end) {
      if (commit.deletes.size() >= kMaxDeletesPerCommit) return;
      commit.deletes.push_back(ClaimRowKey(host_, incarnation_, oldest_row_));
      ++oldest_row_;
    }
    marks_.pop_front();
  }
}

std::vector<ClaimHolder::Answered> ClaimHolder::FinishCommit(
    const CommitResult& result, WallTime now) {
  VERIFY(batch_.has_value());
  if (std::holds_alternative<dogwood::Committed>(result)) return Committed(now);
  if (const auto* conflict = std::get_if<CommitConflict>(&result))
    return Conflicted(*conflict, now);
  if (std::holds_alternative<CommitUnknown>(result)) {
    batch_->is_uncertain = true;
    return {};
  }
  // An earlier copy of this commit may still take effect.
  if (batch_->is_uncertain) return {};
  return Refused(now);
}

std::optional<std::string> ClaimHolder::unresolved_row_key() const {
  if (!batch_ || !batch_->is_uncertain) return std::nullopt;
  return batch_->row_key;
}

std::vector<ClaimHolder::Answered> ClaimHolder::ResolveByRow(
    const TableRow& row, WallTime now) {
  if (!batch_ || row.key != batch_->row_key || row.version == 0) return {};
  return Conflicted({{row}}, now);
}

std::vector<ClaimHolder::Answered> ClaimHolder::Committed(WallTime now) {
  std::vector<Answered> answers;
  const Batch batch = *std::exchange(batch_, std::nullopt);
  for (const Pending& pending : batch.records) {
    // Its tickets were answered when the shard was dropped.
    if (pending.is_dropped) continue;
    Held& held = held_.at(ShardOf(pending.record.key));
    ClaimShard& table = held.table;
    const ClaimShard::Entry* entry = table.Find(pending.record.key, now);
    // After a release the key may already be claimed anew.
    if (entry != nullptr && entry->claimant == pending.record.claimant)
      table.Apply(pending.record, held.row.epoch, sequence_, batch.wall);
    Answer(answers, pending.tickets,
           IsClaim(pending.record) ? Kind::kGranted : Kind::kDone);
  }
  ++sequence_;
  if (marks_.empty() || batch.wall - marks_.back().wall > kSequenceMarkInterval)
    marks_.push_back({sequence_, batch.wall});
  const std::vector<Answered> late = FlushDeferred(now);
  answers.insert(answers.end(), late.begin(), late.end());
  return answers;
}

std::vector<ClaimHolder::Answered> ClaimHolder::Conflicted(
    const CommitConflict& conflict, WallTime now) {
  std::vector<ClaimShardId> lost;
  bool is_row_foreign = false;
  for (const TableRow& row : conflict.current) {
    if (row.key == batch_->row_key && row.version > 0) {
      if (row.value == batch_->commit.puts.front().value) return Committed(now);
      is_row_foreign = true;
    }
    for (const auto& [shard, held] : held_) {
      if (row.key == ClaimShardKey(shard) && row.version != held.version)
        lost.push_back(shard);
    }
  }
  // Another process writes rows of this host and incarnation: neither may
  // grant.
  if (is_row_foreign) {
    lost.clear();
    for (const auto& [shard, held] : held_) lost.push_back(shard);
  }
  // The checked versions have passed, so this commit can never take effect.
  std::erase_if(batch_->records,
                [](const Pending& pending) { return pending.is_dropped; });
  pending_.insert(pending_.begin(),
                  std::make_move_iterator(batch_->records.begin()),
                  std::make_move_iterator(batch_->records.end()));
  batch_.reset();
  std::vector<Answered> answers;
  for (const ClaimShardId shard : lost) {
    const std::vector<Answered> dropped = Drop(shard);
    answers.insert(answers.end(), dropped.begin(), dropped.end());
  }
  const std::vector<Answered> late = FlushDeferred(now);
  answers.insert(answers.end(), late.begin(), late.end());
  return answers;
}

std::vector<ClaimHolder::Answered> ClaimHolder::Refused(WallTime now) {
  std::vector<Answered> answers;
  std::vector<Pending> kept;
  Batch batch = *std::exchange(batch_, std::nullopt);
  for (Pending& pending : batch.records) {
    if (pending.is_dropped) continue;
    if (!IsClaim(pending.record)) {
      kept.push_back(std::move(pending));
      continue;
    }
    held_.at(ShardOf(pending.record.key)).table.Forget(pending.record.key);
    Answer(answers, pending.tickets, Kind::kUnavailable);
  }
  pending_.insert(pending_.begin(), std::make_move_iterator(kept.begin()),
                  std::make_move_iterator(kept.end()));
  const std::vector<Answered> late = FlushDeferred(now);
  answers.insert(answers.end(), late.begin(), late.end());
  return answers;
}

std::vector<ClaimHolder::Answered> ClaimHolder::FlushDeferred(WallTime now) {
  std::vector<Answered> answers;
  for (const Pending& release : std::exchange(deferred_, {})) {
    for (const Ticket ticket : release.tickets) {
      if (const auto answer = Finish(release.record, ticket, now))
        answers.push_back({ticket, *answer});
    }
  }
  return answers;
}

void ClaimHolder::Install(ClaimShardId shard, ClaimShardRow row,
                          std::uint64_t version, ClaimShard table) {
  VERIFY(!held_.contains(shard));
  held_.emplace(shard, Held{std::move(row), version, std::move(table)});
}

std::vector<ClaimHolder::Answered> ClaimHolder::Drop(ClaimShardId shard) {
  std::vector<Answered> answers;
  if (held_.erase(shard) == 0) return answers;
  const auto is_of_shard = [shard](const Pending& pending) {
    return ShardOf(pending.record.key) == shard;
  };
  for (std::vector<Pending>* list : {&pending_, &deferred_}) {
    for (const Pending& pending : *list) {
      if (is_of_shard(pending))
        Answer(answers, pending.tickets, Kind::kNotHolder);
    }
    std::erase_if(*list, is_of_shard);
  }
  if (!batch_) return answers;
  // The commit under way keeps its text; only its callers are answered now.
  for (Pending& pending : batch_->records) {
    if (!is_of_shard(pending)) continue;
    Answer(answers, std::exchange(pending.tickets, {}), Kind::kNotHolder);
    pending.is_dropped = true;
  }
  return answers;
}

std::optional<std::uint64_t> ClaimHolder::version_of(ClaimShardId shard) const {
  const auto held = held_.find(shard);
  if (held == held_.end()) return std::nullopt;
  return held->second.version;
}

TableCommit ClaimHolder::HandoverCommit(WallTime now) const {
  TableCommit commit;
  const auto forget_before =
      now - std::chrono::duration_cast<WallTime::duration>(options_.remember +
                                                           kRowMargin);
  for (const auto& [shard, held] : held_) {
    ClaimShardRow row =
        held.row.TakenOverBy(HostId(), Incarnation(), 0, now, forget_before);
    row.former.back().newest = sequence_ - 1;
    commit.checks.push_back({ClaimShardKey(shard), held.version});
    commit.puts.push_back({ClaimShardKey(shard), row.Encode()});
  }
  return commit;
}

void ClaimHolder::RemoveExpired(WallTime now) {
  for (auto& [shard, held] : held_)
    held.table.RemoveExpired(now, kMaxExpiriesPerCall);
}

}  // namespace dogwood
