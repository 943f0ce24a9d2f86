#include <doctest/doctest.h>

#include <map>
#include <set>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  ServerTable table{kPalermo};
  ServerTable::Random random{11};

  std::string Choose(TimePoint now, PlacementQuery query = MakeQuery(),
                     bool is_cold_use_allowed = false) {
    const auto chosen = table.Choose(
        query, [&](const ServerState&) { return is_cold_use_allowed; }, random,
        now);
    return chosen ? table.Find(chosen->server)->entry.id.value() : "none";
  }
};

TEST_CASE("A slowed server gets no requests while others have free slots") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("slow"), MakeServer("usual")}, kStart);
  ReportIdle(fixture.table, "slow", kStart, 7);
  ReportIdle(fixture.table, "usual", kStart);
  for (int i = 0; i < 50; ++i) CHECK(fixture.Choose(kStart) == "usual");
}

// Guards against decisions on a report that no longer reflects the load.
TEST_CASE("The weight of a load report decays with its age") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("slow"), MakeServer("usual")}, kStart);
  ReportIdle(fixture.table, "slow", kStart, 7);
  const TimePoint later = kStart + 5s;
  ReportIdle(fixture.table, "usual", later, 3);
  CHECK(fixture.Choose(later) == "slow");
}

TEST_CASE("No server gets more requests than it has slots") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a"), MakeServer("b")}, kStart);
  std::map<std::string, int> sent;
  for (int i = 0; i < 40; ++i) {
    const std::string server = fixture.Choose(kStart);
    if (server == "none") break;
    fixture.table.OnSent(KeyOf(ServerId(server)), kStart);
    ++sent[server];
  }
  CHECK(sent["a"] == 6);
  CHECK(sent["b"] == 6);
}

// Guards against servers that are loaded beyond the knee of their latency
// curve.
TEST_CASE("Servers of a service with a knee are filled only up to it") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a")}, kStart);
  const ServerKey key = KeyOf(ServerId("a"));
  for (int i = 0; i < 100; ++i) {
    fixture.table.OnWorkRatio(key, 1.0, false);
    fixture.table.OnWorkRatio(key, 1.7, true);
  }
  int sent = 0;
  while (sent < 10 && fixture.Choose(kStart) == "a") {
    fixture.table.OnSent(key, kStart);
    ++sent;
  }
  CHECK(sent == 4);
}

TEST_CASE("Draining, evacuated and misdirected servers get no requests") {
  Fixture fixture;
  ServerEntry draining = MakeServer("draining");
  draining.phase = ServerPhase::kDraining;
  fixture.table.Replace(
      {draining, MakeServer("evacuated", kCatania), MakeServer("misdirected")},
      kStart);
  fixture.table.SetEvacuated({kCatania}, kStart);
  fixture.table.OnMisdirected(KeyOf(ServerId("misdirected")));
  CHECK(fixture.Choose(kStart) == "none");
}

// Guards against full load on servers that became cold while their zone was
// evacuated.
TEST_CASE("Servers need a health check after the evacuation of their zone") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a", kCatania)}, kStart);
  ReportIdle(fixture.table, "a", kStart);
  fixture.table.SetEvacuated({kCatania}, kStart);
  fixture.table.SetEvacuated({}, kStart + 5s);
  CHECK(fixture.Choose(kStart + 5s) == "none");
  ReportIdle(fixture.table, "a", kStart + 6s);
  CHECK(fixture.Choose(kStart + 6s) == "a");
}

// Guards against full load on a flapping server, which is cold when it becomes
// reachable again.
TEST_CASE("A server that was unreachable needs a health check") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a")}, kStart);
  const ServerKey key = KeyOf(ServerId("a"));
  ReportIdle(fixture.table, "a", kStart);
  fixture.table.OnUnreachable(key, kStart + 1s);
  CHECK(fixture.Choose(kStart + 60s) == "none");
  SUBCASE("the response to an earlier request is not sufficient") {
    fixture.table.OnReport(key, ReportSource::kAnswer, {0, 1}, {}, kStart + 2s);
    CHECK(fixture.Choose(kStart + 2s) == "none");
  }
  SUBCASE("an older observation of another host is not sufficient") {
    ServerObservation seen{key};
    seen.age = 2s;
    fixture.table.Merge(seen, kStart + 2s);
    CHECK(fixture.Choose(kStart + 2s) == "none");
  }
  SUBCASE("a newer observation of another host is sufficient") {
    ServerObservation seen{key};
    seen.age = 100ms;
    fixture.table.Merge(seen, kStart + 2s);
    CHECK(fixture.Choose(kStart + 2s) == "a");
  }
}

