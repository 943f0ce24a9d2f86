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
const ClientAccountId kClientAccount("lesta");
const ServiceId kService("tracking");
const UsageKey kUsageKey{kClientAccount, kService};
const WallTime kWall{std::chrono::sys_days(std::chrono::year(2026) / 12 / 4)};
const Month kMonth = MonthOf(kWall);

UsageRow MakeUsageRow(std::uint64_t sequence, std::uint64_t total,
                      std::uint64_t reserved, UsageRowState state) {
  UsageRow row{kMonth, kHost, kIncarnation, state, sequence};
  row.peers = {kPeer};
  row.use[kUsageKey] = {total, reserved};
  return row;
}

UsageReport BuildReport(const std::vector<UsageRow>& rows,
                        const HostIncarnationSet& confirmed = {}) {
  std::vector<TableRow> table;
  table.reserve(rows.size());
  for (const UsageRow& row : rows)
    table.push_back({row.key(), 1, row.Encode()});
  return UsageReport::Build(kMonth, table, {{kUsageKey, 100}}, confirmed)
      .value();
}

TEST_CASE("A month begins and ends at midnight UTC") {
  const WallTime turn = StartOfMonth(Month(kMonth.value() + 1));
  CHECK(FormatMonth(MonthOf(turn)) == "2027-01");
  CHECK(FormatMonth(MonthOf(turn - std::chrono::microseconds(1))) == "2026-12");
  CHECK(ParseMonth("2027-01") == MonthOf(turn));
  CHECK(!ParseMonth("2027-13"));
  CHECK(!ParseMonth("2027-1x"));
}

// Guards against usage beyond the reservation that reports take as the upper
// bound: only a confirmed row may put a reservation in force.
TEST_CASE("No request is admitted beyond the reservation in force") {
  UsageLedger ledger(kHost, kIncarnation, {10, 4});
  CHECK(!ledger.TryAdmit(kClientAccount, kService, kMonth));
  ledger.StartWrite(kMonth, {kPeer}, kWall);
  CHECK(!ledger.TryAdmit(kClientAccount, kService, kMonth));
  ledger.FinishWrite(kMonth, Committed{});
  std::uint64_t admitted = 0;
  while (admitted < 1000 && ledger.TryAdmit(kClientAccount, kService, kMonth))
    ++admitted;
  const TableTransaction commit = ledger.StartWrite(kMonth, {kPeer}, kWall);
  const UsageRow row = UsageRow::Parse(commit.puts.front().value).value();
  CHECK(row.use.at(kUsageKey).reserved >= admitted);
  CHECK(!ledger.TryAdmit(kClientAccount, kService, kMonth));
  ledger.FinishWrite(kMonth, CommitOutcomeUnknown{});
  CHECK(!ledger.TryAdmit(kClientAccount, kService, kMonth));
  ledger.Confirm(row);
  CHECK(ledger.TryAdmit(kClientAccount, kService, kMonth));
}

// Guards against an extension that only peers hold which the store's row does
// not name, so that an adoption would miss it.
TEST_CASE("An extension requires the peers of all rows the store may hold") {
  UsageLedger ledger(kHost, kIncarnation, {10, 4});
  ledger.StartWrite(kMonth, {kPeer}, kWall);
  ledger.FinishWrite(kMonth, Committed{});
  const HostIncarnation other{HostId("host-3"), Incarnation(9)};
  ledger.StartWrite(kMonth, {other}, kWall);
  ledger.FinishWrite(kMonth, CommitOutcomeUnknown{});
  CHECK(ledger.RequiredExtensionPeers(kMonth) == std::vector{kPeer, other});
  ledger.StartWrite(kMonth, {}, kWall);
  ledger.FinishWrite(kMonth, CommitOutcomeUnknown{});
  CHECK(ledger.RequiredExtensionPeers(kMonth).empty());
}

// Guards against a lost response that blocks later writes or lets them
// overwrite newer totals.
TEST_CASE("A conflict reveals that a write of unknown outcome succeeded") {
  UsageLedger ledger(kHost, kIncarnation, {});
  ledger.Open(kMonth);
  const TableTransaction first = ledger.StartWrite(kMonth, {}, kWall);
  ledger.FinishWrite(kMonth, CommitOutcomeUnknown{});
  CHECK(ledger.should_write(kMonth));
  const TableTransaction second = ledger.StartWrite(kMonth, {}, kWall);
  CHECK(second.checks.front().version == 0);
  ledger.FinishWrite(
      kMonth,
      CommitConflict{{{first.puts.front().key, 1, first.puts.front().value}}});
  CHECK(!ledger.should_write(kMonth));
  CHECK(ledger.TryAdmit(kClientAccount, kService, kMonth));
  ledger.Record(kClientAccount, kService, kMonth);
  CHECK(ledger.StartWrite(kMonth, {}, kWall).checks.front().version == 1);
}

