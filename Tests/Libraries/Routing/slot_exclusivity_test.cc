// Requests running on a backend server never exceed its slots, despite host
// failures and lost or delayed messages.
#include <doctest/doctest.h>

#include "Tests/Libraries/Routing/membership_driver.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// With all slots in use every excess start is detected.
constexpr double kOverloadFactor = 1.5;
constexpr Duration kMaximumViewDelay = milliseconds(1200);

FleetSimulationOptions MakeSimulationOptions(std::uint64_t seed) {
  FleetSimulationOptions options;
  options.hosts = 6;
  options.servers = 8;
  options.seed = seed;
  options.long_request_fraction = 0.002;
  options.long_service_time = seconds(4);
  options.deadline = seconds(20);
  return options;
}

TEST_CASE("Negative control: isolated views exceed the slots") {
  // Negative control of excess_starts: each host considers itself the only one,
  // so every host owns all slots.
  FleetSimulationOptions options = MakeSimulationOptions(1);
  FleetSimulation simulation(options);
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    simulation.SetView(host, {host});
  }
  // Without peers that acknowledge them the hosts would have no lease.
  for (int step = 0; step < 40; ++step) {
    for (std::uint32_t host = 0; host < options.hosts; ++host) {
      RouterActions actions;
      simulation.router(host).SetLeaseRenewed(
          simulation.events().now(), simulation.events().now(), actions);
    }
    if (step == 20) simulation.StartLoad(kOverloadFactor);
    simulation.RunFor(milliseconds(100));
  }
  CHECK(simulation.excess_starts() > 0);
}

TEST_CASE("Negative control: takeover without delay exceeds the slots") {
  FleetSimulationOptions options = MakeSimulationOptions(1);
  options.router.permit_takeover_delay = milliseconds(2);
  options.router.grant_validity = milliseconds(1);
  FleetSimulation simulation(options);
  MembershipDriver driver(simulation, kMaximumViewDelay);
  driver.StartOnly({0, 1, 2, 3});
  simulation.RunFor(seconds(2));
  simulation.StartLoad(kOverloadFactor);
  simulation.RunFor(seconds(1));
  driver.Join(4);
  driver.Join(5);
  simulation.RunFor(seconds(4));
  CHECK(simulation.excess_starts() > 0);
  CHECK(simulation.shared_slot_starts() > 0);
}

// Guards against use of a slot by its old and its new owner when a host joins
// while old requests still run.
TEST_CASE("Joining and leaving hosts do not exceed the slots") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    FleetSimulation simulation(MakeSimulationOptions(seed));
    MembershipDriver driver(simulation, kMaximumViewDelay);
    driver.StartOnly({0, 1, 2, 3});
    simulation.RunFor(seconds(2));
    simulation.StartLoad(kOverloadFactor);
    simulation.RunFor(seconds(3));
    driver.Join(4);
    simulation.RunFor(seconds(4));
    driver.Join(5);
    simulation.RunFor(seconds(6));
    // While no host was removed, no slot runs two requests.
    CHECK(simulation.shared_slot_starts() == 0);
    driver.Crash(0);
    simulation.RunFor(seconds(8));
    CHECK(simulation.excess_starts() == 0);
    CHECK(simulation.max_in_work() <= 6);
    CHECK(simulation.answered() > 10000);
  }
}

// Guards against a paused host that uses permits which others took over.
TEST_CASE("Paused hosts do not exceed the slots") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    FleetSimulation simulation(MakeSimulationOptions(seed));
    MembershipDriver driver(simulation, kMaximumViewDelay);
    simulation.RunFor(seconds(2));
    simulation.StartLoad(kOverloadFactor);
    for (int round = 0; round < 6; ++round) {
      const auto host = static_cast<std::uint32_t>(simulation.engine()() % 6);
      const Duration pause = milliseconds(300 + simulation.engine()() % 4000);
      driver.Pause(host, pause);
      simulation.RunFor(seconds(5));
    }
    CHECK(simulation.excess_starts() == 0);
    CHECK(simulation.answered() > 10000);
  }
}

