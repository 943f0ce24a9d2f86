#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  ServerTable table{kPalermo};
  ServerTable::Random random{11};

  std::string SelectServer(TimePoint now,
                           ServerSelectionQuery query = MakeQuery(),
                           bool is_cold_use_allowed = false) {
    const auto selected = table.SelectServer(
        query, [&](const BackendServerState&) { return is_cold_use_allowed; },
        random, now);
    return selected ? table.Find(selected->server)->registration.id.value()
                    : "none";
  }
};

TEST_CASE("A slowed server gets no requests while others have free slots") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("slow"), MakeServer("usual")}, kStart);
  ReportIdle(fixture.table, "slow", kStart, 7);
  ReportIdle(fixture.table, "usual", kStart);
  for (int i = 0; i < 50; ++i) CHECK(fixture.SelectServer(kStart) == "usual");
}

// Guards against decisions on a report that no longer reflects the load.
TEST_CASE("The weight of a load report decays with its age") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("slow"), MakeServer("usual")}, kStart);
  ReportIdle(fixture.table, "slow", kStart, 7);
  const TimePoint later = kStart + 5s;
  ReportIdle(fixture.table, "usual", later, 3);
  CHECK(fixture.SelectServer(later) == "slow");
}

// Guards against requests that are run by a server of another service, because
// the lower halves of the hashes of the servers' identifiers are equal
// (review/4).
TEST_CASE("Servers of two services with equal short hashes are kept apart") {
  const ServiceId proofs("proofs");
  Fixture fixture;
  ServerRegistration other = MakeServer("i-00004de7");
  other.service = proofs;
  const std::vector<ServerRegistration> servers = {MakeServer("i-00001fc3"),
                                                   other};
  for (int i = 0; i < 2; ++i) {
    fixture.table.Replace(servers, kStart);
    ReportIdle(fixture.table, "i-00001fc3", kStart);
    ReportIdle(fixture.table, "i-00004de7", kStart);
    CHECK(fixture.SelectServer(kStart) == "i-00001fc3");
    CHECK(fixture.SelectServer(kStart, MakeQuery(proofs)) == "i-00004de7");
  }
}

ServerKey KeyByLength(const ServerId& server) {
  return ServerKey(server.value().size());
}

// Guards against the use of memory that was freed, and against hosts that hold
// different servers for one key.
TEST_CASE("Of servers with equal keys only the smallest identifier is used") {
  ServerTable table(kPalermo, KeyByLength);
  ServerTable::Random random(11);
  const ServiceId proofs("proofs");
  ServerRegistration b = MakeServer("b");
  b.service = proofs;
  std::vector<ServerRegistration> servers = {b, MakeServer("c"),
                                             MakeServer("a"), MakeServer("dd")};
  const auto select = [&](const ServiceId& service) -> std::string {
    const auto selected =
        table.SelectServer(MakeQuery(service), kColdUseAllowed, random, kStart);
    return selected ? table.Find(selected->server)->registration.id.value()
                    : "none";
  };
  for (int i = 0; i < 24; ++i) {
    const std::vector<ServerId> left_out = table.Replace(servers, kStart);
    CHECK(std::set<ServerId>(left_out.begin(), left_out.end()) ==
          std::set<ServerId>{ServerId("b"), ServerId("c")});
    CHECK(table.All().size() == 2);
    CHECK(select(proofs) == "none");
    CHECK(table.Find(ServerKey(1))->registration.id == ServerId("a"));
    std::next_permutation(
        servers.begin(), servers.end(),
        [](const auto& left, const auto& right) { return left.id < right.id; });
  }
  table.Replace({b}, kStart);
  CHECK(select(proofs) == "b");
  CHECK(select(kTracking) == "none");
}

