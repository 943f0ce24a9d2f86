#include "Libraries/Usage/usage.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>

namespace dogwood {
namespace {

using std::chrono::seconds;

const HostId kHost("host-1");
const Incarnation kIncarnation(7);
const HostIncarnation kPeer{HostId("host-2"), Incarnation(8)};
const PartyId kParty("lesta");
const ServiceId kService("tracking");
const UsageKey kKey{kParty, kService};
const WallTime kWall{std::chrono::sys_days(std::chrono::year(2026) / 12 / 4)};
const Month kMonth = MonthOf(kWall);

UsageRow RowOf(std::uint64_t sequence, std::uint64_t total,
               std::uint64_t reserved, UsageRowState state) {
  UsageRow row{kMonth, kHost, kIncarnation, state, sequence};
  row.peers = {kPeer};
  row.use[kKey] = {total, reserved};
  return row;
}

UsageReport ReportOf(const std::vector<UsageRow>& rows,
                     const LiveIncarnations& confirmed = {}) {
  std::vector<TableRow> table;
  table.reserve(rows.size());
  for (const UsageRow& row : rows)
    table.push_back({row.key(), 1, row.Encode()});
  return UsageReport::Build(kMonth, table, {{kKey, 100}}, confirmed).value();
}

TEST_CASE("Months turn at midnight UTC") {
  const WallTime turn = StartOf(Month(kMonth.value() + 1));
  CHECK(MonthName(MonthOf(turn)) == "2027-01");
  CHECK(MonthName(MonthOf(turn - std::chrono::microseconds(1))) == "2026-12");
  CHECK(ParseMonth("2027-01") == MonthOf(turn));
  CHECK(!ParseMonth("2027-13"));
  CHECK(!ParseMonth("2027-1x"));
}

// Guards against use beyond what others know as the upper bound.
TEST_CASE("No request is admitted beyond the reservation in force") {
  UsageLedger ledger(kHost, kIncarnation, {10, 4});
  CHECK(!ledger.TryAdmit(kParty, kService, kMonth));
  ledger.StartWrite(kMonth, {kPeer}, kWall);
  CHECK(!ledger.TryAdmit(kParty, kService, kMonth));
  ledger.FinishWrite(kMonth, Committed{});
  std::uint64_t admitted = 0;
  while (admitted < 1000 && ledger.TryAdmit(kParty, kService, kMonth))
    ++admitted;
  const TableCommit commit = ledger.StartWrite(kMonth, {kPeer}, kWall);
  const UsageRow row = UsageRow::Parse(commit.puts.front().value).value();
  CHECK(row.use.at(kKey).reserved >= admitted);
  CHECK(!ledger.TryAdmit(kParty, kService, kMonth));
  ledger.FinishWrite(kMonth, CommitUnknown{});
  CHECK(!ledger.TryAdmit(kParty, kService, kMonth));
  ledger.Confirm(row);
  CHECK(ledger.TryAdmit(kParty, kService, kMonth));
}

// Guards against an extension held only by peers that a reader of the store's
// row does not know of.
TEST_CASE("An extension needs the peers of every row the store may hold") {
  UsageLedger ledger(kHost, kIncarnation, {10, 4});
  ledger.StartWrite(kMonth, {kPeer}, kWall);
  ledger.FinishWrite(kMonth, Committed{});
  const HostIncarnation other{HostId("host-3"), Incarnation(9)};
  ledger.StartWrite(kMonth, {other}, kWall);
  ledger.FinishWrite(kMonth, CommitUnknown{});
  CHECK(ledger.ExtensionPeers(kMonth) == std::vector{kPeer, other});
  ledger.StartWrite(kMonth, {}, kWall);
  ledger.FinishWrite(kMonth, CommitUnknown{});
  CHECK(ledger.ExtensionPeers(kMonth).empty());
}

// Guards against a lost answer that blocks or rolls back later writes.
TEST_CASE("A write in doubt is found by the next one's conflict") {
  UsageLedger ledger(kHost, kIncarnation, {});
  ledger.Open(kMonth);
  const TableCommit first = ledger.StartWrite(kMonth, {}, kWall);
  ledger.FinishWrite(kMonth, CommitUnknown{});
  CHECK(ledger.NeedsWrite(kMonth));
  const TableCommit second = ledger.StartWrite(kMonth, {}, kWall);
  CHECK(second.checks.front().version == 0);
  ledger.FinishWrite(
      kMonth,
      CommitConflict{{{first.puts.front().key, 1, first.puts.front().value}}});
  CHECK(!ledger.NeedsWrite(kMonth));
  CHECK(ledger.TryAdmit(kParty, kService, kMonth));
  ledger.Record(kParty, kService, kMonth);
  CHECK(ledger.StartWrite(kMonth, {}, kWall).checks.front().version == 1);
}

TEST_CASE("Threads lose no record") {
  UsageLedger ledger(kHost, kIncarnation, {});
  constexpr int kThreads = 4;
  constexpr int kRecords = 20000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&ledger] {
      for (int j = 0; j < kRecords; ++j)
        ledger.Record(kParty, ServiceId(j % 2 == 0 ? "a" : "b"), kMonth);
    });
  }
  for (std::thread& thread : threads) thread.join();
  ledger.CloseMonth(kMonth);
  const UsageRow row = ledger.Snapshot(kMonth, {}, kWall);
  CHECK(row.state == UsageRowState::kClosed);
  for (const char* service : {"a", "b"}) {
    const UsageAmount amount = row.use.at({kParty, ServiceId(service)});
    CHECK(amount.total == kThreads * kRecords / 2);
    CHECK(amount.reserved == amount.total);
  }
}

