#include <doctest/doctest.h>

#include "Tests/Services/Entry/settings_fleet_fixture.h"

namespace dogwood {
namespace {

using Outcome = SettingsHistory::Outcome;
using CommitFault = MemoryTableStore::CommitFault;

void CheckNoViolations(const SettingsFleetFixture& fleet) {
  for (const std::string& violation : fleet.FindViolations())
    FAIL_CHECK(violation);
}

// A fleet with two availability zones and one backend server.
void SetUpFleet(SettingsFleetFixture& fleet) {
  fleet.StartAll();
  fleet.SubmitAndRun(0, "z1", "zones.palermo.limit", 0);
  fleet.SubmitAndRun(0, "z2", "zones.catania.limit", 0);
  fleet.SubmitAndRun(0, "s1", "services.tracking.servers.t1",
                     {{"address", "127.0.0.1:7001"}, {"zone", "palermo"}});
  fleet.network.DeliverBroadcasts();
  fleet.RunAll();
}

// Guards against a lost change and against two changes at the same version.
TEST_CASE("Concurrent changes are each accepted exactly once or refused") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    SettingsFleetFixture fleet(4, seed);
    fleet.StartAll();
    for (int i = 0; i < 20; ++i) {
      const std::string key = i % 2 == 0 ? "queue_limit" : "cold_limit";
      fleet.Submit(i % 4, "op" + std::to_string(i), "default." + key, i + 1);
      if (i % 5 == 0) fleet.RunAll();
    }
    fleet.Converge();
    CheckNoViolations(fleet);
    CHECK(fleet.service(0).change_log().version() > SettingsVersion(0));
  }
}

TEST_CASE("A conflict reports both values and keeps the accepted change") {
  SettingsFleetFixture fleet(2);
  fleet.StartAll();
  fleet.SubmitAndRun(0, "a", "default.queue_limit", 1);
  // Host 1 has not received that change and bases its own on version 0.
  std::optional<Result<ChangeOutcome>> outcome;
  boost::asio::co_spawn(
      fleet.context,
      [&]() -> boost::asio::awaitable<void> {
        SettingsChangeRequest request{
            OperationId("b"), "default.queue_limit", 2, "", {}};
        outcome.emplace(co_await fleet.service(1).Submit(std::move(request)));
      },
      boost::asio::detached);
  fleet.RunAll();
  REQUIRE(outcome);
  REQUIRE(outcome->has_value());
  const auto* conflict = std::get_if<ChangeConflict>(&outcome->value());
  REQUIRE(conflict != nullptr);
  CHECK(conflict->current == 1);
  CHECK(conflict->wanted == 2);
  CHECK(conflict->version == SettingsVersion(1));
}

// Guards against a retried commit that applies twice and against a response
// that contradicts the store.
TEST_CASE("A lost response is resolved whether or not the commit took effect") {
  for (const CommitFault commit_fault :
       {CommitFault::kResponseLostAfterCommit,
        CommitFault::kResponseLostWithoutCommit,
        CommitFault::kResponseLostDelayedCommit}) {
    for (const auto stale :
         {std::chrono::seconds(0), std::chrono::seconds(1)}) {
      SettingsFleetFixture fleet(2);
      fleet.StartAll();
      fleet.store.memory.next_commit_fault = commit_fault;
      fleet.store.memory.read_staleness = stale;
      const auto first = fleet.SubmitAndRun(0, "a", "default.queue_limit", 1);
      CHECK(first.outcome == Outcome::kAccepted);
      fleet.store.memory.ApplyDelayedCommits();
      const auto repeated =
          fleet.SubmitAndRun(1, "a", "default.queue_limit", 1);
      CHECK(repeated.outcome == Outcome::kAccepted);
      CHECK(repeated.version == 1);
      fleet.Converge();
      CheckNoViolations(fleet);
    }
  }
}

