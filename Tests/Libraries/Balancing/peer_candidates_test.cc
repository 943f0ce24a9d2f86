#include "Libraries/Balancing/peer_candidates.h"

#include <doctest/doctest.h>

#include <set>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

constexpr int kHostCount = 30;  // per zone
constexpr int kRoundCount = 20;

std::string OwnZoneIp(int host) { return "10.0.0." + std::to_string(host); }
std::string OtherZoneIp(int host) { return "10.1.0." + std::to_string(host); }

PeerCandidates MakeCandidates() {
  PeerCandidates candidates(kPalermo);
  for (int host = 2; host < kHostCount; ++host) {
    candidates.Add(OwnZoneIp(host), kPalermo);
    candidates.Add(OtherZoneIp(host), kCatania);
  }
  return candidates;
}

// Guards against a number of hellos at a start of the fleet that grows with the
// square of its size and crosses zones.
TEST_CASE("Only a gossip relay contacts another zone, one host at a time") {
  PeerCandidates candidates = MakeCandidates();
  PeerTable peers("10.0.0.1", kPalermo, 20, kStart);
  std::set<std::string> other_zone_ips;
  for (int round = 0; round < kRoundCount; ++round) {
    std::size_t other_zone_in_round = 0;
    for (const std::string& ip : candidates.TakeDue(peers, kStart)) {
      if (!ip.starts_with("10.1.")) continue;
      ++other_zone_in_round;
      other_zone_ips.insert(ip);
    }
    CHECK(other_zone_in_round == 1);
  }
  // Silent hosts are tried in turn.
  CHECK(other_zone_ips.size() == kRoundCount);
}

TEST_CASE("A host that is not a gossip relay contacts no other zone") {
  PeerCandidates candidates = MakeCandidates();
  PeerTable peers("10.0.0.1", kPalermo, 10, kStart);
  PeerRecord large{"10.0.0.200", kPalermo, Incarnation(1), 0ms, false, 50};
  peers.Merge(large, kStart);
  for (const std::string& ip : candidates.TakeDue(peers, kStart))
    CHECK(ip.starts_with("10.0."));
}

TEST_CASE("Live hosts and hosts that stay silent get no further hellos") {
  PeerCandidates candidates = MakeCandidates();
  PeerTable peers("10.0.0.1", kPalermo, 20, kStart);
  peers.Merge({OwnZoneIp(2), kPalermo, Incarnation(1), 0ms, false, 20}, kStart);
  peers.Merge({OtherZoneIp(2), kCatania, Incarnation(1), 0ms, false, 20},
              kStart);
  std::size_t hello_count = 0;
  for (int round = 0; round < kRoundCount; ++round) {
    for (const std::string& ip : candidates.TakeDue(peers, kStart)) {
      CHECK(ip != OwnZoneIp(2));
      CHECK(ip.starts_with("10.0."));
      ++hello_count;
    }
  }
  CHECK(hello_count == (kHostCount - 3) * PeerCandidates::kMaxHellos);
}

// Addresses from the settings have no zone and may be the only ones.
TEST_CASE("An address of unknown zone gets a hello") {
  PeerCandidates candidates(kPalermo);
  candidates.Add("10.9.0.1", std::nullopt);
  PeerTable peers("10.0.0.1", kPalermo, 20, kStart);
  CHECK(candidates.TakeDue(peers, kStart) ==
        std::vector<std::string>{"10.9.0.1"});
}

}  // namespace
}  // namespace dogwood