// Hosts of the version with 32-bit keys send and read the lower half of a key.
TEST_CASE("The lower half of a key means the only server that has it") {
  Fixture fixture;
  const ServerKey first = ServerKeyOf(ServerId("i-00001fc3"));
  const ServerKey second = ServerKeyOf(ServerId("i-00004de7"));
  const ServerKey half(static_cast<std::uint32_t>(first.value()));
  REQUIRE(half.value() == static_cast<std::uint32_t>(second.value()));
  REQUIRE(first != second);
  fixture.table.Replace({MakeServer("i-00001fc3")}, kStart);
  CHECK(fixture.table.ResolveKey(half) == first);
  CHECK(fixture.table.ResolveKey(first) == first);
  CHECK(fixture.table.ResolveKey(second) == second);
  CHECK(fixture.table.ResolveKey(ServerKey(7)) == ServerKey(7));
  fixture.table.Replace({MakeServer("i-00001fc3"), MakeServer("i-00004de7")},
                        kStart);
  CHECK(fixture.table.Find(fixture.table.ResolveKey(half)) == nullptr);
  CHECK(fixture.table.ResolveKey(second) == second);
}

TEST_CASE("No server gets more requests than it has slots") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a"), MakeServer("b")}, kStart);
  std::map<std::string, int> sent;
  for (int i = 0; i < 40; ++i) {
    const std::string server = fixture.SelectServer(kStart);
    if (server == "none") break;
    fixture.table.OnSent(ServerKeyOf(ServerId(server)), kStart);
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
  const ServerKey key = ServerKeyOf(ServerId("a"));
  for (int i = 0; i < 100; ++i) {
    fixture.table.OnServiceTimeRatio(key, 1.0, false);
    fixture.table.OnServiceTimeRatio(key, 1.7, true);
  }
  int sent = 0;
  while (sent < 10 && fixture.SelectServer(kStart) == "a") {
    fixture.table.OnSent(key, kStart);
    ++sent;
  }
  CHECK(sent == 4);
}

TEST_CASE("Draining, evacuated and misdirected servers get no requests") {
  Fixture fixture;
  ServerRegistration draining = MakeServer("draining");
  draining.availability = ServerAvailability::kDraining;
  fixture.table.Replace(
      {draining, MakeServer("evacuated", kCatania), MakeServer("misdirected")},
      kStart);
  fixture.table.SetEvacuated({kCatania}, kStart);
  fixture.table.OnMisdirected(ServerKeyOf(ServerId("misdirected")));
  CHECK(fixture.SelectServer(kStart) == "none");
}

// Guards against full load on servers that became cold while their zone was
// evacuated.
TEST_CASE("Servers need a health check after the evacuation of their zone") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a", kCatania)}, kStart);
  ReportIdle(fixture.table, "a", kStart);
  fixture.table.SetEvacuated({kCatania}, kStart);
  fixture.table.SetEvacuated({}, kStart + 5s);
  CHECK(fixture.SelectServer(kStart + 5s) == "none");
  ReportIdle(fixture.table, "a", kStart + 6s);
  CHECK(fixture.SelectServer(kStart + 6s) == "a");
}

// Guards against full load on a flapping server, which is cold when it becomes
// reachable again.
TEST_CASE("A server that was unreachable needs a health check") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a")}, kStart);
  const ServerKey key = ServerKeyOf(ServerId("a"));
  ReportIdle(fixture.table, "a", kStart);
  fixture.table.OnUnreachable(key, kStart + 1s);
  CHECK(fixture.SelectServer(kStart + 60s) == "none");
  SUBCASE("the response to an earlier request is not sufficient") {
    fixture.table.OnReport(key, ReportSource::kResponse, {0, 1}, {},
                           kStart + 2s);
    CHECK(fixture.SelectServer(kStart + 2s) == "none");
  }
  SUBCASE("an older observation of another host is not sufficient") {
    ServerObservation seen{key};
    seen.age = 2s;
    fixture.table.Merge(seen, kStart + 2s);
    CHECK(fixture.SelectServer(kStart + 2s) == "none");
  }
  SUBCASE("a newer observation of another host is sufficient") {
    ServerObservation seen{key};
    seen.age = 100ms;
    fixture.table.Merge(seen, kStart + 2s);
    CHECK(fixture.SelectServer(kStart + 2s) == "a");
  }
}

// Guards against more requests to a cold server than it can handle.
TEST_CASE(
    "A cold server gets its cold rate from one host and none from others") {
  Fixture fixture;
  ServerRegistration registration = MakeServer("a");
  registration.cold_left = 3s;
  fixture.table.Replace({registration}, kStart);
  fixture.table.SetColdRequestRate(kTracking, 7.4);
  CHECK(fixture.SelectServer(kStart) == "none");
  int sent = 0;
  for (TimePoint now = kStart; now < kStart + 2s; now += 5ms) {
    if (fixture.SelectServer(now, MakeQuery(), true) != "a") continue;
    fixture.table.OnSent(ServerKeyOf(ServerId("a")), now);
    fixture.table.OnEnded(ServerKeyOf(ServerId("a")),
                          AttemptOutcome::kSucceeded, now);
    ++sent;
  }
  CHECK(sent >= 13);
  CHECK(sent <= 15);
  CHECK(fixture.SelectServer(kStart + 4s) == "a");
}