// Guards against a change that is reported as refused although it took effect.
TEST_CASE("A commit response lost before an outage is unknown until a retry") {
  SettingsFleetFixture fleet(1);
  fleet.StartAll();
  fleet.store.memory.next_commit_fault =
      CommitFault::kResponseLostDelayedCommit;
  fleet.Submit(0, "a", "default.queue_limit", 1);
  while (fleet.store.memory.delayed_commits.empty()) {
    fleet.context.restart();
    fleet.context.poll_one();
  }
  fleet.store.memory.is_down = true;
  fleet.RunAll();
  CHECK(fleet.history.operations[0].outcome == Outcome::kUnknown);
  fleet.store.memory.ApplyDelayedCommits();
  fleet.store.memory.is_down = false;
  CHECK(fleet.SubmitAndRun(0, "a", "default.queue_limit", 1).version == 1);
  fleet.Converge();
  CheckNoViolations(fleet);
}

TEST_CASE(
    "Without the store only emergency orders are accepted provisionally") {
  SettingsFleetFixture fleet(3);
  SetUpFleet(fleet);
  fleet.store.memory.is_down = true;
  CHECK(fleet.SubmitAndRun(0, "a", "default.queue_limit", 1).outcome ==
        Outcome::kRefused);
  CHECK(fleet.SubmitAndRun(1, "o", "zones.palermo.state", "out").outcome ==
        Outcome::kProvisional);
  CHECK(
      fleet
          .SubmitAndRun(2, "p", "services.tracking.servers.t1.state", "leaving")
          .outcome == Outcome::kProvisional);
  fleet.network.DeliverBroadcasts();
  fleet.RunAll();
  for (const auto& host : fleet.hosts) {
    CHECK(host->published->zones.at(ZoneId("palermo")).operational_state ==
          OperationalState::kOutOfService);
    CHECK(host->published->services.at(ServiceId("tracking"))
              .servers.at(ServerId("t1"))
              .operational_state == OperationalState::kOutOfService);
  }
  fleet.Converge();
  CheckNoViolations(fleet);
  CHECK(fleet.service(0).change_log().VersionOf(OperationId("o")));
  CHECK(fleet.service(0).change_log().VersionOf(OperationId("p")));
}

// Guards against an old order that overrides a later change.
TEST_CASE("A later change supersedes an order and records it as superseded") {
  SettingsFleetFixture fleet(2);
  SetUpFleet(fleet);
  fleet.network.SetPartition(HostId("h1"), 1);
  fleet.store.memory.is_down = true;
  CHECK(fleet.SubmitAndRun(1, "o", "zones.palermo.state", "out").outcome ==
        Outcome::kProvisional);
  fleet.store.memory.is_down = false;
  CHECK(fleet.SubmitAndRun(0, "c", "zones.palermo.state", "in").outcome ==
        Outcome::kAccepted);
  fleet.Converge();
  CheckNoViolations(fleet);
  CHECK(fleet.service(1).change_log().superseded().contains(OperationId("o")));
  CHECK(fleet.service(0).change_log().EffectiveTree().At(
            "zones.palermo.state") == "in");
}

TEST_CASE(
    "After a partition heals, the higher-ranked order wins on every host") {
  SettingsFleetFixture fleet(4);
  SetUpFleet(fleet);
  fleet.store.memory.is_down = true;
  fleet.network.SetPartition(HostId("h2"), 1);
  fleet.network.SetPartition(HostId("h3"), 1);
  fleet.SubmitAndRun(0, "a-out", "zones.palermo.state", "out");
  fleet.SubmitAndRun(2, "b-in", "zones.palermo.state", "in");
  fleet.network.DeliverBroadcasts();
  fleet.RunAll();
  CHECK(fleet.service(1).change_log().EffectiveTree().At(
            "zones.palermo.state") == "out");
  CHECK(fleet.service(3).change_log().EffectiveTree().At(
            "zones.palermo.state") == "in");
  fleet.network.HealPartitions();
  fleet.ExchangeAllPings();
  for (int i = 0; i < 4; ++i) {
    CHECK(fleet.service(i).change_log().EffectiveTree().At(
              "zones.palermo.state") == "in");
  }
  fleet.Converge();
  CheckNoViolations(fleet);
}

