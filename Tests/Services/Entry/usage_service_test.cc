#include "Services/Entry/usage_service.h"

#include <doctest/doctest.h>

#include "Tests/Services/Entry/control_world.h"

namespace dogwood {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using TrueUse = std::map<UsageKey, std::uint64_t>;

class FakeSnapshotStore final : public UsageSnapshotStore {
 public:
  asio::awaitable<Result<void>> Put(std::string name,
                                    std::string text) override {
    objects[name] = std::move(text);
    co_return outcome::success();
  }
  asio::awaitable<Result<std::string>> Read(std::string name) override {
    if (!objects.contains(name)) co_return Fail(ErrorCode::kNotFound, name);
    co_return objects[name];
  }
  std::map<std::string, std::string> objects;
};

// Returns a description of the first report line whose bounds exclude the true
// use, or an empty string. `before` and `after` are the true use when the
// report began and ended.
std::string FindViolation(const UsageReport& report, const TrueUse& before,
                          const TrueUse& after) {
  std::map<UsageKey, UsageReportLine> lines;
  for (const UsageReportLine& line : report.lines()) lines[line.key] = line;
  for (const auto& [key, use] : before) {
    const std::string name =
        key.client_account.value() + "/" + key.service.value();
    if (!lines.contains(key)) return name + " is missing";
    if (lines[key].high && *lines[key].high < use)
      return name + " used " + std::to_string(use) + " over " +
             std::to_string(*lines[key].high);
  }
  for (const auto& [key, line] : lines) {
    const auto use = after.find(key);
    if (line.low > (use == after.end() ? 0 : use->second))
      return key.client_account.value() + "/" + key.service.value() +
             " used less than " + std::to_string(line.low);
  }
  return "";
}

struct Host {
  Host(ControlWorld& world, Switchboard& board, EventLog& events,
       const HostId& id, Incarnation incarnation, UsageLedgerOptions options)
      : gate(world),
        clock(world, gate),
        store(world, gate),
        peers(world, gate, board, id, incarnation),
        ledger(id, incarnation, options),
        service(world.io.get_executor(), clock, store, peers, events, ledger,
                id, incarnation, {}) {
    service.Start();
  }
  Gate gate;
  SimulatedClock clock;
  FakeTableStore store;
  FakePeers peers;
  UsageLedger ledger;
  UsageService service;
  bool is_open = false;
};

enum class Admission { kReserved, kUnreserved };

class FaultSchedule {
 public:
  static constexpr int kHosts = 4;

  explicit FaultSchedule(std::uint64_t seed, UsageLedgerOptions usage = {})
      : world(seed), usage_options(usage) {
    EventLog::Options options;
    options.file = "/dev/null";
    events = EventLog::Open(options).value();
    for (int i = 0; i < kHosts; ++i) StartHost(i);
    ShowTrueViews();
  }

  void StartHost(int index) {
    const HostId id("host-" + std::to_string(index));
    running.resize(kHosts);
    hosts.push_back(std::make_unique<Host>(
        world, board, *events, id, Incarnation(++incarnations), usage_options));
    running[index] = hosts.back().get();
    asio::co_spawn(
        world.io,
        [](ControlWorld& at, Host* host) -> asio::awaitable<void> {
          const auto opened =
              co_await host->service.Open(at.now + std::chrono::hours(1));
          host->is_open = opened.has_value();
        }(world, running[index]),
        asio::detached);
  }
  void KillHost(int index) {
    running[index]->gate.state = Gate::State::kDead;
    running[index]->is_open = false;
    StartHost(index);
    ShowTrueViews();
  }
  // Stops a host gracefully and then starts a new incarnation.
  void StopHost(int index) {
    Host* host = running[index];
    if (!host->is_open || host->gate.state != Gate::State::kRunning) return;
    host->is_open = false;
    asio::co_spawn(
        world.io,
        [](FaultSchedule* self, Host* stopping,
           int at) -> asio::awaitable<void> {
          const auto flushed = co_await stopping->service.Flush(
              self->world.now + std::chrono::seconds(5));
          if (!flushed) ++self->failed_flushes;
          stopping->gate.state = Gate::State::kDead;
          self->StartHost(at);
          self->ShowTrueViews();
        }(this, host, index),
        asio::detached);
  }
  void ShowTrueViews() {
    for (int i = 0; i < kHosts; ++i) {
      std::vector<Member> view;
      for (int j = 0; j < kHosts; ++j) {
        if (j != i && running[j]->peers.is_running())
          view.push_back({HostId("host-" + std::to_string(j)), ZoneId("a"),
                          running[j]->peers.incarnation()});
      }
      running[i]->peers.SetView(std::move(view));
    }
  }
  void ShowWrongView(int index) {
    std::vector<Member> view = running[index]->peers.members();
    std::erase_if(view, [this](const Member&) { return world.Chance(40); });
    running[index]->peers.SetView(std::move(view));
  }
  void PauseHost(int index, Duration length) {
    Host* host = running[index];
    if (host->gate.state != Gate::State::kRunning) return;
    host->gate.state = Gate::State::kPaused;
    world.At(world.now + length, [host] {
      if (host->gate.state == Gate::State::kPaused) host->gate.Resume();
    });
  }