// Guards against stale state of a server that restarted with the same id.
TEST_CASE("A restart of a server resets its load") {
  Fixture fixture;
  ServerRegistration registration = MakeServer("a");
  fixture.table.Replace({registration}, kStart);
  const ServerKey key = ServerKeyOf(ServerId("a"));
  for (int i = 0; i < 6; ++i) fixture.table.OnSent(key, kStart);
  CHECK(fixture.SelectServer(kStart) == "none");
  registration.started_at_ms = 2;
  fixture.table.Replace({registration}, kStart + 1s);
  CHECK(fixture.SelectServer(kStart + 1s) == "a");
}

TEST_CASE("A server that fails many requests is avoided and retried later") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("grey"), MakeServer("sound")}, kStart);
  const ServerKey grey = ServerKeyOf(ServerId("grey"));
  for (int i = 0; i < 8; ++i) {
    fixture.table.OnSent(grey, kStart);
    fixture.table.OnEnded(grey, AttemptOutcome::kFailed, kStart);
  }
  std::map<std::string, int> early;
  std::map<std::string, int> late;
  for (int i = 0; i < 200; ++i) {
    ++early[fixture.SelectServer(kStart + 100ms)];
    ++late[fixture.SelectServer(kStart + 60s)];
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
  for (int i = 0; i < 50; ++i) CHECK(fixture.SelectServer(kStart) == "near");
  ReportIdle(fixture.table, "near", kStart, 7);
  CHECK(fixture.SelectServer(kStart) == "far");
  ServerSelectionQuery upload = MakeQuery();
  upload.typical_service_time = 60ms;
  upload.body_bytes = 60000;
  CHECK(fixture.SelectServer(kStart, upload) == "near");
}

// Guards against servers whose changes are never gossiped, so that other hosts
// keep sending requests to one that crashed.
TEST_CASE("All changed servers are gossiped in turn, unusable ones first") {
  constexpr int kServerCount = 10;
  Fixture fixture;
  std::vector<ServerRegistration> registrations;
  registrations.reserve(kServerCount);
  for (int i = 0; i < kServerCount; ++i)
    registrations.push_back(MakeServer("server-" + std::to_string(i)));
  fixture.table.Replace(registrations, kStart);
  std::set<ServerKey> published;
  for (int round = 0; round < 4; ++round) {
    const TimePoint now = kStart + round * 300ms;
    for (const ServerRegistration& registration : registrations)
      ReportIdle(fixture.table, registration.id.value(), now);
    for (const auto& observations :
         fixture.table.TakeUnpublishedObservations(3, now))
      published.insert(observations.server);
  }
  CHECK(published.size() == kServerCount);
  const ServerKey crashed = ServerKeyOf(ServerId("server-4"));
  for (const ServerRegistration& registration : registrations)
    ReportIdle(fixture.table, registration.id.value(), kStart + 2s);
  fixture.table.OnUnreachable(crashed, kStart + 2s);
  const auto observations =
      fixture.table.TakeUnpublishedObservations(1, kStart + 2s);
  REQUIRE(observations.size() == 1);
  CHECK(observations[0].server == crashed);
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
        ServerKeyOf(ServerId("near")),
        fails ? AttemptOutcome::kNoResponse : AttemptOutcome::kSucceeded,
        kStart);
  }
  ServerSelectionQuery upload = MakeQuery();
  upload.body_bytes = 60000;
  CHECK(fixture.SelectServer(kStart, upload) == "near");
  upload.retry_safety = RetrySafety::kNonRetryable;
  CHECK(fixture.SelectServer(kStart, upload) == "far");
}