// Guards against a result that depends on the order of messages and rows.
TEST_CASE("Merges give the same row in any order") {
  CHECK(rc::check([] {
    std::vector<UsageRow> rows;
    std::uint64_t total = 0;
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
      total += *rc::gen::inRange<std::uint64_t>(0, 50);
      const bool is_closed = sequence == 5 && *rc::gen::arbitrary<bool>();
      rows.push_back(
          RowOf(sequence, total, total + (is_closed ? 0 : 20),
                is_closed ? UsageRowState::kClosed : UsageRowState::kRunning));
    }
    const auto merged = [](const std::vector<UsageRow>& list) {
      UsageRow result = list.front();
      for (const UsageRow& row : list) result.Merge(row);
      return result.Encode();
    };
    std::vector<UsageRow> shuffled = rows;
    for (std::size_t i = shuffled.size() - 1; i > 0; --i)
      std::swap(shuffled[i],
                shuffled[*rc::gen::inRange<std::size_t>(0, i + 1)]);
    RC_ASSERT(merged(shuffled) == merged(rows));
  }));
}

// Guards against bounds that are claimed without knowing every extension.
TEST_CASE("The report is bounded only by rows whose reservation is final") {
  const UsageRow running = RowOf(3, 40, 90, UsageRowState::kRunning);
  CHECK(!ReportOf({running}).lines().front().high);
  CHECK(ReportOf({running}).events().size() == 1);
  CHECK(ReportOf({running}, {{kHost, kIncarnation}}).lines().front().high ==
        90);
  const UsageReport adopted =
      ReportOf({RowOf(3, 40, 120, UsageRowState::kAdopted)});
  CHECK(adopted.lines().front().low == 40);
  CHECK(adopted.lines().front().high == 120);
  CHECK(adopted.Render(UsageFormat::kCsv).find("maybe over") !=
        std::string::npos);
  const UsageReport closed =
      ReportOf({RowOf(3, 40, 40, UsageRowState::kClosed)});
  CHECK(closed.is_exact());
  CHECK(closed.events().empty());
  CHECK(closed.Render(UsageFormat::kTable).find("within") != std::string::npos);
}

// Guards against an adoption that overwrites newer totals or claims bounds it
// does not know.
TEST_CASE("A copy is adopted on top of the store's row") {
  UsageCopies peer(kPeer);
  peer.Merge(RowOf(4, 50, 200, UsageRowState::kRunning));
  const UsageRow stored = RowOf(5, 60, 90, UsageRowState::kRunning);
  CHECK(peer.Vanished({}) == std::vector<std::string>{stored.key()});
  CHECK(peer.Vanished({{kHost, kIncarnation}}).empty());
  const auto commit =
      peer.AdoptCommit(stored.key(), {stored.key(), 9, stored.Encode()}, kWall);
  REQUIRE(commit);
  CHECK(commit->checks.front().version == 9);
  const UsageRow row = UsageRow::Parse(commit->puts.front().value).value();
  CHECK(row.state == UsageRowState::kAdopted);
  CHECK(row.use.at(kKey) == UsageAmount{60, 200});
  CHECK(
      !peer.AdoptCommit(stored.key(), {stored.key(), 10, row.Encode()}, kWall));
  UsageCopies stranger({HostId("host-2"), Incarnation(99)});
  stranger.Merge(RowOf(6, 70, 80, UsageRowState::kRunning));
  const auto raised = stranger.AdoptCommit(
      stored.key(), {stored.key(), 9, stored.Encode()}, kWall);
  REQUIRE(raised);
  CHECK(UsageRow::Parse(raised->puts.front().value).value().state ==
        UsageRowState::kRunning);
}

TEST_CASE("A changed snapshot fails verification; late rows are corrections") {
  const UsageReport report =
      ReportOf({RowOf(3, 40, 40, UsageRowState::kClosed)});
  const std::string text = report.SnapshotText();
  CHECK(UsageReport::VerifySnapshot(text, "d1", "d1"));
  CHECK(!UsageReport::VerifySnapshot(text, "d2", "d1"));
  CHECK(!UsageReport::VerifySnapshot(text + " ", "d1", "d1"));
  const UsageReport newer =
      ReportOf({RowOf(4, 43, 43, UsageRowState::kClosed)});
  CHECK(report.Corrections(report).empty());
  REQUIRE(report.Corrections(newer).size() == 1);
  CHECK(report.Corrections(newer).front().low == 43);
}

}  // namespace
}  // namespace dogwood
