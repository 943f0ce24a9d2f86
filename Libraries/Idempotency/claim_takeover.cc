#include "Libraries/Idempotency/claim_takeover.h"

#include <algorithm>

namespace dogwood {
namespace {

// Sequences one confirmation looks ahead. A former holder that still holds
// other shards may write 17 rows a second, far fewer than this per round trip.
constexpr std::uint64_t kLookAhead = 8;
constexpr std::chrono::microseconds kForgetMargin = std::chrono::minutes(10);

}  // namespace

ClaimTakeover::ClaimTakeover(const ClaimHolder& holder,
                             const std::map<ClaimShardId, TableRow>& rows)
    : host_(holder.host()),
      incarnation_(holder.incarnation()),
      options_(holder.options()),
      since_(holder.next_sequence()) {
  for (const auto& [shard, row] : rows) {
    auto before = ClaimShardRow::Parse(row);
    // A shard whose row cannot be read is served by nobody.
    if (!before) continue;
    shards_.emplace(shard, Shard{std::move(before).value(),
                                 row.version,
                                 {},
                                 ClaimShard(options_.remember)});
  }
  if (shards_.empty()) phase_ = Phase::kLost;
}

std::vector<ClaimShardId> ClaimTakeover::shards() const {
  std::vector<ClaimShardId> list;
  for (const auto& [shard, state] : shards_) list.push_back(shard);
  return list;
}

TableCommit ClaimTakeover::RaiseCommit(WallTime now) {
  VERIFY(phase_ == Phase::kRaise);
  if (raise_) return *raise_;
  const auto forget_before =
      now -
      std::chrono::duration_cast<std::chrono::microseconds>(options_.remember) -
      kForgetMargin;
  raise_.emplace();
  for (auto& [shard, state] : shards_) {
    state.raised = state.before.TakenOverBy(host_, incarnation_, since_, now,
                                            forget_before);
    raise_->checks.push_back({ClaimShardKey(shard), state.version});
    raise_->puts.push_back({ClaimShardKey(shard), state.raised.Encode()});
  }
  return *raise_;
}

void ClaimTakeover::ApplyRaise(const CommitResult& result) {
  VERIFY(phase_ == Phase::kRaise && raise_);
  if (std::holds_alternative<Committed>(result)) {
    for (auto& [shard, state] : shards_) ++state.version;
    StartLoad();
    return;
  }
  const auto* conflict = std::get_if<CommitConflict>(&result);
  // The same commit is sent again: its checks let at most one copy take effect.
  if (conflict == nullptr) return;
  bool is_raised_earlier = false;
  for (const TableRow& row : conflict->current) {
    for (auto shard = shards_.begin(); shard != shards_.end(); ++shard) {
      Shard& state = shard->second;
      if (row.key != ClaimShardKey(shard->first)) continue;
      if (row.version == state.version + 1 &&
          row.value == state.raised.Encode()) {
        is_raised_earlier = true;
        state.version = row.version;
      } else {
        // Another host acts on this shard; trying again is a new takeover.
        shards_.erase(shard);
      }
      break;
    }
  }
  raise_.reset();
  if (shards_.empty()) {
    phase_ = Phase::kLost;
  } else if (is_raised_earlier) {
    StartLoad();
  }
}

void ClaimTakeover::StartLoad() {
  for (const auto& [shard, state] : shards_) {
    for (const FormerHolder& former : state.raised.former) {
      const auto same = std::find_if(
          sources_.begin(), sources_.end(), [&former](const Source& source) {
            return source.host == former.host &&
                   source.incarnation == former.incarnation;
          });
      if (same == sources_.end()) {
        sources_.push_back(
            {former.host, former.incarnation, former.since, std::string()});
      } else {
        same->next = std::min(same->next, former.since);
      }
    }
  }
  for (Source& source : sources_) {
    if (source.next > 0)
      source.last_key =
          ClaimRowKey(source.host, source.incarnation, source.next - 1);
  }
  phase_ = sources_.empty() ? Phase::kConfirm : Phase::kLoad;
}

std::pair<std::string, std::string> ClaimTakeover::NextScan() const {
  VERIFY(phase_ == Phase::kLoad);
  const Source& source = sources_[scanning_];
  return {ClaimRowPrefix(source.host, source.incarnation), source.last_key};
}

Result<void> ClaimTakeover::ApplyScan(std::span<const TableRow> rows,
                                      std::size_t limit) {
  VERIFY(phase_ == Phase::kLoad);
  Source& source = sources_[scanning_];
  for (const TableRow& row : rows) {
    const auto sequence = ClaimRowSequence(row.key);
    if (!sequence)
      return Fail(ErrorCode::kProtocol,
                  "row key " + row.key + " has no number");
    TRY(Feed(row));
    source.next = std::max(source.next, *sequence + 1);
    source.last_key = row.key;
  }
  if (rows.size() < limit && ++scanning_ == sources_.size())
    phase_ = Phase::kConfirm;
  return outcome::success();
}

Result<void> ClaimTakeover::Feed(const TableRow& row) {
  TRY_ASSIGN(const ClaimRow parsed, ClaimRow::Parse(row.value));
  const std::uint64_t sequence = ClaimRowSequence(row.key).value_or(0);
  for (const ClaimRecord& record : parsed.records) {
    const ClaimShardId id = ShardOf(record.key);
    const auto shard = shards_.find(id);
    const auto epoch = parsed.epochs.find(id);
    if (shard == shards_.end() || epoch == parsed.epochs.end()) continue;
    shard->second.table.Apply(record, epoch->second, sequence, parsed.wall);
  }
  return outcome::success();
}

TableCommit ClaimTakeover::ConfirmCommit() const {
  VERIFY(phase_ == Phase::kConfirm);
  TableCommit commit;
  for (const auto& [shard, state] : shards_)
    commit.checks.push_back({ClaimShardKey(shard), state.version});
  for (const Source& source : sources_) {
    for (std::uint64_t ahead = 0; ahead < kLookAhead; ++ahead) {
      commit.checks.push_back(
          {ClaimRowKey(source.host, source.incarnation, source.next + ahead),
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
      TRY(Feed(row));
      for (Source& source : sources_) {
        if (row.key.starts_with(
                ClaimRowPrefix(source.host, source.incarnation)))
          source.next = std::max(source.next, *ClaimRowSequence(row.key) + 1);
      }
      continue;
    }
    std::erase_if(shards_, [&row](const auto& shard) {
      return ClaimShardKey(shard.first) == row.key;
    });
  }
  if (shards_.empty()) phase_ = Phase::kLost;
  return outcome::success();
}

void ClaimTakeover::Install(ClaimHolder& holder) {
  VERIFY(phase_ == Phase::kDone);
  for (auto& [shard, state] : shards_) {
    if (!holder.is_holder_of(shard))
      holder.Install(shard, std::move(state.raised), state.version,
                     std::move(state.table));
  }
  shards_.clear();
}

}  // namespace dogwood