// Requests that the table selects a server for during `duration`, one try each
// 10 ms, when all of them end at once.
int CountSent(Fixture& fixture, TimePoint start, Duration duration,
              bool is_rate_use_allowed) {
  int count = 0;
  for (TimePoint now = start; now < start + duration; now += 10ms) {
    const std::string server =
        fixture.SelectServer(now, MakeQuery(), is_rate_use_allowed);
    if (server == "none") continue;
    ++count;
    const ServerKey key = ServerKeyOf(ServerId(server));
    fixture.table.OnSent(key, now);
    fixture.table.OnEnded(key, AttemptOutcome::kSucceeded, now);
  }
  return count;
}

// Guards against more requests to a server than it has said that it takes.
TEST_CASE("A limited server gets its limit from one host, none from others") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a")}, kStart);
  const ServerKey key = ServerKeyOf(ServerId("a"));
  ReportIdle(fixture.table, "a", kStart);
  CHECK(CountSent(fixture, kStart, 1s, false) == 100);
  CHECK(fixture.table.OnDirectives(key, {5.0}, ReportSource::kResponse,
                                   kStart + 1s));
  CHECK_FALSE(fixture.table.OnDirectives(key, {5.0}, ReportSource::kResponse,
                                         kStart + 1s));
  CHECK(fixture.table.LimitedServerCount() == 1);
  CHECK(CountSent(fixture, kStart + 1s, 4s, false) == 0);
  const int sent = CountSent(fixture, kStart + 5s, 4s, true);
  CHECK(sent >= 19);
  CHECK(sent <= 22);
  CHECK(fixture.table.OnDirectives(key, {}, ReportSource::kResponse,
                                   kStart + 9s));
  CHECK(CountSent(fixture, kStart + 9s, 1s, false) == 100);
}

// Guards against health checks on top of what a limited server takes.
TEST_CASE("Health checks count towards the limit of a server") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a")}, kStart);
  const ServerKey key = ServerKeyOf(ServerId("a"));
  fixture.table.OnDirectives(key, {5.0}, ReportSource::kResponse, kStart);
  CountSent(fixture, kStart, 1s, true);
  for (int i = 0; i < 10; ++i) fixture.table.OnHealthCheckSent(key);
  CHECK(CountSent(fixture, kStart + 1s, 2s, true) <= 2);
}

// Guards against a limit of zero that keeps a server out for good, or that is
// taken for no limit.
TEST_CASE("A limit of zero stops requests until it ends") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a")}, kStart);
  const ServerKey key = ServerKeyOf(ServerId("a"));
  fixture.table.OnDirectives(key, {0.0}, ReportSource::kResponse, kStart);
  CHECK(CountSent(fixture, kStart, 10s, true) == 0);
  fixture.table.OnDirectives(key, {}, ReportSource::kResponse, kStart + 10s);
  CHECK(CountSent(fixture, kStart + 10s, 1s, true) == 100);
}

// Guards against holding a server that has started again to what an earlier
// process asked for.
TEST_CASE("A server that has started again has no limit") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a")}, kStart);
  fixture.table.OnDirectives(ServerKeyOf(ServerId("a")), {1.0},
                             ReportSource::kResponse, kStart);
  ServerRegistration restarted = MakeServer("a");
  restarted.started_at_ms = 2;
  fixture.table.Replace({restarted}, kStart + 1s);
  CHECK(fixture.table.LimitedServerCount() == 0);
}

// Lets another host report the limit of the server "a" to `here` at 200 ms.
ServerObservation MergeLimitOfOtherHost(Fixture& here) {
  Fixture there;
  for (Fixture* fixture : {&here, &there}) {
    fixture->table.Replace({MakeServer("a")}, kStart);
    ReportIdle(fixture->table, "a", kStart);
  }
  there.table.OnDirectives(ServerKeyOf(ServerId("a")), {5.0},
                           ReportSource::kResponse, kStart + 100ms);
  ReportIdle(there.table, "a", kStart + 100ms);
  const auto news = there.table.TakeUnpublishedObservations(10, kStart + 200ms);
  REQUIRE(news.size() == 1);
  here.table.Merge(news[0], kStart + 200ms);
  return news[0];
}