// Guards against requests served with outdated settings.
TEST_CASE("A starting host without store and peers is not ready") {
  SettingsFleetFixture fleet(3);
  SetUpFleet(fleet);
  fleet.store.memory.is_down = true;
  fleet.network.SetPartition(HostId("h2"), 1);
  fleet.RestartHost(2);
  fleet.Start(2);
  CHECK(!fleet.service(2).is_ready());
  CHECK(fleet.hosts[2]->published == nullptr);
  CHECK(fleet.SubmitAndRun(2, "a", "zones.palermo.state", "out").outcome ==
        Outcome::kRefused);
  fleet.network.HealPartitions();
  fleet.Start(2);
  CHECK(fleet.service(2).is_ready());
  CHECK(fleet.service(2).change_log().version() == SettingsVersion(3));
}

TEST_CASE("A starting host loads the highest version of store and peers") {
  SettingsFleetFixture fleet(3);
  SetUpFleet(fleet);
  fleet.store.memory.now += std::chrono::seconds(10);
  fleet.SubmitAndRun(0, "a", "default.queue_limit", 1);
  fleet.network.DropPendingBroadcasts();
  fleet.store.memory.read_staleness = std::chrono::seconds(5);
  fleet.RestartHost(2);
  fleet.Start(2);
  CHECK(fleet.service(2).change_log().version() == SettingsVersion(4));
  // A stale head does not lower the version.
  fleet.Poll(2);
  CHECK(fleet.service(2).change_log().version() == SettingsVersion(4));
}

// Guards against a start that replays the whole chain or misses part of it.
TEST_CASE("A host that starts from a snapshot has the complete tree") {
  SettingsFleetFixture fleet(2);
  fleet.network.SetPartition(HostId("h1"), 1);
  fleet.StartAll();
  for (int i = 1; i <= 600; ++i)
    fleet.SubmitAndRun(0, "op" + std::to_string(i), "default.queue_limit", i);
  fleet.network.DropPendingBroadcasts();
  fleet.RestartHost(1);
  const std::uint64_t reads = fleet.store.memory.read_count;
  fleet.Start(1);
  CHECK(fleet.store.memory.read_count - reads <= 3);
  CHECK(fleet.service(1).change_log().changes().size() == 600 - 512);
  CHECK(fleet.SubmitAndRun(1, "op5", "default.queue_limit", 5).version == 5);
  fleet.Converge();
  CheckNoViolations(fleet);
}

TEST_CASE("The fleet's poll rate does not grow with the number of hosts") {
  SettingsFleetFixture fleet(5);
  CHECK(fleet.service(0).current_poll_interval() ==
        std::chrono::milliseconds(2500));
}

TEST_CASE("The state of an operation lists the hosts that lack it") {
  SettingsFleetFixture fleet(3);
  fleet.StartAll();
  fleet.network.SetPartition(HostId("h2"), 1);
  fleet.SubmitAndRun(0, "a", "default.queue_limit", 1);
  fleet.network.DeliverBroadcasts();
  fleet.RunAll();
  OperationState state;
  const auto read = [&] {
    boost::asio::co_spawn(
        fleet.context,
        [&]() -> boost::asio::awaitable<void> {
          OperationId id("a");
          state = co_await fleet.service(0).ReadOperationState(std::move(id));
        },
        boost::asio::detached);
    fleet.RunAll();
  };
  read();
  CHECK(state.kind == OperationState::Kind::kAccepted);
  REQUIRE(state.lacking_hosts.size() == 1);
  CHECK(state.lacking_hosts[0] == HostId("h2"));
  fleet.Converge();
  read();
  CHECK(state.lacking_hosts.empty());
}

