#include <doctest/doctest.h>

#include <set>

#include "Libraries/Idempotency/idempotency.h"

namespace dogwood {
namespace {

using Kind = ClaimAnswer::Kind;
using std::chrono::hours;
using std::chrono::milliseconds;

constexpr WallTime kWall{hours(24 * 365 * 56)};
const ClaimKeyHash kKey = HashClaimKey("7f0c2a51-key");
const ClaimantId kFirst(1);
const ClaimantId kSecond(2);

std::map<ClaimShardId, TableRow> ShardRowOf(const ClaimKeyHash& key,
                                            std::uint64_t version = 0,
                                            std::string value = "") {
  const ClaimShardId shard = ShardOf(key);
  return {{shard, {ClaimShardKey(shard), version, std::move(value)}}};
}

// A holder of kKey's shard whose former holder left these rows.
ClaimHolder MakeHolder(const std::vector<TableRow>& rows = {}) {
  ClaimHolder holder(HostId("b"), Incarnation(2), {});
  ClaimShardRow before;
  before.epoch = 1;
  before.holder = HostId("a");
  before.incarnation = Incarnation(1);
  before.since = 1;
  ClaimTakeover takeover(holder, ShardRowOf(kKey, 1, before.Encode()));
  takeover.RaiseCommit(kWall);
  takeover.ApplyRaise(Committed{});
  CHECK(takeover.NextScan().first == "claim/a/1/");
  REQUIRE(takeover.ApplyScan(rows, 500));
  REQUIRE(takeover.ApplyConfirm(Committed{}));
  takeover.Install(holder);
  return holder;
}

TableRow RowOf(std::uint64_t sequence, const ClaimRecord& record) {
  ClaimRow row;
  row.wall = kWall;
  row.epochs[ShardOf(record.key)] = 1;
  row.records = {record};
  return {ClaimRowKey(HostId("a"), Incarnation(1), sequence), 1, row.Encode()};
}

Kind CommitAndTakeOnly(ClaimHolder& holder, const CommitResult& result) {
  holder.StartCommit(TimePoint{}, kWall);
  const auto answers = holder.FinishCommit(result, kWall);
  REQUIRE(answers.size() == 1);
  return answers.front().answer.kind;
}

// Guards against a grant before the claim is durable.
TEST_CASE("A claim is granted only by its commit, which checks the epoch") {
  ClaimHolder holder = MakeHolder();
  CHECK(!holder.Claim(kKey, kFirst, 1, kWall));
  const TableCommit commit = holder.StartCommit(TimePoint{}, kWall);
  REQUIRE(commit.checks.size() == 2);
  CHECK(commit.checks[0].key == ClaimShardKey(ShardOf(kKey)));
  CHECK(commit.checks[0].version == 2);
  CHECK(commit.checks[1].version == 0);
  CHECK(commit.puts.front().key == "claim/b/2/000000000001");
  const auto answers = holder.FinishCommit(Committed{}, kWall);
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().answer.kind == Kind::kGranted);
  CHECK(holder.Claim(kKey, kSecond, 2, kWall)->kind == Kind::kOutcomeUnknown);
  CHECK(holder.Claim(kKey, kFirst, 3, kWall)->kind == Kind::kGranted);
}

// Guards against a fenced holder that grants, and one that goes on serving.
TEST_CASE("A conflict on the shard row stops the holder at once") {
  ClaimHolder holder = MakeHolder();
  CHECK(!holder.Claim(kKey, kFirst, 1, kWall));
  CHECK(CommitAndTakeOnly(
            holder, CommitConflict{{{ClaimShardKey(ShardOf(kKey)), 3, ""}}}) ==
        Kind::kNotHolder);
  CHECK(holder.Claim(kKey, kSecond, 2, kWall)->kind == Kind::kNotHolder);
}

// Guards against taking a refused repetition for the fate of a commit whose
// first copy may still take effect.
TEST_CASE("A lost answer is resolved only by the row or a final result") {
  ClaimHolder holder = MakeHolder();
  CHECK(!holder.Claim(kKey, kFirst, 1, kWall));
  const TableCommit commit = holder.StartCommit(TimePoint{}, kWall);
  CHECK(holder.FinishCommit(CommitUnknown{}, kWall).empty());
  CHECK(holder.FinishCommit(CommitUnavailable{}, kWall).empty());
  const std::string key = holder.unresolved_row_key().value();
  CHECK(holder.ResolveByRow({key}, kWall).empty());
  CHECK(holder.StartCommit(TimePoint{}, kWall).puts.front().value ==
        commit.puts.front().value);
  const auto answers =
      holder.ResolveByRow({key, 1, commit.puts.front().value}, kWall);
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().answer.kind == Kind::kGranted);
}