// Guards against reuse of slots whose requests outlive their host, and against
// a restarted host that lost its state of running requests and borrowed
// permits.
TEST_CASE("Crashed and restarted hosts do not exceed the slots") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    FleetSimulation simulation(MakeSimulationOptions(seed));
    MembershipDriver driver(simulation, kMaximumViewDelay);
    simulation.RunFor(seconds(2));
    simulation.StartLoad(kOverloadFactor);
    for (int round = 0; round < 5; ++round) {
      const auto host = static_cast<std::uint32_t>(simulation.engine()() % 6);
      driver.Crash(host);
      simulation.RunFor(milliseconds(100 + simulation.engine()() % 5000));
      driver.Join(host, HostStartKind::kRestartedHost);
      simulation.RunFor(seconds(3));
    }
    CHECK(simulation.excess_starts() == 0);
    CHECK(simulation.answered() > 10000);
  }
}

// Guards against double use of a lent permit when a grant, return or
// cancellation is lost or late, and against permits that are never returned.
TEST_CASE("Lost and delayed borrow messages do not exceed the slots") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    FleetSimulationOptions options = MakeSimulationOptions(seed);
    options.borrow_loss_probability = 0.05;
    static constexpr int kMaximumJitters[] = {20, 400, 1200, 3000};
    options.maximum_borrow_jitter = milliseconds(kMaximumJitters[seed - 1]);
    FleetSimulation simulation(options);
    MembershipDriver driver(simulation, kMaximumViewDelay);
    simulation.RunFor(seconds(2));
    simulation.StartLoad(kOverloadFactor);
    simulation.RunFor(seconds(8));
    driver.Crash(2);
    simulation.RunFor(seconds(4));
    driver.Pause(3, seconds(3));
    simulation.RunFor(seconds(4));
    CHECK(simulation.excess_starts() == 0);
    // Grants slower than the borrow timeout are mostly useless.
    if (options.maximum_borrow_jitter < options.router.borrow_timeout) {
      CHECK(simulation.borrows_used() > 20);
    }
    simulation.set_load(0);
    simulation.RunFor(seconds(40));
    for (std::uint32_t host = 0; host < options.hosts; ++host) {
      if (host == 2) continue;
      CHECK(simulation.router(host).lent_permits() == 0);
      CHECK(simulation.router(host).queue_length() == 0);
    }
  }
}

// Guards against releasing orphaned slots too early after a period of low load,
// when few of them run requests.
TEST_CASE("Low load followed by full load does not exceed the slots") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    FleetSimulationOptions options = MakeSimulationOptions(seed);
    options.long_request_fraction = 0.01;
    FleetSimulation simulation(options);
    MembershipDriver driver(simulation, milliseconds(400));
    simulation.RunFor(seconds(2));
    simulation.StartLoad(0.2);
    for (std::uint32_t round = 0; round < 4; ++round) {
      simulation.set_load(0.2);
      if (round % 2 == 0) {
        driver.Pause(round, milliseconds(3500));
      } else {
        driver.Crash(round);
      }
      simulation.RunFor(milliseconds(3000));
      simulation.set_load(kOverloadFactor);
      simulation.RunFor(seconds(4));
      if (round % 2 == 1) driver.Join(round, HostStartKind::kRestartedHost);
    }
    CHECK(simulation.excess_starts() == 0);
    CHECK(simulation.answered() > 1000);
  }
}

// Guards against excess requests while hosts remove a live host that still
// holds its lease. Views then differ for less than the takeover delay minus the
// lease duration.
TEST_CASE("A wrongly removed host does not exceed the slots") {
  // Regressions: with seed 26 two requests on one slot were counted once; with
  // seeds 6 and 22 hosts knew different sets of orphaned slots.
  for (const std::uint64_t seed : {1, 2, 6, 22, 26}) {
    CAPTURE(seed);
    FleetSimulation simulation(MakeSimulationOptions(seed));
    MembershipDriver driver(simulation, milliseconds(450));
    simulation.RunFor(seconds(2));
    simulation.StartLoad(kOverloadFactor);
    for (int round = 0; round < 4; ++round) {
      const auto host = static_cast<std::uint32_t>(simulation.engine()() % 6);
      driver.SetAlive(host, false);
      simulation.RunFor(milliseconds(500 + simulation.engine()() % 5000));
      driver.SetAlive(host, true);
      simulation.RunFor(seconds(4));
    }
    CHECK(simulation.excess_starts() == 0);
  }
}

}  // namespace
}  // namespace dogwood