// Guards against dispatchers of other zones that do not know a limit, and
// against older observations that end it.
TEST_CASE("A limit is merged from other hosts unless it is older") {
  Fixture here;
  const ServerKey key = ServerKeyOf(ServerId("a"));
  const ServerObservation news = MergeLimitOfOtherHost(here);
  CHECK(here.table.LimitedServerCount() == 1);
  here.table.OnDirectives(key, {}, ReportSource::kResponse, kStart + 300ms);
  here.table.Merge(news, kStart + 300ms);
  CHECK(here.table.LimitedServerCount() == 0);
}

// Guards against dispatchers of other zones that send a cold server their full
// load early, because its last load report is old.
TEST_CASE("The age of a load report does not shorten the cold time") {
  Fixture here;
  Fixture there;
  const ServerKey key = ServerKeyOf(ServerId("a"));
  for (Fixture* fixture : {&here, &there}) {
    fixture->table.Replace({MakeServer("a")}, kStart);
    fixture->table.OnReport(key, ReportSource::kHealthCheck, {0, 1}, 3s,
                            kStart);
  }
  there.table.OnReport(key, ReportSource::kHealthCheck, {0, 1}, 2900ms,
                       kStart + 100ms);
  const auto news = there.table.TakeUnpublishedObservations(10, kStart + 1s);
  REQUIRE(news.size() == 1);
  here.table.Merge(news[0], kStart + 1s);
  CHECK(here.table.Find(key)->cold_until == kStart + 3s);
  SUBCASE("nor does a host that does not know of it") {
    Fixture unaware;
    unaware.table.Replace({MakeServer("a")}, kStart);
    ReportIdle(unaware.table, "a", kStart + 1100ms);
    for (const ServerObservation& observation :
         unaware.table.TakeUnpublishedObservations(10, kStart + 1200ms))
      here.table.Merge(observation, kStart + 1200ms);
    CHECK(here.table.Find(key)->cold_until == kStart + 3s);
  }
}

// Guards against a dispatcher that has taken over and ends a limit, which it
// knows only from its predecessor, with its first health check.
TEST_CASE("A limit known from another host outlives a health check") {
  Fixture here;
  const ServerKey key = ServerKeyOf(ServerId("a"));
  MergeLimitOfOtherHost(here);
  here.table.OnDirectives(key, {}, ReportSource::kHealthCheck, kStart + 1s);
  CHECK(here.table.LimitedServerCount() == 1);
  here.table.OnDirectives(key, {}, ReportSource::kHealthCheck, kStart + 3s);
  CHECK(here.table.LimitedServerCount() == 0);
}

// Guards against requests that wait for slots which a limit leaves unused.
TEST_CASE("Occupancy counts only the slots that a limited server can fill") {
  Fixture fixture;
  fixture.table.Replace({MakeServer("a")}, kStart);
  const ServerKey key = ServerKeyOf(ServerId("a"));
  ReportIdle(fixture.table, "a", kStart);
  CHECK(fixture.table.OccupancyOf(kTracking, kStart, 100ms).fast_slots == 6);
  fixture.table.OnDirectives(key, {5.0}, ReportSource::kResponse, kStart);
  CHECK(fixture.table.OccupancyOf(kTracking, kStart, 100ms).fast_slots ==
        doctest::Approx(0.5));
}

ServerDirectives Leaving(std::uint64_t started_at_ms) {
  return {{}, started_at_ms};
}

// Guards against requests to a server that has said that it is leaving, also
// when its entry lapses and returns while the store is down.
TEST_CASE("A leaving server gets nothing until another process has its id") {
  Fixture fixture;
  const ServerKey key = ServerKeyOf(ServerId("a"));
  fixture.table.Replace({MakeServer("a")}, kStart);
  CHECK(fixture.table.OnDirectives(key, Leaving(1), ReportSource::kResponse,
                                   kStart));
  CHECK_FALSE(fixture.table.OnDirectives(key, Leaving(1),
                                         ReportSource::kResponse, kStart));
  CHECK(fixture.SelectServer(kStart) == "none");
  // A response without the field, and an entry that lapses and returns.
  fixture.table.OnDirectives(key, {}, ReportSource::kResponse, kStart + 1s);
  fixture.table.Replace({}, kStart + 2s);
  fixture.table.Replace({MakeServer("a")}, kStart + 3s);
  CHECK(fixture.SelectServer(kStart + 3s) == "none");
  CHECK(fixture.table.is_held_back(key, kStart + 3s));
  ServerRegistration restarted = MakeServer("a");
  restarted.started_at_ms = 2;
  fixture.table.Replace({restarted}, kStart + 4s);
  CHECK(fixture.SelectServer(kStart + 4s) == "a");
  // A late report about the earlier process.
  fixture.table.OnDirectives(key, Leaving(1), ReportSource::kResponse,
                             kStart + 5s);
  CHECK(fixture.SelectServer(kStart + 5s) == "a");
}