TEST_CASE("A store that is down means not run, and the key stays free") {
  ClaimHolder holder = MakeHolder();
  CHECK(!holder.Claim(kKey, kFirst, 1, kWall));
  CHECK(CommitAndTakeOnly(holder, CommitUnavailable{}) == Kind::kUnavailable);
  CHECK(!holder.Claim(kKey, kSecond, 2, kWall));
  CHECK(CommitAndTakeOnly(holder, Committed{}) == Kind::kGranted);
}

// Guards against a key that stays claimed for nobody.
TEST_CASE("A release that overtakes its claim cancels it") {
  ClaimHolder holder = MakeHolder();
  CHECK(holder.Finish({kKey, kFirst, ClaimState::kReleased}, 1, kWall)->kind ==
        Kind::kDone);
  CHECK(holder.Claim(kKey, kFirst, 2, kWall)->kind == Kind::kCancelled);
  CHECK(!holder.Claim(kKey, kSecond, 3, kWall));
}

// Guards against comparing a former holder's sequence with the own one: the
// second claim stayed in the state claiming after its commit.
TEST_CASE("A key released after a takeover is claimed anew") {
  ClaimHolder holder = MakeHolder({RowOf(500, {kKey, kFirst})});
  CHECK(holder.Claim(kKey, kSecond, 1, kWall)->kind == Kind::kOutcomeUnknown);
  CHECK(!holder.Finish({kKey, kFirst, ClaimState::kReleased}, 2, kWall));
  CHECK(CommitAndTakeOnly(holder, Committed{}) == Kind::kDone);
  CHECK(!holder.Claim(kKey, kSecond, 3, kWall));
  CHECK(CommitAndTakeOnly(holder, Committed{}) == Kind::kGranted);
  CHECK(holder.Claim(kKey, kSecond, 4, kWall)->kind == Kind::kGranted);
}

// Guards against a takeover that trusts a read from the past.
TEST_CASE("The confirmation loads rows that a stale scan missed") {
  ClaimHolder holder(HostId("b"), Incarnation(2), {});
  ClaimShardRow before;
  before.holder = HostId("a");
  before.incarnation = Incarnation(1);
  before.since = 1;
  ClaimTakeover takeover(holder, ShardRowOf(kKey, 1, before.Encode()));
  takeover.RaiseCommit(kWall);
  takeover.ApplyRaise(Committed{});
  REQUIRE(takeover.ApplyScan({}, 500));
  CHECK(takeover.ConfirmCommit().checks.at(1).key == "claim/a/1/000000000001");
  REQUIRE(takeover.ApplyConfirm(
      CommitConflict{{RowOf(1, {kKey, kFirst, ClaimState::kCompleted, 201})}}));
  CHECK(takeover.phase() == ClaimTakeover::Phase::kConfirm);
  CHECK(takeover.ConfirmCommit().checks.at(1).key == "claim/a/1/000000000002");
  REQUIRE(takeover.ApplyConfirm(Committed{}));
  takeover.Install(holder);
  const auto answer = holder.Claim(kKey, kSecond, 1, kWall);
  CHECK(answer->kind == Kind::kCompleted);
  CHECK(answer->status == 201);
}

TEST_CASE("A key is forgotten after the remembering time, not before") {
  ClaimHolder holder = MakeHolder({RowOf(1, {kKey, kFirst})});
  CHECK(holder.Claim(kKey, kSecond, 1, kWall + hours(24))->kind ==
        Kind::kOutcomeUnknown);
  holder.RemoveExpired(kWall + hours(25));
  CHECK(holder.remembered_keys() == 0);
  CHECK(!holder.Claim(kKey, kSecond, 2, kWall + hours(25)));
}

// Guards against a shard whose keys all move when one host leaves.
TEST_CASE("Rendezvous hashing moves only the shards of the host that left") {
  const std::vector<HostId> all{HostId("a"), HostId("b"), HostId("c")};
  const std::vector<HostId> rest{HostId("a"), HostId("c")};
  std::set<HostId> used;
  for (std::uint32_t shard = 0; shard < kClaimShardCount; ++shard) {
    const auto before = RendezvousHolder(ClaimShardId(shard), all);
    const auto after = RendezvousHolder(ClaimShardId(shard), rest);
    used.insert(*before);
    CHECK((before == HostId("b") || before == after));
  }
  CHECK(used.size() == 3);
  CHECK(!RendezvousHolder(ClaimShardId(0), {}));
}

}  // namespace
}  // namespace dogwood
