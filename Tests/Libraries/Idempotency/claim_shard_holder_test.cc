#include <doctest/doctest.h>

#include <set>

#include "Libraries/Idempotency/idempotency.h"

namespace dogwood {
namespace {

using Kind = ClaimAnswer::Kind;
using std::chrono::hours;
using std::chrono::milliseconds;

constexpr WallTime kWall{hours(24 * 365 * 56)};
const IdempotencyKeyHash kKey = HashIdempotencyKey("7f0c2a51-key");
const ClaimantId kFirstClaimant(1);
const ClaimantId kSecondClaimant(2);

std::map<ClaimShardId, TableRow> MakeShardRows(const IdempotencyKeyHash& key,
                                               std::uint64_t version = 0,
                                               std::string value = "") {
  const ClaimShardId shard = ShardOfKey(key);
  return {{shard, {ClaimShardRowKey(shard), version, std::move(value)}}};
}

// Returns a holder that has taken over kKey's shard from a former holder, which
// wrote `rows`.
ClaimShardHolder MakeHolder(const std::vector<TableRow>& rows = {}) {
  ClaimShardHolder holder(HostId("b"), Incarnation(2), {});
  ClaimShardRow before;
  before.epoch = 1;
  before.holder = HostId("a");
  before.incarnation = Incarnation(1);
  before.first_sequence = 1;
  ClaimTakeover takeover(holder, MakeShardRows(kKey, 1, before.Encode()));
  takeover.BuildRaiseEpochsCommit(kWall);
  takeover.ApplyRaiseEpochs(Committed{});
  CHECK(takeover.NextScan().first == "claim/a/1/");
  REQUIRE(takeover.ApplyScan(rows, 500));
  REQUIRE(takeover.ApplyConfirm(Committed{}));
  takeover.Install(holder);
  return holder;
}

TableRow MakeClaimRow(std::uint64_t sequence, const ClaimRecord& record) {
  ClaimRow row;
  row.written_at = kWall;
  row.epochs[ShardOfKey(record.key)] = 1;
  row.records = {record};
  return {ClaimRowKey(HostId("a"), Incarnation(1), sequence), 1, row.Encode()};
}

Kind CommitOne(ClaimShardHolder& holder, const CommitResult& result) {
  holder.StartCommit(TimePoint{}, kWall);
  const auto answers = holder.FinishCommit(result, kWall);
  REQUIRE(answers.size() == 1);
  return answers.front().answer.kind;
}

// Guards against a grant before the claim is durable, or by a replaced holder.
TEST_CASE("A claim is granted only by a commit that checks the epoch") {
  ClaimShardHolder holder = MakeHolder();
  CHECK(!holder.Claim(kKey, kFirstClaimant, 1, kWall));
  const TableTransaction commit = holder.StartCommit(TimePoint{}, kWall);
  REQUIRE(commit.checks.size() == 2);
  CHECK(commit.checks[0].key == ClaimShardRowKey(ShardOfKey(kKey)));
  CHECK(commit.checks[0].version == 2);
  CHECK(commit.checks[1].version == 0);
  CHECK(commit.puts.front().key == "claim/b/2/000000000001");
  const auto answers = holder.FinishCommit(Committed{}, kWall);
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().answer.kind == Kind::kGranted);
  CHECK(holder.Claim(kKey, kSecondClaimant, 2, kWall)->kind ==
        Kind::kOutcomeUnknown);
  CHECK(holder.Claim(kKey, kFirstClaimant, 3, kWall)->kind == Kind::kGranted);
}

// Guards against a replaced holder that grants claims or keeps serving.
TEST_CASE("A conflict on the shard row makes the holder drop the shard") {
  ClaimShardHolder holder = MakeHolder();
  CHECK(!holder.Claim(kKey, kFirstClaimant, 1, kWall));
  CHECK(CommitOne(holder, CommitConflict{{{ClaimShardRowKey(ShardOfKey(kKey)),
                                           3, ""}}}) == Kind::kNotHolder);
  CHECK(holder.Claim(kKey, kSecondClaimant, 2, kWall)->kind ==
        Kind::kNotHolder);
}

// Guards against treating a failed retry as the outcome of a commit whose first
// attempt may still take effect.
TEST_CASE("An unknown outcome is resolved only by the row or a final result") {
  ClaimShardHolder holder = MakeHolder();
  CHECK(!holder.Claim(kKey, kFirstClaimant, 1, kWall));
  const TableTransaction commit = holder.StartCommit(TimePoint{}, kWall);
  CHECK(holder.FinishCommit(CommitOutcomeUnknown{}, kWall).empty());
  CHECK(holder.FinishCommit(CommitUnavailable{}, kWall).empty());
  const std::string key = holder.unresolved_row_key().value();
  CHECK(holder.ResolveCommitByRow({key}, kWall).empty());
  CHECK(holder.StartCommit(TimePoint{}, kWall).puts.front().value ==
        commit.puts.front().value);
  const auto answers =
      holder.ResolveCommitByRow({key, 1, commit.puts.front().value}, kWall);
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().answer.kind == Kind::kGranted);
}

