// Cold limits and zone limits in the fleet model.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

#include "Tests/Libraries/Routing/fleet_driver.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FleetModelOptions LimitOptions(std::uint64_t seed) {
  FleetModelOptions options;
  options.hosts = 6;
  options.servers = 9;
  options.seed = seed;
  return options;
}

// Guards against more load on a cold server than its limit after the first
// response that shows the cold start (P2), on any host.
TEST_CASE("The cold limit holds after the first sign and rises by steps") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const FleetModelOptions options = LimitOptions(seed);
    FleetModel model(options);
    std::map<std::uint32_t, TimePoint> signs;
    std::uint64_t checked = 0;
    std::uint64_t excess = 0;
    // The broadcast takes one link; a request sent before it arrives one more.
    const Duration spread = 2 * options.latency + milliseconds(1);
    const Duration step = options.router.minimum_step_time;
    model.on_response = [&](std::uint32_t, std::uint32_t server,
                            const RouterObservation& observation) {
      if (observation.start_id == "start1" && !signs.contains(server)) {
        signs[server] = model.events().now();
      }
    };
    model.on_start = [&](std::uint32_t, std::uint32_t server,
                         const Permit& permit) {
      const auto sign = signs.find(server);
      if (sign == signs.end()) return;
      const Duration age = model.events().now() - sign->second;
      if (age <= spread) return;
      const std::uint32_t limit = age < step       ? 1
                                  : age < 2 * step ? 2
                                  : age < 3 * step ? 4
                                                   : 6;
      ++checked;
      if (permit.slot >= limit) ++excess;
    };
    model.RunFor(seconds(2));
    model.StartLoad(0.8);
    model.RunFor(seconds(2));
    for (const std::uint32_t server : {1U, 4U, 7U}) {
      model.server(server).Restart();
      model.RunFor(milliseconds(300));
    }
    model.RunFor(seconds(10));
    CHECK(signs.size() == 3);
    CHECK(checked > 100);
    CHECK(excess == 0);
    // One slot runs one request, so slots below the limit bound the work.
    CHECK(model.double_use() == 0);
    for (std::uint32_t host = 0; host < options.hosts; ++host) {
      for (const std::uint32_t server : {1U, 4U, 7U}) {
        CHECK(model.router(host).backend(server).usable_slots() == 6);
      }
    }
  }
}

// Guards against a cold start that stays unknown to hosts that did not see it,
// and against a late response of the previous start taken for a new one.
TEST_CASE("All hosts agree on the state of a server after restarts") {
  const FleetModelOptions options = LimitOptions(5);
  FleetModel model(options);
  model.RunFor(seconds(2));
  model.StartLoad(0.6);
  for (int restart = 0; restart < 5; ++restart) {
    model.RunFor(milliseconds(400));
    model.server(0).Restart();
  }
  model.RunFor(seconds(10));
  const ServerState expected = model.router(0).backend(0).state();
  CHECK(expected.start_id == "start5");
  for (std::uint32_t host = 1; host < options.hosts; ++host) {
    const ServerState state = model.router(host).backend(0).state();
    CHECK(state.start_id == expected.start_id);
    CHECK(state.step == expected.step);
    CHECK(state.sequence == expected.sequence);
  }
}

FleetConfiguration Configuration(std::uint32_t servers, std::uint32_t slots,
                                 std::uint32_t zone_limit) {
  FleetConfiguration configuration;
  ServiceConfiguration& service = configuration.services[ServiceId("s")];
  for (std::uint32_t server = 0; server < servers; ++server) {
    const ServerId id("server" + std::to_string(server));
    service.servers[id] = {
        .id = id, .zone = ZoneId(FleetModel::ZoneName(server)), .slots = slots};
  }
  for (std::uint32_t zone = 0; zone < 3; ++zone) {
    const ZoneId id(FleetModel::ZoneName(zone));
    configuration.zones[id] = {.id = id, .limit = zone_limit};
  }
  return configuration;
}

// Guards against rounding that passes the limit or gives a server more slots
// than it has.
TEST_CASE("Scaled slots sum up to the zone limit") {
  CHECK(rc::check([] {
    const auto servers = *rc::gen::inRange<std::uint32_t>(1, 40);
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 20);
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 120);
    const ZoneLimits limits(Configuration(servers, slots, limit));
    std::map<std::string, std::uint32_t> sums;
    std::map<std::string, std::uint32_t> totals;
    for (std::uint32_t server = 0; server < servers; ++server) {
      const std::uint32_t scaled = limits.slots(
          ServiceId("s"), ServerId("server" + std::to_string(server)));
      RC_ASSERT(scaled <= slots);
      sums[FleetModel::ZoneName(server)] += scaled;
      totals[FleetModel::ZoneName(server)] += slots;
    }
    for (const auto& [zone, sum] : sums) {
      RC_ASSERT(sum ==
                (limit == 0 ? totals[zone] : std::min(limit, totals[zone])));
    }
  }));
}

// Guards against a zone loaded above its limit, and against new work in a zone
// that operators took out (P3), also while hosts learn of it at different
// times.
TEST_CASE("Zone limits hold, also when a zone leaves and returns") {
  constexpr std::uint32_t kLimit = 10;
  const FleetModelOptions options = LimitOptions(2);
  FleetModel model(options);
  const ZoneLimits limits(Configuration(options.servers, 6, kLimit));
  for (std::uint32_t server = 0; server < options.servers; ++server) {
    model.SetZoneSlots(
        server, limits.slots(ServiceId("s"),
                             ServerId("server" + std::to_string(server))));
  }
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    model.ApplyFleet(host);
  }
  const std::string zone = FleetModel::ZoneName(0);
  std::uint32_t greatest = 0;
  std::uint64_t starts_in_zone = 0;
  model.on_start = [&](std::uint32_t, std::uint32_t started, const Permit&) {
    std::map<std::string, std::uint32_t> work;
    ++work[FleetModel::ZoneName(started)];
    for (std::uint32_t server = 0; server < options.servers; ++server) {
      work[FleetModel::ZoneName(server)] += model.server(server).in_work();
    }
    for (const auto& [name, count] : work) greatest = std::max(greatest, count);
    if (FleetModel::ZoneName(started) == zone) ++starts_in_zone;
  };
  model.RunFor(seconds(2));
  model.StartLoad(1.2);  // above the limits
  model.RunFor(seconds(4));
  CHECK(starts_in_zone > 100);
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    model.events().After(milliseconds(150 * host), [&model, &zone, host] {
      model.SetZoneOut(host, zone, true);
    });
  }
  model.RunFor(milliseconds(760));
  starts_in_zone = 0;
  model.RunFor(seconds(4));
  CHECK(starts_in_zone == 0);
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    model.SetZoneOut(host, zone, false);
  }
  CHECK(model.router(0).backend(0).usable_slots() == 1);  // gradual return
  model.RunFor(seconds(6));
  CHECK(starts_in_zone > 100);
  CHECK(greatest == kLimit);
  CHECK(model.refused() > 0);
}

}  // namespace
}  // namespace dogwood