TEST_CASE("Other hosts learn that a server is leaving") {
  Fixture here;
  Fixture there;
  const ServerKey key = ServerKeyOf(ServerId("a"));
  for (Fixture* fixture : {&here, &there}) {
    fixture->table.Replace({MakeServer("a")}, kStart);
    ReportIdle(fixture->table, "a", kStart);
  }
  there.table.OnDirectives(key, Leaving(1), ReportSource::kResponse,
                           kStart + 100ms);
  ReportIdle(there.table, "a", kStart + 100ms);
  const auto news = there.table.TakeUnpublishedObservations(10, kStart + 200ms);
  REQUIRE(news.size() == 1);
  here.table.Merge(news[0], kStart + 200ms);
  CHECK(here.SelectServer(kStart + 200ms) == "none");
}

// Guards against requests to a server that wants nothing from this host for a
// time, and against one that is lost for good.
TEST_CASE("A paused server is held back until the end of the pause") {
  Fixture fixture;
  const ServerKey key = ServerKeyOf(ServerId("a"));
  fixture.table.Replace({MakeServer("a"), MakeServer("b")}, kStart);
  fixture.table.OnPause(key, 4s, kStart);
  fixture.table.OnPause(key, 1s, kStart + 1s);
  CHECK(fixture.table.HeldBackServers(kTracking, kStart + 1s) ==
        std::vector<ServerKey>{key});
  CHECK(!fixture.table.HoldTimeLeft(kTracking, kStart + 1s).has_value());
  fixture.table.OnPause(ServerKeyOf(ServerId("b")), 2s, kStart + 1s);
  CHECK(fixture.table.HoldTimeLeft(kTracking, kStart + 1s) == Duration(2s));
  // The entry lapses and returns.
  fixture.table.Replace({}, kStart + 2s);
  fixture.table.Replace({MakeServer("a")}, kStart + 3s);
  CHECK(fixture.table.is_held_back(key, kStart + 3999ms));
  CHECK_FALSE(fixture.table.is_held_back(key, kStart + 4s));
  CHECK(fixture.table.HeldBackServers(kTracking, kStart + 4s).empty());
  CHECK(!fixture.table.HoldTimeLeft(kTracking, kStart + 4s).has_value());
  CHECK(!fixture.table.HoldTimeLeft(ServiceId("other"), kStart).has_value());
}

// Guards against requests without limit after each health check of a server
// that names its limit only in its responses to requests.
TEST_CASE("A health check that names no limit does not end one at once") {
  Fixture fixture;
  const ServerKey key = ServerKeyOf(ServerId("a"));
  fixture.table.Replace({MakeServer("a")}, kStart);
  const auto check_without_limit = [&](TimePoint now) {
    fixture.table.OnDirectives(key, {}, ReportSource::kHealthCheck, now);
    return fixture.table.LimitedServerCount();
  };
  fixture.table.OnDirectives(key, {10.0}, ReportSource::kResponse, kStart);
  CHECK(check_without_limit(kStart + 1s) == 1);
  CHECK(check_without_limit(kStart + 2s) == 0);
  // At one request in 4 s the next response may take longer.
  fixture.table.OnDirectives(key, {0.25}, ReportSource::kResponse, kStart);
  CHECK(check_without_limit(kStart + 7s) == 1);
  CHECK(check_without_limit(kStart + 8s) == 0);
  fixture.table.OnDirectives(key, {0.0}, ReportSource::kResponse, kStart);
  CHECK(check_without_limit(kStart + 9s) == 1);
  CHECK(check_without_limit(kStart + 10s) == 0);
  // A response to a request ends it.
  fixture.table.OnDirectives(key, {10.0}, ReportSource::kResponse, kStart);
  fixture.table.OnDirectives(key, {}, ReportSource::kResponse, kStart + 1ms);
  CHECK(fixture.table.LimitedServerCount() == 0);
}

}  // namespace
}  // namespace dogwood