TEST_CASE("A claim that cannot be stored leaves the key free") {
  ClaimShardHolder holder = MakeHolder();
  CHECK(!holder.Claim(kKey, kFirstClaimant, 1, kWall));
  CHECK(CommitOne(holder, CommitUnavailable{}) == Kind::kUnavailable);
  CHECK(!holder.Claim(kKey, kSecondClaimant, 2, kWall));
  CHECK(CommitOne(holder, Committed{}) == Kind::kGranted);
}

// Guards against a key that stays claimed although its claimant has given up.
TEST_CASE("A release that arrives before its claim cancels the claim") {
  ClaimShardHolder holder = MakeHolder();
  CHECK(holder.Finish({kKey, kFirstClaimant, ClaimState::kReleased}, 1, kWall)
            ->kind == Kind::kDone);
  CHECK(holder.Claim(kKey, kFirstClaimant, 2, kWall)->kind == Kind::kCancelled);
  CHECK(!holder.Claim(kKey, kSecondClaimant, 3, kWall));
}

// Guards against ordering a former holder's sequence after one of this holder:
// the second claim then stays in kClaiming after its commit.
TEST_CASE("A key released after a takeover can be claimed again") {
  ClaimShardHolder holder =
      MakeHolder({MakeClaimRow(500, {kKey, kFirstClaimant})});
  CHECK(holder.Claim(kKey, kSecondClaimant, 1, kWall)->kind ==
        Kind::kOutcomeUnknown);
  CHECK(
      !holder.Finish({kKey, kFirstClaimant, ClaimState::kReleased}, 2, kWall));
  CHECK(CommitOne(holder, Committed{}) == Kind::kDone);
  CHECK(!holder.Claim(kKey, kSecondClaimant, 3, kWall));
  CHECK(CommitOne(holder, Committed{}) == Kind::kGranted);
  CHECK(holder.Claim(kKey, kSecondClaimant, 4, kWall)->kind == Kind::kGranted);
}

// Guards against a takeover that relies on a stale read and grants a key that
// is already completed.
TEST_CASE("The confirmation of a takeover loads rows that a scan missed") {
  ClaimShardHolder holder(HostId("b"), Incarnation(2), {});
  ClaimShardRow before;
  before.holder = HostId("a");
  before.incarnation = Incarnation(1);
  before.first_sequence = 1;
  ClaimTakeover takeover(holder, MakeShardRows(kKey, 1, before.Encode()));
  takeover.BuildRaiseEpochsCommit(kWall);
  takeover.ApplyRaiseEpochs(Committed{});
  REQUIRE(takeover.ApplyScan({}, 500));
  CHECK(takeover.BuildConfirmCommit().checks.at(1).key ==
        "claim/a/1/000000000001");
  REQUIRE(takeover.ApplyConfirm(CommitConflict{
      {MakeClaimRow(1, {kKey, kFirstClaimant, ClaimState::kCompleted, 201})}}));
  CHECK(takeover.phase() == ClaimTakeover::Phase::kConfirm);
  CHECK(takeover.BuildConfirmCommit().checks.at(1).key ==
        "claim/a/1/000000000002");
  REQUIRE(takeover.ApplyConfirm(Committed{}));
  takeover.Install(holder);
  const auto answer = holder.Claim(kKey, kSecondClaimant, 1, kWall);
  CHECK(answer->kind == Kind::kCompleted);
  CHECK(answer->status == 201);
}

TEST_CASE("A key expires after the retention time, not before") {
  ClaimShardHolder holder =
      MakeHolder({MakeClaimRow(1, {kKey, kFirstClaimant})});
  CHECK(holder.Claim(kKey, kSecondClaimant, 1, kWall + hours(24))->kind ==
        Kind::kOutcomeUnknown);
  holder.RemoveExpired(kWall + hours(25));
  CHECK(holder.key_count() == 0);
  CHECK(!holder.Claim(kKey, kSecondClaimant, 2, kWall + hours(25)));
}

// Guards against a change of membership that moves shards between the hosts
// that remain.
TEST_CASE("Rendezvous hashing moves only the shards of the host that left") {
  const std::vector<HostId> all_hosts{HostId("a"), HostId("b"), HostId("c")};
  const std::vector<HostId> remaining_hosts{HostId("a"), HostId("c")};
  std::set<HostId> holders;
  for (std::uint32_t shard = 0; shard < kClaimShardCount; ++shard) {
    const auto before = SelectShardHolder(ClaimShardId(shard), all_hosts);
    const auto after = SelectShardHolder(ClaimShardId(shard), remaining_hosts);
    holders.insert(*before);
    CHECK((before == HostId("b") || before == after));
  }
  CHECK(holders.size() == 3);
  CHECK(!SelectShardHolder(ClaimShardId(0), {}));
}

}  // namespace
}  // namespace dogwood
