#include "Libraries/Routing/permit_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PermitTableFixture {
  explicit PermitTableFixture(std::uint32_t slots) : permits(options) {
    permits.AddServer(HashName("server"), slots);
    permits.SetUsableSlots(0, slots);
  }
  void Apply(const std::vector<HostIndex>& alive) {
    permits.ApplyHosts(hashes, alive, 0, now, handovers);
  }
  void AdvanceTime(Duration time) {
    now += time;
    permits.Advance(now);
  }

  RouterOptions options;
  PermitTable permits;
  std::vector<std::uint64_t> hashes{HashName("a"), HashName("b"),
                                    HashName("c")};
  std::vector<PermitTable::Handover> handovers;
  TimePoint now{};
};

// Guards against counting a slot once while two requests run on it: one of this
// host and one of a host that returned the slot.
TEST_CASE("Two requests on one slot block a second slot") {
  PermitTableFixture table(6);
  table.Apply({0});
  table.AdvanceTime(seconds(2));
  CHECK(table.permits.free_permits() == 6);
  const std::uint32_t slot = table.permits.Take(0);
  CHECK(table.permits.free_permits() == 5);
  table.permits.SetBusyElsewhere(0, slot, 1);
  CHECK(table.permits.free_permits() == 4);
  table.permits.ClearBusyElsewhere(0, slot, 1);
  CHECK(table.permits.free_permits() == 5);
}

// Guards against releasing slots late and using gained slots early when the set
// of live hosts changes.
TEST_CASE("Slots are released at once and used after the takeover delay") {
  PermitTableFixture table(60);
  table.Apply({0, 1});
  table.AdvanceTime(seconds(2));
  const std::uint32_t with_one_peer = table.permits.free_permits();
  CHECK(with_one_peer > 15);
  CHECK(with_one_peer < 45);
  table.Apply({0, 1, 2});
  const std::uint32_t with_two_peers = table.permits.free_permits();
  CHECK(with_two_peers < with_one_peer);
  // The slots of host 2 are orphaned although it never used them.
  table.Apply({0, 1});
  table.AdvanceTime(milliseconds(1499));
  CHECK(table.permits.free_permits() == with_two_peers);
  table.AdvanceTime(milliseconds(1));
  CHECK(table.permits.free_permits() == with_two_peers);
  table.permits.ObserveInFlight(0, 0, table.now);
  CHECK(table.permits.free_permits() == with_one_peer);
}

// Guards against using slots of a removed host before its requests have ended.
TEST_CASE(
    "Slots of a removed host become usable when the server has capacity") {
  PermitTableFixture table(60);
  table.Apply({0, 1, 2});
  table.AdvanceTime(seconds(2));
  const std::uint32_t before = table.permits.free_permits();
  table.Apply({0, 1});
  // Rebalancing may move a few owned slots to the other host at once.
  const std::uint32_t kept = table.permits.free_permits();
  CHECK(kept <= before);
  table.AdvanceTime(milliseconds(1500));
  CHECK(table.permits.free_permits() == kept);
  table.permits.ObserveInFlight(0, 40, table.now);
  CHECK(table.permits.free_permits() == kept);
  table.permits.ObserveInFlight(0, 2, table.now);
  CHECK(table.permits.free_permits() > kept);
  table.AdvanceTime(table.options.orphan_check_timeout);
  const std::uint32_t after = table.permits.free_permits();
  CHECK(after == table.permits.owned_permits());
}

// Guards against slots with no owner or with more than one.
TEST_CASE("Each slot has exactly one owner among the hosts") {
  CHECK(rc::check([](std::uint64_t seed) {
    std::vector<std::uint64_t> hashes;
    std::vector<HostIndex> alive;
    for (HostIndex host = 0; host < 5; ++host) {
      hashes.push_back(CombineHashes(seed, host));
      if (CombineHashes(seed, 100 + host) % 3 != 0) alive.push_back(host);
    }
    RC_PRE(!alive.empty());
    RouterOptions options;
    std::uint32_t owned = 0;
    std::vector<PermitTable::Handover> handovers;
    for (const HostIndex self : alive) {
      PermitTable table(options);
      for (std::uint64_t server = 0; server < 4; ++server) {
        table.AddServer(CombineHashes(server, seed), 6);
        table.SetUsableSlots(static_cast<ServerIndex>(server), 6);
      }
      table.ApplyHosts(hashes, alive, self, TimePoint{}, handovers);
      owned += table.owned_permits();
    }
    RC_ASSERT(owned == 24U);
  }));
}

// Guards against any difference between the heap of free servers and the
// specified order.
TEST_CASE("The best free server is the one found by a linear search") {
  CHECK(rc::check([] {
    RouterOptions options;
    PermitTable table(options);
    constexpr ServerIndex kServers = 7;
    std::vector<double> scores(kServers, 0);
    std::vector<std::vector<std::uint32_t>> taken(kServers);
    std::vector<std::uint32_t> usable(kServers, 4);
    for (ServerIndex server = 0; server < kServers; ++server) {
      table.AddServer(server, 4);
      table.SetUsableSlots(server, 4);
    }
    std::vector<PermitTable::Handover> handovers;
    table.ApplyHosts({1}, {0}, 0, TimePoint{}, handovers);
    table.Advance(TimePoint{} + seconds(2));
    const auto free = [&](ServerIndex server) {
      std::uint32_t count = 0;
      for (std::uint32_t slot = 0; slot < usable[server]; ++slot) {
        count += table.is_in_use(server, slot) ? 0 : 1;
      }
      return count;
    };
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        200, rc::gen::inRange<std::uint32_t>(0, 10000));
    for (const std::uint32_t step : steps) {
      const ServerIndex server = step % kServers;
      const std::uint32_t value = step / kServers % 5;
      switch (step % 4) {
        case 0:
          scores[server] = value;
          table.SetScore(server, value);
          break;
        case 1:
          if (!taken[server].empty()) {
            table.Release(server, taken[server].back());
            taken[server].pop_back();
          }
          break;
        case 2:
          usable[server] = value;
          table.SetUsableSlots(server, value);
          break;
        default:
          if (table.best_server() != kInvalidIndex) {
            const ServerIndex best = table.best_server();
            taken[best].push_back(table.Take(best));
            RC_ASSERT(taken[best].back() < usable[best]);
          }
      }
      std::uint32_t total = 0;
      const ServerIndex best = table.best_server();
      for (ServerIndex other = 0; other < kServers; ++other) {
        total += free(other);
        if (free(other) == 0) continue;
        RC_ASSERT(best != kInvalidIndex);
        RC_ASSERT(std::pair(scores[best], 64 - free(best)) <=
                  std::pair(scores[other], 64 - free(other)));
      }
      RC_ASSERT(table.free_permits() == total);
      RC_ASSERT((best == kInvalidIndex) == (total == 0));
    }
  }));
}

}  // namespace
}  // namespace dogwood
