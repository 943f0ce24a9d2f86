#include "Libraries/Membership/membership.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "Tests/Libraries/Membership/simulated_network.h"

namespace dogwood {
namespace {

constexpr std::size_t kHosts = 9;
constexpr std::size_t kZones = 3;  // host i is in zone i modulo kZones
constexpr TimePoint kStart{std::chrono::seconds(1000)};
using std::chrono::seconds;

MemberRecord MakeRecord(const std::string& host, std::uint64_t incarnation = 5,
                        RecordState state = RecordState::kAlive,
                        std::uint32_t refutation_count = 0) {
  return {.host = HostId(host),
          .zone = ZoneId("palermo"),
          .peer_address = "10.0.0.1:7000",
          .incarnation = Incarnation(incarnation),
          .refutation_count = refutation_count,
          .state = state};
}

MemberTable MakeTable(const std::string& host) {
  return {MakeRecord(host), MemberTable::Options{}};
}

void ReceiveRecord(MemberTable& table, const MemberRecord& record,
                   TimePoint now = kStart) {
  Ping ping;
  ping.changes = {record};
  table.HandlePing(HostId("reporter"), Incarnation(1), ping, now);
}

void ExpireSuspects(MemberTable& table) {
  // Shorter than the pause threshold.
  constexpr Duration kTickInterval = std::chrono::milliseconds(900);
  for (int tick = 1; tick <= 20; ++tick)
    table.Tick(kStart + kTickInterval * tick);
}

// Faults of a random script; every other number lets the network run.
enum Fault : int {
  kCrash,
  kRestart,
  kPause,
  kResume,
  kCutLink,
  kPartitionZone,
  kRestoreLinks,
  kFaultCount,
};

// Three of ten actions of a script let the network run.
constexpr int kActionCount = 10;

void InjectFault(SimulatedNetwork& network, int fault, std::size_t first,
                 std::size_t second) {
  const std::size_t a = first % network.size();
  const std::size_t b = second % network.size();
  switch (fault) {
    case kCrash:
      return network.Crash(a);
    case kRestart:
      return network.Restart(a);
    case kPause:
      return network.Pause(a);
    case kResume:
      return network.Resume(a);
    case kCutLink:
      return network.CutLink(a, b);
    case kPartitionZone:
      for (std::size_t i = 0; i < network.size(); ++i) {
        for (std::size_t j = 0; j < network.size(); ++j) {
          const bool is_i_inside = i % kZones == a % kZones;
          const bool is_j_inside = j % kZones == a % kZones;
          if (is_i_inside != is_j_inside) network.CutLink(i, j);
        }
      }
      return;
    case kRestoreLinks:
      return network.RestoreLinks();
    default:
      return network.Run(seconds(1 + second % 12));
  }
}

using FaultScript = std::vector<std::tuple<int, std::size_t, std::size_t>>;

rc::Gen<FaultScript> AnyFaultScript() {
  return rc::gen::container<FaultScript>(rc::gen::tuple(
      rc::gen::inRange(0, kActionCount), rc::gen::inRange<std::size_t>(0, 100),
      rc::gen::inRange<std::size_t>(0, 100)));
}

// Guards against member tables that still differ two minutes after a random
// sequence of failures.
TEST_CASE("All member tables agree some time after the last failure") {
  CHECK(rc::check([] {
    const FaultScript script = *AnyFaultScript();
    SimulatedNetwork network(kHosts, *rc::gen::inRange<std::uint64_t>(1, 1000));
    for (const auto& [fault, a, b] : script) InjectFault(network, fault, a, b);
    network.RestoreLinks();
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

// Guards against removing a reachable host because other hosts pause, crash or
// cannot reach each other.
TEST_CASE("A host that answers all others is never removed") {
  CHECK(rc::check([] {
    const FaultScript script = *AnyFaultScript();
    SimulatedNetwork network(kHosts, *rc::gen::inRange<std::uint64_t>(1, 1000));
    network.Run(seconds(20));
    RC_ASSERT(network.has_converged());
    std::set<std::size_t> restarted;
    const auto check_host_0_is_listed = [&] {
      for (std::size_t i = 1; i < kHosts; ++i) {
        if (!network.is_running(i) || restarted.contains(i)) continue;
        RC_ASSERT(network.table(i).contains(SimulatedNetwork::HostIdOf(0)));
      }
    };
    for (const auto& [fault, a, b] : script) {
      const std::size_t first = 1 + a % (kHosts - 1);
      const std::size_t second = 1 + b % (kHosts - 1);
      if (fault == kPartitionZone) continue;  // could cut off host 0
      if (fault == kRestart) restarted.insert(first);
      if (fault >= kFaultCount) {
        network.Run(seconds(1 + b % 12), check_host_0_is_listed);
      } else {
        InjectFault(network, fault, first, second);
      }
    }
    network.Run(seconds(20), check_host_0_is_listed);
  }));
}

// Guards against removing a member that one host cannot reach but others can.
TEST_CASE("One-way packet loss between two hosts removes neither") {
  SimulatedNetwork network(kHosts);
  network.Run(seconds(20));
  network.CutLink(1, 2);
  network.Run(seconds(120), [&] {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (i != 1)
        REQUIRE(network.table(i).contains(SimulatedNetwork::HostIdOf(1)));
      if (i != 2)
        REQUIRE(network.table(i).contains(SimulatedNetwork::HostIdOf(2)));
    }
  });
}

// Guards against partitions that never merge because each has removed the other
// and no host list names the removed hosts.
TEST_CASE(
    "A zone partition without a host list heals by pinging removed hosts") {
  SimulatedNetwork network(kHosts);
  network.Run(seconds(20));
  for (std::size_t i = 0; i < kHosts; ++i) network.table(i).SetContacts({});
  InjectFault(network, kPartitionZone, 0, 0);
  network.Run(seconds(60));
  CHECK(network.table(0).members().size() == 2);
  CHECK(network.table(1).members().size() == 5);
  network.RestoreLinks();
  network.Run(seconds(30));
  CHECK(network.has_converged());
}

TEST_CASE("A paused host is removed and rejoins by a refutation") {
  SimulatedNetwork network(kHosts);
  network.Run(seconds(20));
  network.Pause(3);
  network.Run(seconds(20));
  CHECK_FALSE(network.table(0).contains(SimulatedNetwork::HostIdOf(3)));
  const TimePoint resumed = network.now();
  network.Resume(3);
  // Acknowledgements that were queued during the pause do not renew the lease.
  CHECK(network.table(3).last_acknowledged_send_time() < resumed);
  network.Run(seconds(10));
  CHECK(network.has_converged());
  CHECK(network.table(3).self().refutation_count > 0);
  CHECK(network.table(3).last_acknowledged_send_time() > resumed);
}

TEST_CASE("An announced leave reaches every member table") {
  SimulatedNetwork network(18);
  network.Run(seconds(30));
  network.table(4).Leave();
  network.Run(seconds(5));
  CHECK(network.has_converged());
  for (std::size_t i = 0; i < network.size(); ++i) {
    if (i == 4) continue;
    CHECK(network.table(i)
              .FindRecord(SimulatedNetwork::HostIdOf(4))
              ->is_leaving());
  }
}

TEST_CASE("An outdated record does not restore a removed host") {
  MemberTable table = MakeTable("self");
  ReceiveRecord(table, MakeRecord("other"));
  ReceiveRecord(table, MakeRecord("other", 5, RecordState::kSuspect));
  CHECK(table.contains(HostId("other")));
  ExpireSuspects(table);
  REQUIRE_FALSE(table.contains(HostId("other")));
  const TimePoint later = kStart + seconds(19);
  ReceiveRecord(table, MakeRecord("other"), later);
  ReceiveRecord(table, MakeRecord("other", 4, RecordState::kAlive, 9), later);
  ReceiveRecord(table, MakeRecord("other", 5, RecordState::kSuspect), later);
  CHECK_FALSE(table.contains(HostId("other")));
  ReceiveRecord(table, MakeRecord("other", 5, RecordState::kAlive, 1), later);
  CHECK(table.contains(HostId("other")));
}

// Guards against removing a host because another host did, which leaves it no
// time to refute.
TEST_CASE("A received removal record only raises suspicion") {
  MemberTable table = MakeTable("self");
  ReceiveRecord(table, MakeRecord("other"));
  ReceiveRecord(table, MakeRecord("other", 5, RecordState::kRemoved));
  REQUIRE(table.FindRecord(HostId("other")) != nullptr);
  CHECK(table.FindRecord(HostId("other"))->is_suspect());
  ReceiveRecord(table, MakeRecord("other", 5, RecordState::kAlive, 1));
  ExpireSuspects(table);
  CHECK(table.contains(HostId("other")));
}

TEST_CASE("A suspect has the whole suspicion timeout to refute") {
  MemberTable table = MakeTable("self");
  for (int i = 0; i < 62; ++i)
    ReceiveRecord(table, MakeRecord("host-" + std::to_string(i)));
  // suspicion_factor * log2(62 + 2) * ping_period
  CHECK(table.suspicion_timeout() == std::chrono::milliseconds(3 * 6 * 250));
  ReceiveRecord(table, MakeRecord("host-7", 5, RecordState::kSuspect));
  const TimePoint end = kStart + table.suspicion_timeout();
  for (TimePoint now = kStart; now < end; now += std::chrono::milliseconds(250))
    table.Tick(now);
  CHECK(table.contains(HostId("host-7")));
  table.Tick(end);
  CHECK_FALSE(table.contains(HostId("host-7")));
}

// Guards against a paused process that suspects or removes others because its
// own timeouts expired during the pause.
TEST_CASE("Timeouts that started before a pause have no effect after it") {
  MemberTable table = MakeTable("self");
  ReceiveRecord(table, MakeRecord("pinged"));
  ReceiveRecord(table, MakeRecord("accused", 5, RecordState::kSuspect));
  const MemberTable::Target target{.host = HostId("pinged"),
                                   .peer_address = "10.0.0.1:7000",
                                   .incarnation = Incarnation(5)};
  const TimePoint resumed = kStart + seconds(30);
  table.HandleProbeFailure(target, kStart, resumed);
  CHECK_FALSE(table.FindRecord(HostId("pinged"))->is_suspect());
  table.Tick(resumed);
  CHECK(table.contains(HostId("accused")));
  table.HandleProbeFailure(target, resumed, resumed);
  CHECK(table.FindRecord(HostId("pinged"))->is_suspect());
}

// Guards against a suspect that receives its suspicion too late to refute it.
TEST_CASE("A ping to a suspect or removed host begins with its own record") {
  MemberTable table = MakeTable("self");
  ReceiveRecord(table, MakeRecord("accused", 5, RecordState::kSuspect));
  for (int i = 0; i < 100; ++i)
    ReceiveRecord(table, MakeRecord("host-" + std::to_string(i)));
  CHECK(table.MakePing(HostId("accused"), kStart).changes.front() ==
        MakeRecord("accused", 5, RecordState::kSuspect));
  ExpireSuspects(table);
  CHECK(
      table.MakePing(HostId("accused"), kStart + seconds(18)).changes.front() ==
      MakeRecord("accused", 5, RecordState::kRemoved));
}

// Guards against a change that is lost once every host that knows it has
// reached the transmit limit.
TEST_CASE("A differing digest sends members that are no longer gossiped") {
  MemberTable table = MakeTable("self");
  ReceiveRecord(table, MakeRecord("known"));
  ReceiveRecord(table, MakeRecord("missed"));
  for (int i = 0; i < 100; ++i) table.MakePing(HostId("known"), kStart);
  REQUIRE(table.MakePing(HostId("known"), kStart).changes.empty());
  Ping ping;
  ping.digest = table.digest();
  CHECK(table.HandlePing(HostId("known"), Incarnation(5), ping, kStart)
            .changes.empty());
  ++ping.digest;
  CHECK(
      table.HandlePing(HostId("known"), Incarnation(5), ping, kStart).changes ==
      std::vector{MakeRecord("missed")});
}

TEST_CASE("A host refutes its suspicion or removal") {
  for (const RecordState state :
       {RecordState::kSuspect, RecordState::kRemoved}) {
    MemberTable table = MakeTable("self");
    ReceiveRecord(table, MakeRecord("self", 5, state, 3));
    CHECK(table.self().refutation_count == 4);
    ReceiveRecord(table,
                  MakeRecord("self", 4, state, 9));  // an earlier process
    CHECK(table.self().refutation_count == 4);
  }
}

// Guards against pings that grow with the number of hosts.
TEST_CASE("The size of a ping is bounded after any number of changes") {
  MemberTable table = MakeTable("self");
  for (int i = 0; i < 500; ++i) {
    ReceiveRecord(table, MakeRecord("host-" + std::to_string(i)));
    ReceiveRecord(table, MakeRecord("gone-" + std::to_string(i), 5,
                                    RecordState::kRemoved));
  }
  constexpr std::size_t kOtherFieldsBytes = 32;
  const std::size_t limit =
      MemberTable::Options{}.max_change_bytes + kOtherFieldsBytes;
  for (int i = 0; i < 1000; ++i) {
    const Ping ping =
        table.MakePing(HostId("host-" + std::to_string(i % 500)), kStart);
    CHECK(nlohmann::json::to_cbor(ToJson(ping)).size() <= limit);
  }
}

TEST_CASE("Changes sent least often come first, up to the transmit limit") {
  GossipQueue queue;
  using enum GossipQueue::Decision;
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
  CHECK(take_one() == "b");  // both were sent once and b is newer
  CHECK(take_one() == "a");
  CHECK(take_one().empty());
}

TEST_CASE("Messages round-trip and malformed messages are rejected") {
  Ping ping;
  ping.refutation_count = 2;
  ping.is_leaving = true;
  ping.digest = 0xfedcba98;
  ping.changes = {MakeRecord("other", 1733300000000, RecordState::kSuspect, 4)};
  const Ping parsed = ParsePing(ToJson(ping)).value();
  CHECK(parsed.changes == ping.changes);
  CHECK(parsed.digest == ping.digest);
  CHECK(parsed.is_leaving);
  CHECK(nlohmann::json::to_cbor(ToJson(ping)["m"][0]).size() <=
        EncodedSizeBound(ping.changes[0]));
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
