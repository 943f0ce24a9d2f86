#include <doctest/doctest.h>

#include <unordered_map>

#include "Tests/Libraries/Routing/fleet_model.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One host, five servers of six slots, and two parties with equal agreements.
// The noisy party sends at a multiple of its agreement. Returns the p99 in ms
// of the other party.
struct TwoParties {
  static constexpr double kAgreedRate = 900;  // of 3000 calls per second

  explicit TwoParties(double noisy_factor) : engine(3), router({}, engine) {
    for (std::uint32_t server = 0; server < 5; ++server) {
      servers.push_back(std::make_unique<ModelServer>(events, 6, server));
    }
    RouterFleet fleet{.hosts = {HostId("a")},
                      .self = HostId("a"),
                      .lease_rule = LeaseRule::kLoneHost};
    for (std::uint32_t server = 0; server < 5; ++server) {
      fleet.servers.push_back(
          {.id = ServerId("s" + std::to_string(server)), .zone = ZoneId("z")});
    }
    router.ApplyFleet(fleet, events.now(), actions);
    meter.SetAgreement(0, kAgreedRate);
    meter.SetAgreement(1, kAgreedRate);
    events.RunUntil(TimePoint{} + seconds(2));
    router.Tick(events.now(), actions);
    Arrive(0, kAgreedRate * 0.95);
    Arrive(1, kAgreedRate * noisy_factor);
    events.RunUntil(TimePoint{} + seconds(32));
  }

  void Arrive(PartyIndex party, double rate) {
    const double gap = std::exponential_distribution<double>(rate)(engine);
    events.After(std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(gap)),
                 [this, party, rate] {
                   Request(party);
                   Arrive(party, rate);
                 });
  }

  void Request(PartyIndex party) {
    const TimePoint now = events.now();
    const std::uint64_t id = next_id++;
    pending[id] = {party, now, DrawServiceTime(options, engine)};
    const AcquireResult result =
        router.Acquire({.id = id,
                        .party = party,
                        .agreement = meter.Classify(party, now),
                        .arrival = now,
                        .deadline = now + seconds(2)},
                       now, actions);
    if (result.kind == AcquireResult::Kind::kGranted) Run(id, result.permit);
    if (result.kind == AcquireResult::Kind::kRefused) ++refused[party];
    Perform();
  }

  void Run(std::uint64_t id, const Permit& permit) {
    servers[permit.server]->Submit(pending[id].size, [=, this](bool) {
      const Pending& request = pending[id];
      const Duration latency = events.now() - request.arrival;
      latencies[request.party].push_back(
          static_cast<float>(ToMilliseconds(latency)));
      router.Complete(permit,
                      {.result = RouterObservation::Result::kAnswered,
                       .latency = request.size},
                      events.now(), actions);
      pending.erase(id);
      Perform();
    });
  }

  void Perform() {
    const RouterActions current = std::exchange(actions, {});
    for (const RouterAction& action : current) {
      if (action.kind == RouterAction::Kind::kGrant) {
        Run(action.request, action.permit);
      } else if (action.kind == RouterAction::Kind::kRefuse) {
        ++refused[pending[action.request].party];
      }
    }
  }

  struct Pending {
    PartyIndex party = 0;
    TimePoint arrival;
    Duration size;
  };
  FleetModelOptions options;
  EventQueue events;
  std::mt19937_64 engine;
  ServiceRouter router;
  RouterActions actions;
  PartyMeter meter;
  std::vector<std::unique_ptr<ModelServer>> servers;
  std::unordered_map<std::uint64_t, Pending> pending;
  std::uint64_t next_id = 1;
  std::vector<float> latencies[2];
  std::uint64_t refused[2] = {0, 0};
};

// Guards against a party above its agreement that slows down another one or has
// its requests refused (target `noisy`: at most 20%).
TEST_CASE(
    "A party at five times its agreement raises the other's p99 by at most "
    "20%") {
  TwoParties quiet(0.95);
  TwoParties noisy(5);
  const double before = QuantileOf(quiet.latencies[0], 0.99);
  const double after = QuantileOf(noisy.latencies[0], 0.99);
  CAPTURE(before);
  CAPTURE(after);
  CHECK(after <= 1.2 * before);
  CHECK(noisy.refused[0] == 0);
  CHECK(noisy.refused[1] > 0);
  // The noisy party still gets the capacity that is left.
  CHECK(noisy.latencies[1].size() > quiet.latencies[1].size());
}

}  // namespace
}  // namespace dogwood