// Runs a seeded schedule of changes, outages, lost responses, stale reads,
// partitions and restarts.
void RunRandomFaults(SettingsFleetFixture& fleet, unsigned seed) {
  std::minstd_rand random(seed);
  const auto below = [&](unsigned bound) {
    return static_cast<int>(random() / 7 % bound);
  };
  SetUpFleet(fleet);
  MemoryTableStore& store = fleet.store.memory;
  constexpr int kSteps = 120;
  for (int step = 0; step < kSteps; ++step) {
    store.now += std::chrono::milliseconds(100);
    const int host = below(4);
    const std::string id = "r" + std::to_string(step);
    switch (below(14)) {
      case 0:
      case 1:
      case 2:
        fleet.Submit(host, id, "default.queue_limit", step);
        fleet.Submit(below(4), id + "b", "default.queue_limit", step + 1000);
        break;
      case 3:
        fleet.Submit(host, id, "zones.palermo.state",
                     below(2) == 0 ? "in" : "out");
        break;
      case 4:
        fleet.Submit(host, id, "services.tracking.servers.t1.state",
                     below(2) == 0 ? "in" : "leaving");
        break;
      case 5:
        store.is_down = below(2) == 0;
        break;
      case 6:
        store.read_staleness = std::chrono::milliseconds(below(1000));
        break;
      case 7:
      case 8:
        store.next_commit_fault = static_cast<CommitFault>(below(5));
        break;
      case 9:
        fleet.network.SetPartition(fleet.hosts[host]->id, below(2));
        break;
      case 10:
        fleet.network.HealPartitions();
        fleet.network.DeliverBroadcasts();
        break;
      case 11:
        store.ApplyDelayedCommits();
        fleet.Poll(host);
        break;
      case 12:
        fleet.network.Ping(fleet.hosts[host]->id, fleet.hosts[below(4)]->id);
        break;
      default:
        fleet.RunAll();
        // A pending order known only to this host would be lost.
        if (fleet.service(host).change_log().orders().empty()) {
          fleet.RestartHost(host);
          fleet.Start(host);
        }
        break;
    }
    if (below(2) == 0) fleet.RunAll();
  }
  fleet.RunAll();
}

TEST_CASE("Random faults violate no settings invariant") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    SettingsFleetFixture fleet(4, seed);
    RunRandomFaults(fleet, seed);
    fleet.Converge();
    CheckNoViolations(fleet);
  }
}

// Guards against a checker that misses a kind of violation.
TEST_CASE("The history checker reports each kind of violation") {
  SettingsFleetFixture fleet(2);
  SetUpFleet(fleet);
  fleet.SubmitAndRun(0, "a", "default.queue_limit", 1);
  fleet.Converge();
  const auto rows = fleet.store.memory.table.Newest();
  REQUIRE(fleet.history.Check(rows).empty());
  const auto violations = [&](const auto& plant) {
    SettingsHistory history = fleet.history;
    auto planted_rows = rows;
    plant(history, planted_rows);
    return history.Check(planted_rows).size();
  };
  using Rows = std::map<std::string, TableRow>;
  const std::string last = ChangeKey(SettingsVersion(4));
  CHECK(violations([](SettingsHistory& history, Rows&) {
          history.operations.push_back(
              {"lost", "default.cold_limit", 1, Outcome::kAccepted, 4});
        }) == 1);
  CHECK(violations([](SettingsHistory& history, Rows&) {
          history.operations.back().outcome = Outcome::kRefused;
        }) == 1);
  CHECK(violations([](SettingsHistory& history, Rows&) {
          history.operations.back().version = 3;
        }) == 1);
  CHECK(violations([](SettingsHistory& history, Rows&) {
          history.operations.back().value = 2;
        }) == 1);
  CHECK(violations([](SettingsHistory& history, Rows&) {
          history.operations.push_back(
              {"order", "zones.palermo.state", "out", Outcome::kProvisional});
        }) == 1);
  CHECK(violations([](SettingsHistory& history, Rows&) {
          history.host_versions["h0"] = {3, 2};
        }) == 1);
  CHECK(violations([](SettingsHistory& history, Rows&) {
          history.host_versions["h0"] = {9};
        }) == 1);
  CHECK(violations([&](SettingsHistory&, Rows& planted) {
          planted.erase(last);
        }) == 2);
  CHECK(violations([&](SettingsHistory&, Rows& planted) {
          planted.at(last).version = 2;
        }) >= 1);
  CHECK(violations([&](SettingsHistory&, Rows& planted) {
          auto change =
              SettingsChange::FromJson(ParseRowValue(planted.at(last).value))
                  .value();
          change.version = SettingsVersion(5);
          planted[ChangeKey(change.version)] = {ChangeKey(change.version), 1,
                                                change.ToJson().dump()};
          planted.at(kHeadKey).version = 5;
        }) == 1);
}

}  // namespace
}  // namespace dogwood
