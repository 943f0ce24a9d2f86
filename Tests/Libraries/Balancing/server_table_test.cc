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
                     bool may_use_cold = false) {
    const auto chosen = table.Choose(
        query, [&](const ServerState&) { return may_use_cold; }, random, now);
    return chosen ? table.Find(chosen->server)->entry.id.value() : "none";
  }
};

TEST_CASE(
    "A server whose machine is slowed gets no work while others are free") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("slow"), MakeServer("usual")}, kStart);
  ReportIdle(fixture.table, "slow", kStart, 7);
  ReportIdle(fixture.table, "usual", kStart);
  for (int i = 0; i < 50; ++i) CHECK(fixture.Choose(kStart) == "usual");
}

// Guards against trust in a report that is older than the load it tells of.
TEST_CASE("An old report loses its weight") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("slow"), MakeServer("usual")}, kStart);
  ReportIdle(fixture.table, "slow", kStart, 7);
  const TimePoint later = kStart + 5s;
  ReportIdle(fixture.table, "usual", later, 3);
  CHECK(fixture.Choose(later) == "slow");
}

TEST_CASE("No server gets more than its slots") {
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

// Guards against a service with a knee that is driven past it.
TEST_CASE(
    "Servers of a service with a knee get no more than the part below it") {
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

TEST_CASE("Draining, evacuated and misdirected servers get nothing") {
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

// Guards against full load on a zone whose servers turned cold while it was
// evacuated.
TEST_CASE("Servers of a zone that is taken back wait for a health check") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a", kCatania)}, kStart);
  ReportIdle(fixture.table, "a", kStart);
  fixture.table.SetEvacuated({kCatania}, kStart);
  fixture.table.SetEvacuated({}, kStart + 5s);
  CHECK(fixture.Choose(kStart + 5s) == "none");
  ReportIdle(fixture.table, "a", kStart + 6s);
  CHECK(fixture.Choose(kStart + 6s) == "a");
}

// Guards against FAILBACK: a server that flaps comes back cold, and a host that
// only knows that it was away must not fill it.
TEST_CASE("A server that was unreachable waits for a health check") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a")}, kStart);
  const ServerKey key = KeyOf(ServerId("a"));
  ReportIdle(fixture.table, "a", kStart);
  fixture.table.OnUnreachable(key, kStart + 1s);
  CHECK(fixture.Choose(kStart + 60s) == "none");
  SUBCASE("an answer to an earlier request does not show that it is warm") {
    fixture.table.OnReport(key, ReportSource::kAnswer, {0, 1}, {}, kStart + 2s);
    CHECK(fixture.Choose(kStart + 2s) == "none");
  }
  SUBCASE("another host's report from before the absence changes nothing") {
    ServerObservation seen{key};
    seen.age = 2s;
    fixture.table.Merge(seen, kStart + 2s);
    CHECK(fixture.Choose(kStart + 2s) == "none");
  }
  SUBCASE("another host's check does") {
    ServerObservation seen{key};
    seen.age = 100ms;
    fixture.table.Merge(seen, kStart + 2s);
    CHECK(fixture.Choose(kStart + 2s) == "a");
  }
}

// Guards against more requests to a cold server than it bears.
TEST_CASE(
    "A cold server gets its cold rate from one host and nothing from others") {
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

// Guards against what was known of an earlier start: a server may start again
// under its id.
TEST_CASE("A new start of a server forgets the load of the former one") {
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

TEST_CASE(
    "A server that fails many requests is avoided and tried again later") {
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

// Guards against bytes between zones that bring no caller an earlier answer.
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

// Guards against services whose later servers are never told of, so that hosts
// go on sending to one that crashed.
TEST_CASE("News beyond a digest follow, unusable servers come first") {
  constexpr int kServers = 10;
  Fixture fixture;
  std::vector<ServerEntry> entries;
  entries.reserve(kServers);
  for (int i = 0; i < kServers; ++i)
    entries.push_back(MakeServer("server-" + std::to_string(i)));
  fixture.table.Replace(entries, kStart);
  std::set<ServerKey> told;
  for (int round = 0; round < 4; ++round) {
    const TimePoint now = kStart + round * 300ms;
    for (const ServerEntry& entry : entries)
      ReportIdle(fixture.table, entry.id.value(), now);
    for (const auto& news : fixture.table.TakeNews(3, now))
      told.insert(news.server);
  }
  CHECK(told.size() == kServers);
  const ServerKey crashed = KeyOf(ServerId("server-4"));
  for (const ServerEntry& entry : entries)
    ReportIdle(fixture.table, entry.id.value(), kStart + 2s);
  fixture.table.OnUnreachable(crashed, kStart + 2s);
  const auto news = fixture.table.TakeNews(1, kStart + 2s);
  REQUIRE(news.size() == 1);
  CHECK(news[0].server == crashed);
}

// Guards against uploads that are lost one after the other at a server of the
// own zone that resets part of what it accepts (incident 54e8).
TEST_CASE(
    "A request that must not be repeated leaves a zone whose server fails") {
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