// Guards against more requests to a cold server than it can handle.
TEST_CASE(
    "A cold server gets its cold rate from one host and none from others") {
  Fixture fixture;
  ServerEntry entry = MakeServer("a");
  entry.cold_left = 3s;
  fixture.table.Replace({entry}, kStart);
  fixture.table.SetColdRate(kTracking, 7.4);
  CHECK(fixture.Choose(kStart) == "none");
  int sent = 0;
  for (TimePoint now = kStart; now < kStart + 2s; now += 5ms) {
    if (fixture.Choose(now, MakeQuery(), true) != "a") continue;
    fixture.table.OnSent(KeyOf(ServerId("a")), now);
    fixture.table.OnEnded(KeyOf(ServerId("a")), AttemptOutcome::kServed, now);
    ++sent;
  }
  CHECK(sent >= 13);
  CHECK(sent <= 15);
  CHECK(fixture.Choose(kStart + 4s) == "a");
}

// Guards against stale state of a server that restarted with the same id.
TEST_CASE("A restart of a server resets its load") {
  Fixture fixture;
  ServerEntry entry = MakeServer("a");
  fixture.table.Replace({entry}, kStart);
  const ServerKey key = KeyOf(ServerId("a"));
  for (int i = 0; i < 6; ++i) fixture.table.OnSent(key, kStart);
  CHECK(fixture.Choose(kStart) == "none");
  entry.started_at_ms = 2;
  fixture.table.Replace({entry}, kStart + 1s);
  CHECK(fixture.Choose(kStart + 1s) == "a");
}

TEST_CASE("A server that fails many requests is avoided and retried later") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("grey"), MakeServer("sound")}, kStart);
  const ServerKey grey = KeyOf(ServerId("grey"));
  for (int i = 0; i < 8; ++i) {
    fixture.table.OnSent(grey, kStart);
    fixture.table.OnEnded(grey, AttemptOutcome::kFailed, kStart);
  }
  std::map<std::string, int> early;
  std::map<std::string, int> late;
  for (int i = 0; i < 200; ++i) {
    ++early[fixture.Choose(kStart + 100ms)];
    ++late[fixture.Choose(kStart + 60s)];
  }
  CHECK(early["grey"] == 0);
  CHECK(late["grey"] > 50);
}

// Guards against cross-zone traffic that does not reduce latency.
TEST_CASE("Requests stay in their zone unless another one is clearly faster") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("near"), MakeServer("far", kCatania)},
                        kStart);
  ReportIdle(fixture.table, "near", kStart, 1.3);
  ReportIdle(fixture.table, "far", kStart);
  for (int i = 0; i < 50; ++i) CHECK(fixture.Choose(kStart) == "near");
  ReportIdle(fixture.table, "near", kStart, 7);
  CHECK(fixture.Choose(kStart) == "far");
  PlacementQuery upload = MakeQuery();
  upload.usual_work = 60ms;
  upload.body_bytes = 60000;
  CHECK(fixture.Choose(kStart, upload) == "near");
}

// Guards against servers whose changes are never gossiped, so that other hosts
// keep sending requests to one that crashed.
TEST_CASE("All changed servers are gossiped in turn, unusable ones first") {
  constexpr int kServerCount = 10;
  Fixture fixture;
  std::vector<ServerEntry> entries;
  entries.reserve(kServerCount);
  for (int i = 0; i < kServerCount; ++i)
    entries.push_back(MakeServer("server-" + std::to_string(i)));
  fixture.table.Replace(entries, kStart);
  std::set<ServerKey> published;
  for (int round = 0; round < 4; ++round) {
    const TimePoint now = kStart + round * 300ms;
    for (const ServerEntry& entry : entries)
      ReportIdle(fixture.table, entry.id.value(), now);
    for (const auto& news : fixture.table.TakeNews(3, now))
      published.insert(news.server);
  }
  CHECK(published.size() == kServerCount);
  const ServerKey crashed = KeyOf(ServerId("server-4"));
  for (const ServerEntry& entry : entries)
    ReportIdle(fixture.table, entry.id.value(), kStart + 2s);
  fixture.table.OnUnreachable(crashed, kStart + 2s);
  const auto news = fixture.table.TakeNews(1, kStart + 2s);
  REQUIRE(news.size() == 1);
  CHECK(news[0].server == crashed);
}

// Guards against the repeated loss of uploads at a server of the own zone that
// resets part of its connections (incident 54e8).
TEST_CASE(
    "A request that must not be retried leaves a zone whose server fails") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("near"), MakeServer("far", kCatania)},
                        kStart);
  ReportIdle(fixture.table, "near", kStart);
  ReportIdle(fixture.table, "far", kStart);
  for (int i = 0; i < 12; ++i) {
    const bool fails = i % 2 == 1;
    fixture.table.OnEnded(
        KeyOf(ServerId("near")),
        fails ? AttemptOutcome::kLost : AttemptOutcome::kServed, kStart);
  }
  PlacementQuery upload = MakeQuery();
  upload.body_bytes = 60000;
  CHECK(fixture.Choose(kStart, upload) == "near");
  upload.repeatability = Repeatability::kOnce;
  CHECK(fixture.Choose(kStart, upload) == "far");
}

}  // namespace
}  // namespace dogwood