  void RecordRandomRequest(Admission admission) {
    const UsageKey key{ClientAccountId("p" + std::to_string(world.Pick(3))),
                       ServiceId("s" + std::to_string(world.Pick(2)))};
    Host& host = *running[world.Pick(kHosts)];
    if (!host.is_open || host.gate.state != Gate::State::kRunning) return;
    const Month month = MonthOf(host.clock.Wall());
    if (admission == Admission::kReserved &&
        !host.ledger.TryAdmit(key.client_account, key.service, month)) {
      ++refused;
      return;
    }
    host.ledger.Record(key.client_account, key.service, month);
    ++true_use[key];
  }

  // Builds a report on a host and checks its bounds.
  asio::awaitable<void> CheckReport(Host* host) {
    const TrueUse before = true_use;
    const auto report =
        co_await host->service.Report(MonthOf(host->clock.Wall()), {});
    if (!report) co_return;
    ++reports;
    last_report = report.value();
    const std::string report_violation =
        FindViolation(report.value(), before, true_use);
    if (!report_violation.empty() && violation.empty())
      violation = report_violation;
  }
  void StartReport() {
    Host* host = running[world.Pick(kHosts)];
    if (host->is_open)
      asio::co_spawn(world.io, CheckReport(host), asio::detached);
  }

  enum class Faults { kOutagesAndStops, kKills, kAll };

  void RunRandomFaults(Faults faults, Admission admission) {
    world.Run(world.now + std::chrono::seconds(2));
    for (int step = 0; step < 600; ++step) {
      world.lost_percent = 10;
      world.stale_percent = 30;
      world.slow_percent = 10;
      world.drop_percent = faults == Faults::kAll ? 5 : 0;
      const int max_requests = admission == Admission::kUnreserved ? 300 : 30;
      for (int i = world.Pick(max_requests); i > 0; --i)
        RecordRandomRequest(admission);
      switch (world.Pick(80)) {
        case 0:
        case 1:
          world.is_store_down = faults != Faults::kKills;
          break;
        case 2:
          if (faults != Faults::kKills) StopHost(world.Pick(kHosts));
          break;
        case 3:
          if (faults != Faults::kOutagesAndStops) KillHost(world.Pick(kHosts));
          break;
        case 4:
          if (faults == Faults::kAll)
            PauseHost(world.Pick(kHosts), milliseconds(world.Pick(15000)));
          break;
        case 5:
          if (faults == Faults::kAll) ShowWrongView(world.Pick(kHosts));
          break;
        case 6:
          ShowTrueViews();
          break;
        case 7:
        case 8:
        case 9:
          StartReport();
          break;
        default:
          world.is_store_down = world.is_store_down && !world.Chance(2);
      }
      world.Run(world.now + milliseconds(100));
    }
    world.is_store_down = false;
    world.lost_percent = world.drop_percent = world.slow_percent = 0;
    ShowTrueViews();
    world.Run(world.now + std::chrono::seconds(40));
  }
  // Restarts all hosts twice so that their usage is written, then builds and
  // checks a report.
  void CheckFinalReport() {
    for (int i = 0; i < kHosts; ++i) StopHost(i);
    world.Run(world.now + std::chrono::seconds(20));
    for (int i = 0; i < kHosts; ++i) StopHost(i);
    world.Run(world.now + std::chrono::seconds(20));
    last_report.reset();
    asio::co_spawn(world.io, CheckReport(running[0]), asio::detached);
    world.Run(world.now + std::chrono::seconds(20));
  }

  std::unique_ptr<EventLog> events;
  ControlWorld world;
  UsageLedgerOptions usage_options;
  Switchboard board;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Host*> running;
  TrueUse true_use;
  std::string violation;
  std::optional<UsageReport> last_report;
  int reports = 0;
  int refused = 0;
  int failed_flushes = 0;
  std::uint64_t incarnations = 100;
};

// Guards against a bounds check that accepts every report.
TEST_CASE("The bounds check detects each kind of violation") {
  const UsageKey key{ClientAccountId("p"), ServiceId("s")};
  UsageRow row{Month(24312), HostId("h"), Incarnation(1),
               UsageRowState::kAdopted};
  row.use[key] = {10, 20};
  const TableRow stored{row.key(), 1, row.Encode()};
  const UsageReport report =
      UsageReport::Build(row.month, {&stored, 1}, {}, {}).value();
  CHECK(FindViolation(report, {{key, 10}}, {{key, 20}}).empty());
  CHECK(!FindViolation(report, {{key, 21}}, {{key, 21}}).empty());
  CHECK(!FindViolation(report, {{key, 9}}, {{key, 9}}).empty());
  CHECK(!FindViolation(report, {{{ClientAccountId("q"), ServiceId("s")}, 1}},
                       {{key, 10}})
             .empty());
}

// Guards against reports whose bounds exclude the true use after killed and
// paused hosts, store outages, lost and late writes, stale reads and wrong
// membership views.
TEST_CASE("True use stays within the report's bounds under random faults") {
  int reports = 0;
  int unbounded = 0;
  std::uint64_t use = 0;
  std::uint64_t refused = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FaultSchedule schedule(seed);
    schedule.RunRandomFaults(FaultSchedule::Faults::kAll, Admission::kReserved);
    schedule.CheckFinalReport();
    INFO("seed " << seed);
    CHECK(schedule.violation == "");
    REQUIRE(schedule.last_report);
    for (const UsageReportLine& line : schedule.last_report->lines())
      unbounded += line.high ? 0 : 1;
    reports += schedule.reports;
    refused += static_cast<std::uint64_t>(schedule.refused);
    for (const auto& [key, count] : schedule.true_use) use += count;
  }
  MESSAGE("reports " << reports << ", charged " << use << ", refused "
                     << refused << ", final lines unbounded " << unbounded);
  CHECK(reports > 100);
  CHECK(use > 50000);
}