TEST_CASE("Concurrent records are all counted") {
  UsageLedger ledger(kHost, kIncarnation, {});
  constexpr int kThreads = 4;
  constexpr int kRecords = 20000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&ledger] {
      for (int j = 0; j < kRecords; ++j)
        ledger.Record(kClientAccount, ServiceId(j % 2 == 0 ? "a" : "b"),
                      kMonth);
    });
  }
  for (std::thread& thread : threads) thread.join();
  ledger.CloseMonth(kMonth);
  const UsageRow row = ledger.Snapshot(kMonth, {}, kWall);
  CHECK(row.state == UsageRowState::kClosed);
  for (const char* service : {"a", "b"}) {
    const UsageAmount amount = row.use.at({kClientAccount, ServiceId(service)});
    CHECK(amount.total == kThreads * kRecords / 2);
    CHECK(amount.reserved == amount.total);
  }
}

// Guards against replicas that differ because messages arrived in a different
// order.
TEST_CASE("Merging rows in any order gives the same row") {
  CHECK(rc::check([] {
    std::vector<UsageRow> rows;
    std::uint64_t total = 0;
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
      total += *rc::gen::inRange<std::uint64_t>(0, 50);
      const bool is_closed = sequence == 5 && *rc::gen::arbitrary<bool>();
      rows.push_back(MakeUsageRow(
          sequence, total, total + (is_closed ? 0 : 20),
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

// Guards against an upper bound computed without knowledge of all extensions.
TEST_CASE("A report line is bounded only if all reservations are final") {
  const UsageRow running = MakeUsageRow(3, 40, 90, UsageRowState::kRunning);
  CHECK(!BuildReport({running}).lines().front().high);
  CHECK(BuildReport({running}).inexact_incarnations().size() == 1);
  CHECK(BuildReport({running}, {{kHost, kIncarnation}}).lines().front().high ==
        90);
  const UsageReport adopted =
      BuildReport({MakeUsageRow(3, 40, 120, UsageRowState::kAdopted)});
  CHECK(adopted.lines().front().low == 40);
  CHECK(adopted.lines().front().high == 120);
  CHECK(adopted.Render(UsageReportFormat::kCsv).find("maybe over") !=
        std::string::npos);
  const UsageReport closed =
      BuildReport({MakeUsageRow(3, 40, 40, UsageRowState::kClosed)});
  CHECK(closed.is_exact());
  CHECK(closed.inexact_incarnations().empty());
  CHECK(closed.Render(UsageReportFormat::kTable).find("within") !=
        std::string::npos);
}

// Guards against an adoption that overwrites newer totals, or that makes
// reservations final although its host does not hold all extensions.
TEST_CASE("Adoption merges a replica into the store's row") {
  UsageReplicas peer(kPeer);
  peer.Merge(MakeUsageRow(4, 50, 200, UsageRowState::kRunning));
  const UsageRow stored = MakeUsageRow(5, 60, 90, UsageRowState::kRunning);
  CHECK(peer.KeysOfVanished({}) == std::vector<std::string>{stored.key()});
  CHECK(peer.KeysOfVanished({{kHost, kIncarnation}}).empty());
  const auto commit = peer.BuildAdoptionCommit(
      stored.key(), {stored.key(), 9, stored.Encode()}, kWall);
  REQUIRE(commit);
  CHECK(commit->checks.front().version == 9);
  const UsageRow row = UsageRow::Parse(commit->puts.front().value).value();
  CHECK(row.state == UsageRowState::kAdopted);
  CHECK(row.use.at(kUsageKey) == UsageAmount{60, 200});
  CHECK(!peer.BuildAdoptionCommit(stored.key(),
                                  {stored.key(), 10, row.Encode()}, kWall));
  UsageReplicas restarted_peer({HostId("host-2"), Incarnation(99)});
  restarted_peer.Merge(MakeUsageRow(6, 70, 80, UsageRowState::kRunning));
  const auto raised = restarted_peer.BuildAdoptionCommit(
      stored.key(), {stored.key(), 9, stored.Encode()}, kWall);
  REQUIRE(raised);
  CHECK(UsageRow::Parse(raised->puts.front().value).value().state ==
        UsageRowState::kRunning);
}

TEST_CASE("A changed snapshot is rejected; late rows become corrections") {
  const UsageReport report =
      BuildReport({MakeUsageRow(3, 40, 40, UsageRowState::kClosed)});
  const std::string text = report.EncodeSnapshot();
  CHECK(UsageReport::VerifySnapshot(text, "d1", "d1"));
  CHECK(!UsageReport::VerifySnapshot(text, "d2", "d1"));
  CHECK(!UsageReport::VerifySnapshot(text + " ", "d1", "d1"));
  const UsageReport newer =
      BuildReport({MakeUsageRow(4, 43, 43, UsageRowState::kClosed)});
  CHECK(report.Corrections(report).empty());
  REQUIRE(report.Corrections(newer).size() == 1);
  CHECK(report.Corrections(newer).front().low == 43);
}

}  // namespace
}  // namespace dogwood
