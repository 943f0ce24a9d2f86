#include <doctest/doctest.h>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

PeerRecord MakePeer(const std::string& ip, const ZoneId& zone = kPalermo,
                    std::uint64_t incarnation = 1, Duration age = 0ms) {
  return {ip, zone, Incarnation(incarnation), age, false, 20};
}

// Guards against two dispatchers of a service in one zone while all hosts know
// each other.
TEST_CASE("Hosts with the same view agree on one dispatcher") {
  const std::vector<std::string> ips = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};
  for (const std::string service : {"a", "b", "c", "d"}) {
    std::vector<std::string> selected;
    for (const std::string& own : ips) {
      PeerTable table(own, kPalermo, 20, kStart);
      for (const std::string& ip : ips) table.Merge(MakePeer(ip), kStart);
      selected.push_back(
          table.DispatcherFor(ServiceId(service), kPalermo, kStart));
    }
    CHECK(selected[0] == selected[1]);
    CHECK(selected[0] == selected[2]);
  }
}

TEST_CASE("A silent or draining host is not the dispatcher") {
  PeerTable table("10.0.0.1", kPalermo, 20, kStart);
  for (int i = 2; i < 30; ++i)
    table.Merge(MakePeer("10.0.0." + std::to_string(i)), kStart);
  const std::string first = table.DispatcherFor(kTracking, kPalermo, kStart);
  REQUIRE(first != "10.0.0.1");
  SUBCASE("silent") {
    const TimePoint later = kStart + PeerTable::kLivenessTimeoutInZone + 1ms;
    CHECK(table.DispatcherFor(kTracking, kPalermo, later) == "10.0.0.1");
  }
  SUBCASE("draining") {
    PeerRecord draining = MakePeer(first);
    draining.is_draining = true;
    table.Merge(draining, kStart);
    CHECK(table.DispatcherFor(kTracking, kPalermo, kStart) != first);
    SUBCASE("and restarted") {
      table.Merge(MakePeer(first, kPalermo, 2), kStart + 100ms);
      CHECK(table.DispatcherFor(kTracking, kPalermo, kStart + 100ms) == first);
    }
  }
}

// Guards against two hosts that use the rate of one cold or limited server: a
// host that shuts down, and the one that has taken over its roles.
TEST_CASE("A draining host has no roles while its zone has another host") {
  BackendServerState server;
  server.registration = MakeServer("a");
  const TimePoint later = kStart + PeerTable::kConvergenceTime;
  PeerTable table("10.0.0.1", kPalermo, 50, kStart);
  table.Merge(MakePeer("10.1.0.1", kCatania), later);
  table.BeginDraining();
  REQUIRE(table.has_exclusive_use(server, later));
  REQUIRE(table.is_gossip_relay(later));
  CHECK(!table.is_monitoring(kTracking, ZoneId("messina"), later));
  // The other host takes over even if it is small.
  table.Merge(MakePeer("10.0.0.2"), later);
  CHECK(table.DispatcherFor(kTracking, kPalermo, later) == "10.0.0.2");
  CHECK(!table.has_exclusive_use(server, later));
  CHECK(!table.is_gossip_relay(later));
}

// Guards against records of a host's former process that arrive after those of
// the new one.
TEST_CASE("Records of an older incarnation are ignored") {
  PeerTable table("10.0.0.1", kPalermo, 20, kStart);
  table.Merge(MakePeer("10.0.0.2", kPalermo, 5), kStart);
  PeerRecord old = MakePeer("10.0.0.2", kPalermo, 4);
  old.is_draining = true;
  CHECK(!table.Merge(old, kStart));
  CHECK(table.LiveHostCount(kStart) == 2);
}

TEST_CASE("One host of the fleet monitors a zone without live hosts") {
  const std::vector<std::string> ips = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};
  int monitoring_host_count = 0;
  for (const std::string& own : ips) {
    PeerTable table(own, kPalermo, 20, kStart);
    for (const std::string& ip : ips) table.Merge(MakePeer(ip), kStart);
    if (table.is_monitoring(kTracking, kCatania, kStart))
      ++monitoring_host_count;
  }
  CHECK(monitoring_host_count == 1);
}