// Guards against requests that are counted twice or not at all although no host
// was killed.
TEST_CASE("Reported use is exact when all hosts stop gracefully") {
  int failed_flushes = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FaultSchedule schedule(seed);
    schedule.RunRandomFaults(FaultSchedule::Faults::kOutagesAndStops,
                             Admission::kReserved);
    schedule.CheckFinalReport();
    INFO("seed " << seed);
    CHECK(schedule.violation == "");
    REQUIRE(schedule.last_report);
    failed_flushes += schedule.failed_flushes;
    if (schedule.failed_flushes > 0) continue;
    for (const UsageReportLine& line : schedule.last_report->lines()) {
      const std::uint64_t use = schedule.true_use[line.key];
      CHECK(line.low == use);
      // The running hosts still have a reservation of up to 64 requests each.
      CHECK(line.high.value_or(0) <=
            use + std::uint64_t{64} * FaultSchedule::kHosts);
    }
  }
  MESSAGE("stops that could not flush " << failed_flushes);
}

// Guards against schedules that cannot reveal a missing reservation check.
TEST_CASE("Use without reservations leaves the bounds in some schedule") {
  int violations = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    // Small reservations, which the recorded use exceeds soon.
    FaultSchedule schedule(seed, {4, 0});
    schedule.RunRandomFaults(FaultSchedule::Faults::kKills,
                             Admission::kUnreserved);
    schedule.CheckFinalReport();
    if (!schedule.violation.empty()) ++violations;
  }
  CHECK(violations > 0);
}

// Guards against a month that is closed twice with different contents, and
// against corrections that omit rows written after the close.
TEST_CASE("A closed month keeps its snapshot and reports late rows") {
  FaultSchedule schedule(1);
  FakeSnapshotStore snapshots;
  schedule.world.Run(schedule.world.now + std::chrono::seconds(2));
  for (int i = 0; i < 50; ++i)
    schedule.RecordRandomRequest(Admission::kReserved);
  const Month month = MonthOf(schedule.running[0]->clock.Wall());
  schedule.world.now += std::chrono::hours(24 * 40);
  schedule.world.Run(schedule.world.now + std::chrono::seconds(10));
  std::optional<Result<UsageReport>> closed;
  std::optional<Result<UsageReport>> again;
  std::optional<Result<UsageReport>> tampered;
  std::optional<Result<std::vector<UsageReportLine>>> corrections;
  asio::co_spawn(
      schedule.world.io,
      [&]() -> asio::awaitable<void> {
        UsageService& service = schedule.running[0]->service;
        closed = co_await service.CloseMonth(month, {}, snapshots);
        again = co_await schedule.running[1]->service.CloseMonth(month, {},
                                                                 snapshots);
        UsageRow late{month, HostId("late"), Incarnation(1),
                      UsageRowState::kClosed};
        late.use[{ClientAccountId("p0"), ServiceId("s0")}] = {5, 5};
        TableTransaction commit;
        commit.puts.push_back({late.key(), late.Encode()});
        schedule.world.Apply(commit);
        corrections = co_await service.Corrections(month, {}, snapshots);
        snapshots.objects.begin()->second += " ";
        tampered = co_await service.Verify(month, snapshots);
      },
      asio::detached);
  schedule.world.Run(schedule.world.now + std::chrono::seconds(20));
  REQUIRE(closed);
  REQUIRE(closed->has_value());
  CHECK(FindViolation(closed->value(), schedule.true_use, schedule.true_use) ==
        "");
  CHECK(closed->value().is_exact());
  REQUIRE(again->has_value());
  CHECK(again->value().EncodeSnapshot() == closed->value().EncodeSnapshot());
  REQUIRE(corrections->has_value());
  CHECK(corrections->value().size() == 1);
  CHECK(!tampered->has_value());
}

}  // namespace
}  // namespace dogwood
