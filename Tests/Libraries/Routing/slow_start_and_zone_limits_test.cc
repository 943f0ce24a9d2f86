// Tests of slow start and availability zone limits in the fleet simulation.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

#include "Tests/Libraries/Routing/membership_driver.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FleetSimulationOptions MakeSimulationOptions(std::uint64_t seed) {
  FleetSimulationOptions options;
  options.hosts = 6;
  options.servers = 9;
  options.seed = seed;
  return options;
}

// Guards against load above the slow-start limit from any host after the first
// response that shows a restart (requirement P2).
TEST_CASE("The cold limit holds after a detected restart and rises by steps") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const FleetSimulationOptions options = MakeSimulationOptions(seed);
    FleetSimulation simulation(options);
    std::map<std::uint32_t, TimePoint> restart_detections;
    std::uint64_t checked = 0;
    std::uint64_t excess = 0;
    // The broadcast takes one link latency; a request sent before its arrival
    // takes another one.
    const Duration spread = 2 * options.latency + milliseconds(1);
    const Duration step = options.router.minimum_slow_start_step_time;
    simulation.on_response = [&](std::uint32_t, std::uint32_t server,
                                 const AttemptObservation& observation) {
      if (observation.start_id == "start1" &&
          !restart_detections.contains(server)) {
        restart_detections[server] = simulation.events().now();
      }
    };
    simulation.on_start = [&](std::uint32_t, std::uint32_t server,
                              const Permit& permit) {
      const auto detection = restart_detections.find(server);
      if (detection == restart_detections.end()) return;
      const Duration age = simulation.events().now() - detection->second;
      if (age <= spread) return;
      const std::uint32_t limit = age < step       ? 1
                                  : age < 2 * step ? 2
                                  : age < 3 * step ? 4
                                                   : 6;
      ++checked;
      if (permit.slot >= limit) ++excess;
    };
    simulation.RunFor(seconds(2));
    simulation.StartLoad(0.8);
    simulation.RunFor(seconds(2));
    for (const std::uint32_t server : {1U, 4U, 7U}) {
      simulation.server(server).Restart();
      simulation.RunFor(milliseconds(300));
    }
    simulation.RunFor(seconds(10));
    CHECK(restart_detections.size() == 3);
    CHECK(checked > 100);
    CHECK(excess == 0);
    // Each slot runs one request, so the slot index bounds the concurrency.
    CHECK(simulation.shared_slot_starts() == 0);
    for (std::uint32_t host = 0; host < options.hosts; ++host) {
      for (const std::uint32_t server : {1U, 4U, 7U}) {
        CHECK(simulation.router(host).backend(server).usable_slots() == 6);
      }
    }
  }
}

// Guards against a restart that some hosts do not learn of, and against a late
// response of the previous process that is taken for another restart.
TEST_CASE("All hosts agree on the state of a server after restarts") {
  const FleetSimulationOptions options = MakeSimulationOptions(5);
  FleetSimulation simulation(options);
  simulation.RunFor(seconds(2));
  simulation.StartLoad(0.6);
  for (int restart = 0; restart < 5; ++restart) {
    simulation.RunFor(milliseconds(400));
    simulation.server(0).Restart();
  }
  simulation.RunFor(seconds(10));
  const SharedServerState expected = simulation.router(0).backend(0).state();
  CHECK(expected.start_id == "start5");
  for (std::uint32_t host = 1; host < options.hosts; ++host) {
    const SharedServerState state = simulation.router(host).backend(0).state();
    CHECK(state.start_id == expected.start_id);
    CHECK(state.step == expected.step);
    CHECK(state.sequence == expected.sequence);
  }
}

