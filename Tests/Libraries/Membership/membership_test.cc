#include "Libraries/Membership/membership.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "Tests/Libraries/Membership/scripted_network.h"

namespace dogwood {
namespace {

constexpr std::size_t kHosts = 9;
constexpr TimePoint kStart{std::chrono::seconds(1000)};
using std::chrono::seconds;

MemberRecord RecordOf(const std::string& host, std::uint64_t incarnation = 5,
                      RumourState state = RumourState::kAlive,
                      std::uint32_t refutations = 0) {
  return {.host = HostId(host),
          .zone = ZoneId("palermo"),
          .peer_address = "10.0.0.1:7000",
          .incarnation = Incarnation(incarnation),
          .refutations = refutations,
          .state = state};
}

MemberTable TableOf(const std::string& host) {
  return {RecordOf(host), MemberTable::Options{}};
}

void Tell(MemberTable& table, const MemberRecord& record,
          TimePoint now = kStart) {
  Ping ping;
  ping.changes = {record};
  table.HandlePing(HostId("teller"), Incarnation(1), ping, now);
}

void LetExpire(MemberTable& table) {
  for (int second = 1; second <= 20; ++second)
    table.Tick(kStart + std::chrono::milliseconds(900) * second);
}

// One fault of a random script.
void Disturb(ScriptedNetwork& network, int kind, std::size_t first,
             std::size_t second) {
  const std::size_t a = first % network.size();
  const std::size_t b = second % network.size();
  switch (kind) {
    case 0:
      return network.Crash(a);
    case 1:
      return network.Restart(a);
    case 2:
      return network.Pause(a);
    case 3:
      return network.Resume(a);
    case 4:
      return network.Cut(a, b);
    case 5:  // split by zone
      for (std::size_t i = 0; i < network.size(); ++i) {
        for (std::size_t j = 0; j < network.size(); ++j) {
          if ((i % 3 == a % 3) != (j % 3 == a % 3)) network.Cut(i, j);
        }
      }
      return;
    case 6:
      return network.Heal();
    default:
      return network.Run(seconds(1 + second % 12));
  }
}

using Script = std::vector<std::tuple<int, std::size_t, std::size_t>>;

rc::Gen<Script> Scripts() {
  return rc::gen::container<Script>(rc::gen::tuple(
      rc::gen::inRange(0, 10), rc::gen::inRange<std::size_t>(0, 100),
      rc::gen::inRange<std::size_t>(0, 100)));
}

// Guards against views that stay apart after any mix of failures.
TEST_CASE("All views agree some time after the last failure") {
  CHECK(rc::check([] {
    const Script script = *Scripts();
    ScriptedNetwork network(kHosts, *rc::gen::inRange<std::uint64_t>(1, 1000));
    for (const auto& [kind, a, b] : script) Disturb(network, kind, a, b);
    network.Heal();
    for (std::size_t i = 0; i < kHosts; ++i) network.Resume(i);
    network.Run(seconds(120));
    RC_ASSERT(network.has_converged());
    for (std::size_t i = 0; i < kHosts; ++i) {
      for (std::size_t j = 0; j < kHosts; ++j) {
        if (network.is_up(i) && network.is_up(j))
          RC_ASSERT(network.table(i).digest() == network.table(j).digest());
      }
    }
  }));
}

// Guards against a host that is removed because others are paused, crash, or
// cannot reach each other.
TEST_CASE("A host that answers everyone is never removed") {
  CHECK(rc::check([] {
    const Script script = *Scripts();
    ScriptedNetwork network(kHosts, *rc::gen::inRange<std::uint64_t>(1, 1000));
    network.Run(seconds(20));
    RC_ASSERT(network.has_converged());
    std::set<std::size_t> restarted;
    const auto watch = [&] {
      for (std::size_t i = 1; i < kHosts; ++i) {
        if (!network.is_running(i) || restarted.contains(i)) continue;
        RC_ASSERT(network.table(i).contains(ScriptedNetwork::IdOf(0)));
      }
    };
    for (const auto& [kind, a, b] : script) {
      const std::size_t first = 1 + a % (kHosts - 1);
      const std::size_t second = 1 + b % (kHosts - 1);
      if (kind == 5) continue;  // a split cuts host 0
      if (kind == 1) restarted.insert(first);
      if (kind >= 7) {
        network.Run(seconds(1 + b % 12), watch);
      } else {
        Disturb(network, kind, first, second);
      }
    }
    network.Run(seconds(20), watch);
  }));
}

// Guards against members that a host cannot reach itself but others can.
TEST_CASE("One-way loss between two hosts removes neither") {
  ScriptedNetwork network(kHosts);
  network.Run(seconds(20));
  network.Cut(1, 2);
  network.Run(seconds(120), [&] {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (i != 1) REQUIRE(network.table(i).contains(ScriptedNetwork::IdOf(1)));
      if (i != 2) REQUIRE(network.table(i).contains(ScriptedNetwork::IdOf(2)));
    }
  });
}

// Guards against halves that never meet again once each removed the other.
TEST_CASE("A zone split without a host list heals by removed hosts") {
  ScriptedNetwork network(kHosts);
  network.Run(seconds(20));
  for (std::size_t i = 0; i < kHosts; ++i) network.table(i).SetContacts({});
  Disturb(network, 5, 0, 0);
  network.Run(seconds(60));
  CHECK(network.table(0).members().size() == 2);
  CHECK(network.table(1).members().size() == 5);
  network.Heal();
  network.Run(seconds(30));
  CHECK(network.has_converged());
}

TEST_CASE("A paused host is removed and returns with a raised counter") {
  ScriptedNetwork network(kHosts);
  network.Run(seconds(20));
  network.Pause(3);
  network.Run(seconds(20));
  CHECK_FALSE(network.table(0).contains(ScriptedNetwork::IdOf(3)));
  const TimePoint resumed = network.now();
  network.Resume(3);
  // Acknowledgements that waited while it was stopped do not renew its lease.
  CHECK(network.table(3).newest_acknowledgement() < resumed);
  network.Run(seconds(10));
  CHECK(network.has_converged());
  CHECK(network.table(3).self().refutations > 0);
  CHECK(network.table(3).newest_acknowledgement() > resumed);
}

TEST_CASE("An announced leave reaches every view") {
  ScriptedNetwork network(18);
  network.Run(seconds(30));
  network.table(4).Leave();
  network.Run(seconds(5));
  CHECK(network.has_converged());
  for (std::size_t i = 0; i < network.size(); ++i) {
    if (i == 4) continue;
    CHECK(network.table(i).RecordOf(ScriptedNetwork::IdOf(4))->is_leaving());
  }
}

TEST_CASE("An old rumour does not bring a removed host back") {
  MemberTable table = TableOf("self");
  Tell(table, RecordOf("other"));
  Tell(table, RecordOf("other", 5, RumourState::kSuspect));
  CHECK(table.contains(HostId("other")));
  LetExpire(table);
  REQUIRE_FALSE(table.contains(HostId("other")));
  const TimePoint later = kStart + seconds(19);
  Tell(table, RecordOf("other"), later);
  Tell(table, RecordOf("other", 4, RumourState::kAlive, 9), later);
  Tell(table, RecordOf("other", 5, RumourState::kSuspect), later);
  CHECK_FALSE(table.contains(HostId("other")));
  Tell(table, RecordOf("other", 5, RumourState::kAlive, 1), later);
  CHECK(table.contains(HostId("other")));
}

// Guards against a removal by hearsay, which gives the host no time to refute.
TEST_CASE("A rumour of a removal only raises suspicion") {
  MemberTable table = TableOf("self");
  Tell(table, RecordOf("other"));
  Tell(table, RecordOf("other", 5, RumourState::kRemoved));
  REQUIRE(table.RecordOf(HostId("other")) != nullptr);
  CHECK(table.RecordOf(HostId("other"))->is_suspect());
  Tell(table, RecordOf("other", 5, RumourState::kAlive, 1));
  LetExpire(table);
  CHECK(table.contains(HostId("other")));
}

TEST_CASE("A suspect has the whole suspicion timeout to refute") {
  MemberTable table = TableOf("self");
  for (int i = 0; i < 62; ++i)
    Tell(table, RecordOf("host-" + std::to_string(i)));
  CHECK(table.suspicion_timeout() == std::chrono::milliseconds(3 * 6 * 250));
  Tell(table, RecordOf("host-7", 5, RumourState::kSuspect));
  const TimePoint end = kStart + table.suspicion_timeout();
  for (TimePoint now = kStart; now < end; now += std::chrono::milliseconds(250))
    table.Tick(now);
  CHECK(table.contains(HostId("host-7")));
  table.Tick(end);
  CHECK_FALSE(table.contains(HostId("host-7")));
}

// Guards against a stopped process that blames others for its own silence.
TEST_CASE("After a pause no timeout from before it counts") {
  MemberTable table = TableOf("self");
  Tell(table, RecordOf("pinged"));
  Tell(table, RecordOf("accused", 5, RumourState::kSuspect));
  const MemberTable::Target target{.host = HostId("pinged"),
                                   .peer_address = "10.0.0.1:7000",
                                   .incarnation = Incarnation(5)};
  const TimePoint resumed = kStart + seconds(30);
  table.HandleNoAnswer(target, kStart, resumed);
  CHECK_FALSE(table.RecordOf(HostId("pinged"))->is_suspect());
  table.Tick(resumed);
  CHECK(table.contains(HostId("accused")));
  table.HandleNoAnswer(target, resumed, resumed);
  CHECK(table.RecordOf(HostId("pinged"))->is_suspect());
}

// Guards against a suspect that learns too late what to refute.
TEST_CASE(
    "A ping to a suspect or removed host begins with what is held against it") {
  MemberTable table = TableOf("self");
  Tell(table, RecordOf("accused", 5, RumourState::kSuspect));
  for (int i = 0; i < 100; ++i)
    Tell(table, RecordOf("host-" + std::to_string(i)));
  CHECK(table.MakePing(HostId("accused"), kStart).changes.front() ==
        RecordOf("accused", 5, RumourState::kSuspect));
  LetExpire(table);
  CHECK(
      table.MakePing(HostId("accused"), kStart + seconds(18)).changes.front() ==
      RecordOf("accused", 5, RumourState::kRemoved));
}

// Guards against a change that is lost when all who knew it have told it often
// enough.
TEST_CASE("A differing digest brings members that no rumour tells any more") {
  MemberTable table = TableOf("self");
  Tell(table, RecordOf("known"));
  Tell(table, RecordOf("missed"));
  for (int i = 0; i < 100; ++i) table.MakePing(HostId("known"), kStart);
  REQUIRE(table.MakePing(HostId("known"), kStart).changes.empty());
  Ping ping;
  ping.digest = table.digest();
  CHECK(table.HandlePing(HostId("known"), Incarnation(5), ping, kStart)
            .changes.empty());
  ++ping.digest;
  CHECK(
      table.HandlePing(HostId("known"), Incarnation(5), ping, kStart).changes ==
      std::vector{RecordOf("missed")});
}

TEST_CASE("A host refutes what is said against it") {
  for (const RumourState state :
       {RumourState::kSuspect, RumourState::kRemoved}) {
    MemberTable table = TableOf("self");
    Tell(table, RecordOf("self", 5, state, 3));
    CHECK(table.self().refutations == 4);
    Tell(table, RecordOf("self", 4, state, 9));  // an earlier process
    CHECK(table.self().refutations == 4);
  }
}

// Guards against messages that grow with the fleet.
TEST_CASE("A ping stays within its bytes whatever has changed") {
  MemberTable table = TableOf("self");
  for (int i = 0; i < 500; ++i) {
    Tell(table, RecordOf("host-" + std::to_string(i)));
    Tell(table,
         RecordOf("gone-" + std::to_string(i), 5, RumourState::kRemoved));
  }
  const std::size_t limit = MemberTable::Options{}.change_bytes + 32;
  for (int i = 0; i < 1000; ++i) {
    const Ping ping =
        table.MakePing(HostId("host-" + std::to_string(i % 500)), kStart);
    CHECK(nlohmann::json::to_cbor(ToJson(ping)).size() <= limit);
  }
}

TEST_CASE("Changes sent least often come first and leave in the end") {
  ChangeQueue queue;
  using enum ChangeQueue::Choice;
  const auto take_one = [&queue] {
    std::string taken;
    queue.Visit(2, [&taken](const HostId& host) {
      if (!taken.empty()) return kStop;
      taken = host.value();
      return kTake;
    });
    return taken;
  };
  queue.Add(HostId("a"));
  CHECK(take_one() == "a");
  queue.Add(HostId("b"));
  CHECK(take_one() == "b");
  CHECK(take_one() == "b");  // the newer of two sent once
  CHECK(take_one() == "a");
  CHECK(take_one().empty());
}

TEST_CASE("Messages survive encoding and refuse what is malformed") {
  Ping ping;
  ping.refutations = 2;
  ping.is_leaving = true;
  ping.digest = 0xfedcba98;
  ping.changes = {RecordOf("other", 1733300000000, RumourState::kSuspect, 4)};
  const Ping parsed = ParsePing(ToJson(ping)).value();
  CHECK(parsed.changes == ping.changes);
  CHECK(parsed.digest == ping.digest);
  CHECK(parsed.is_leaving);
  CHECK(nlohmann::json::to_cbor(ToJson(ping)["m"][0]).size() <=
        EncodedSize(ping.changes[0]));
  using nlohmann::json;
  for (const json& body :
       {json(3), json{{"c", "x"}}, json{{"c", -1}}, json{{"m", 1}},
        json{{"m", json::array({1})}}, json{{"m", {{"h", "z", "a", 1, 1, 9}}}},
        json{{"m", {{"", "z", "a", 1, 1, 0}}}}}) {
    CHECK(ParsePing(body).has_error());
    CHECK(ParsePingRequest(body).has_error());
  }
}

}  // namespace
}  // namespace dogwood