// Guards against a cold server that gets its full rate from every host of a
// fleet that has just started and whose hosts have not discovered each other.
TEST_CASE("A host that has just started has no exclusive use of a server") {
  PeerTable table("10.0.0.1", kPalermo, 20, kStart);
  BackendServerState server;
  server.registration = MakeServer("a");
  CHECK(table.is_monitoring(kTracking, kPalermo, kStart));
  CHECK(!table.has_exclusive_use(server, kStart + 100ms));
  CHECK(table.has_exclusive_use(server, kStart + PeerTable::kConvergenceTime));
}

// Guards against hosts that do not reconnect after a network partition.
TEST_CASE("Silent hosts are contacted until a host of their zone is live") {
  PeerTable table("10.0.0.1", kPalermo, 20, kStart);
  table.Merge(MakePeer("10.0.0.2"), kStart);
  table.Merge(MakePeer("10.1.0.2", kCatania), kStart);
  table.Merge(MakePeer("10.1.0.3", kCatania), kStart);
  const TimePoint later = kStart + 10s;
  CHECK(table.LiveHostCount(later) == 1);
  CHECK(table.SilentPeersInOwnZone(later).size() == 1);
  CHECK(table.OnePeerOfEachSilentZone(1, later).size() == 1);
  // A live host of a zone gossips the records of its other hosts.
  table.Merge(MakePeer("10.1.0.3", kCatania), later);
  CHECK(table.OnePeerOfEachSilentZone(1, later).empty());
}

// Guards against every host gossiping the whole membership to every other one.
TEST_CASE("All hosts of a zone agree on two gossip relays") {
  constexpr int kHostCount = 30;
  const auto name = [](int host) { return "10.0.0." + std::to_string(host); };
  int relay_count = 0;
  int first_relay_count = 0;
  for (int own = 0; own < kHostCount; ++own) {
    PeerTable table(name(own), kPalermo, 20, kStart);
    for (int host = 0; host < kHostCount; ++host)
      table.Merge(MakePeer(name(host)), kStart);
    relay_count += table.is_gossip_relay(kStart) ? 1 : 0;
    first_relay_count += table.is_first_gossip_relay(kStart) ? 1 : 0;
  }
  CHECK(relay_count == 2);
  CHECK(first_relay_count == 1);
}

TEST_CASE("The second gossip relay takes over when the first is silent") {
  PeerTable table("10.0.0.1", kPalermo, 20, kStart);
  for (int i = 2; i < 10; ++i)
    table.Merge(MakePeer("10.0.0." + std::to_string(i)), kStart);
  const auto before = table.GossipRelaysOf(kPalermo, kStart);
  REQUIRE(before.size() == 2);
  const TimePoint later = kStart + PeerTable::kLivenessTimeoutInZone + 1ms;
  for (int i = 2; i < 10; ++i) {
    const std::string ip = "10.0.0." + std::to_string(i);
    if (ip != before[0]) table.Merge(MakePeer(ip), later);
  }
  CHECK(table.GossipRelaysOf(kPalermo, later)[0] ==
        (before[0] == "10.0.0.1" ? before[0] : before[1]));
}

// Guards against a reader of the store in each zone, and against none.
TEST_CASE("Exactly one zone ranks first, and another one when it is silent") {
  const std::vector<std::pair<std::string, ZoneId>> hosts = {
      {"10.0.0.1", kPalermo}, {"10.1.0.1", kCatania}};
  int first = 0;
  for (const auto& [own, zone] : hosts) {
    PeerTable table(own, zone, 20, kStart);
    for (const auto& [ip, other] : hosts)
      table.Merge(MakePeer(ip, other), kStart);
    first += table.is_top_ranked_zone(kStart) ? 1 : 0;
    const TimePoint later =
        kStart + PeerTable::kLivenessTimeoutAcrossZones + 1ms;
    CHECK(table.is_top_ranked_zone(later));
  }
  CHECK(first == 1);
}

// Guards against small hosts that gossip the membership of a whole zone.
TEST_CASE("Hosts with little capacity are not gossip relays") {
  PeerTable table("10.0.0.1", kPalermo, 10, kStart);
  PeerRecord large = MakePeer("10.0.0.2");
  large.capacity = 50;
  table.Merge(large, kStart);
  CHECK(table.GossipRelaysOf(kPalermo, kStart) ==
        std::vector<std::string>{"10.0.0.2"});
}

}  // namespace
}  // namespace dogwood
