// Overload and fault scenarios against the dispatcher, on a virtual clock.
#include "Tests/Libraries/Balancing/dispatch_simulation.h"

#include <doctest/doctest.h>

namespace dogwood {
namespace {

constexpr int kSeedCount = 5;
// About half of the capacity below the knee.
constexpr double kBaseRate = 190;  // new requests per second
constexpr int kBurstStart = 8;     // second
constexpr int kBurstEnd = 13;      // second

double BurstRate(int second) {
  return second >= kBurstStart && second < kBurstEnd ? 1.7 * kBaseRate
                                                     : kBaseRate;
}

// Guards against servers that stay busy long after a burst with requests whose
// callers have given up.
TEST_CASE("Latency recovers within 3 s after a burst of 1.7 times for 5 s") {
  for (int seed = 1; seed <= kSeedCount; ++seed) {
    CAPTURE(seed);
    SimulationOptions options;
    options.seed = static_cast<std::uint64_t>(seed);
    DispatchSimulation simulation(options);
    const auto seconds = simulation.Run(24, BurstRate);
    const double before =
        DispatchSimulation::ShareWithinGoal(seconds, 2, kBurstStart);
    const double after =
        DispatchSimulation::ShareWithinGoal(seconds, kBurstEnd + 3, 22);
    CHECK(before > 0.9);
    CHECK(after >= 0.95 * before);
  }
}

// Shows that the simulation reproduces the fault that the test above guards
// against.
TEST_CASE("Without admission control latency does not recover from a burst") {
  SimulationOptions options;
  options.has_admission = false;
  DispatchSimulation simulation(options);
  const auto seconds = simulation.Run(24, BurstRate);
  const double before =
      DispatchSimulation::ShareWithinGoal(seconds, 2, kBurstStart);
  const double after =
      DispatchSimulation::ShareWithinGoal(seconds, kBurstEnd + 3, 22);
  CHECK(after < 0.95 * before);
}

// Guards against serving every request late in a lasting overload: capacity is
// spent on requests that can still meet their goal.
TEST_CASE("Under lasting overload half of the requests meet their goal") {
  SimulationOptions options;
  DispatchSimulation simulation(options);
  const double overload = 2.2 * kBaseRate;
  const auto seconds = simulation.Run(20, [&](int) { return overload; });
  CHECK(DispatchSimulation::ShareWithinGoal(seconds, 8, 18) > 0.5);
}

// Guards against more concurrent requests than a server has slots.
TEST_CASE("Under overload no server gets more requests than it has slots") {
  SimulationOptions options;
  DispatchSimulation simulation(options);
  simulation.Run(10, [](int) { return 2.2 * kBaseRate; });
  CHECK(simulation.peak_in_flight_per_server() <=
        static_cast<int>(options.slots));
}

TEST_CASE("Without a knee all slots are used") {
  SimulationOptions options;
  options.knee_slowdown = 1;
  options.noisy_share = 0;
  DispatchSimulation simulation(options);
  const double capacity = 29 * 6 / 0.22;
  const auto seconds = simulation.Run(15, [&](int) { return 0.85 * capacity; });
  CHECK(DispatchSimulation::ShareWithinGoal(seconds, 3, 13) > 0.95);
}

// Guards against requests that are sent to a server known to be slow while
// others have free slots.
TEST_CASE("With noisy neighbours few requests miss their goal at usual load") {
  SimulationOptions options;
  DispatchSimulation simulation(options);
  const auto seconds = simulation.Run(20, [](int) { return 0.6 * kBaseRate; });
  // One request in eight runs on a server whose neighbour becomes noisy.
  CHECK(DispatchSimulation::ShareWithinGoal(seconds, 3, 18) > 0.875);
}

// The report interval is five times the usual one.
TEST_CASE("With stale load reports most requests still meet their goal") {
  SimulationOptions options;
  options.report_interval = std::chrono::milliseconds(500);
  DispatchSimulation simulation(options);
  const auto seconds = simulation.Run(20, [](int) { return kBaseRate; });
  CHECK(DispatchSimulation::ShareWithinGoal(seconds, 3, 18) > 0.7);
}

// Guards against servers that attract all requests because they fail quickly
// and therefore look idle.
TEST_CASE("Servers that fail part of their requests at once are avoided") {
  SimulationOptions options;
  DispatchSimulation simulation(options);
  for (int server = 0; server < 5; ++server) simulation.SetFailing(server, 0.5);
  const auto seconds = simulation.Run(20, [](int) { return 0.8 * kBaseRate; });
  CHECK(DispatchSimulation::ShareWithinGoal(seconds, 5, 18) > 0.85);
}

// Guards against an overload when the servers of an availability zone leave.
TEST_CASE("Most requests meet their goal without a quarter of the servers") {
  SimulationOptions options;
  DispatchSimulation simulation(options);
  for (int server = 0; server < 7; ++server)
    simulation.SetRegistered(server, false);
  const auto seconds = simulation.Run(20, [](int) { return 0.9 * kBaseRate; });
  CHECK(DispatchSimulation::ShareWithinGoal(seconds, 5, 18) > 0.85);
}

}  // namespace
}  // namespace dogwood