FleetConfiguration MakeConfiguration(std::uint32_t servers, std::uint32_t slots,
                                     std::uint32_t zone_limit) {
  FleetConfiguration configuration;
  ServiceConfiguration& service = configuration.services[ServiceId("s")];
  for (std::uint32_t server = 0; server < servers; ++server) {
    const ServerId id("server" + std::to_string(server));
    service.servers[id] = {.id = id,
                           .zone = ZoneId(FleetSimulation::ZoneName(server)),
                           .slots = slots};
  }
  for (std::uint32_t zone = 0; zone < 3; ++zone) {
    const ZoneId id(FleetSimulation::ZoneName(zone));
    configuration.zones[id] = {.id = id, .limit = zone_limit};
  }
  return configuration;
}

// Guards against rounding that exceeds the limit or gives a server more slots
// than it has.
TEST_CASE("Scaled slots sum up to the zone limit") {
  CHECK(rc::check([] {
    const auto servers = *rc::gen::inRange<std::uint32_t>(1, 40);
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 20);
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 120);
    const ZoneSlotLimits limits(MakeConfiguration(servers, slots, limit));
    std::map<std::string, std::uint32_t> sums;
    std::map<std::string, std::uint32_t> totals;
    for (std::uint32_t server = 0; server < servers; ++server) {
      const std::uint32_t scaled = limits.slots(
          ServiceId("s"), ServerId("server" + std::to_string(server)));
      RC_ASSERT(scaled <= slots);
      sums[FleetSimulation::ZoneName(server)] += scaled;
      totals[FleetSimulation::ZoneName(server)] += slots;
    }
    for (const auto& [zone, sum] : sums) {
      RC_ASSERT(sum ==
                (limit == 0 ? totals[zone] : std::min(limit, totals[zone])));
    }
  }));
}

// Guards against load above the limit of an availability zone, and against new
// requests in a zone that operators took out of rotation (requirement P3), also
// while hosts learn of it at different times.
TEST_CASE("Zone limits hold while a zone leaves and rejoins rotation") {
  constexpr std::uint32_t kLimit = 10;
  const FleetSimulationOptions options = MakeSimulationOptions(2);
  FleetSimulation simulation(options);
  const ZoneSlotLimits limits(MakeConfiguration(options.servers, 6, kLimit));
  for (std::uint32_t server = 0; server < options.servers; ++server) {
    simulation.SetZoneSlots(
        server, limits.slots(ServiceId("s"),
                             ServerId("server" + std::to_string(server))));
  }
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    simulation.ApplyConfiguration(host);
  }
  const std::string zone = FleetSimulation::ZoneName(0);
  std::uint32_t maximum_zone_in_flight = 0;
  std::uint64_t starts_in_zone = 0;
  simulation.on_start = [&](std::uint32_t, std::uint32_t started,
                            const Permit&) {
    std::map<std::string, std::uint32_t> work;
    ++work[FleetSimulation::ZoneName(started)];
    for (std::uint32_t server = 0; server < options.servers; ++server) {
      work[FleetSimulation::ZoneName(server)] +=
          simulation.server(server).in_work();
    }
    for (const auto& [name, count] : work)
      maximum_zone_in_flight = std::max(maximum_zone_in_flight, count);
    if (FleetSimulation::ZoneName(started) == zone) ++starts_in_zone;
  };
  simulation.RunFor(seconds(2));
  simulation.StartLoad(1.2);  // exceeds the zone limits
  simulation.RunFor(seconds(4));
  CHECK(starts_in_zone > 100);
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    simulation.events().After(
        milliseconds(150 * host), [&simulation, &zone, host] {
          simulation.SetZoneOutOfRotation(host, zone, true);
        });
  }
  simulation.RunFor(milliseconds(760));
  starts_in_zone = 0;
  simulation.RunFor(seconds(4));
  CHECK(starts_in_zone == 0);
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    simulation.SetZoneOutOfRotation(host, zone, false);
  }
  CHECK(simulation.router(0).backend(0).usable_slots() == 1);  // slow start
  simulation.RunFor(seconds(6));
  CHECK(starts_in_zone > 100);
  CHECK(maximum_zone_in_flight == kLimit);
  CHECK(simulation.refused() > 0);
}

}  // namespace
}  // namespace dogwood
