#include <doctest/doctest.h>

#include <unordered_map>

#include "Tests/Libraries/Routing/fleet_simulation.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One host, five backend servers of six slots and two client accounts with
// equal agreements. Client account 0 sends within its agreement, client account
// 1 at `noisy_factor` times its agreement.
struct TwoClientAccounts {
  static constexpr double kAgreedCallsPerSecond = 900;  // capacity is 3000

  explicit TwoClientAccounts(double noisy_factor)
      : engine(3), router({}, engine) {
    for (std::uint32_t server = 0; server < 5; ++server) {
      servers.push_back(
          std::make_unique<SimulatedBackendServer>(events, 6, server));
    }
    RouterConfiguration fleet{.hosts = {HostId("a")},
                              .self = HostId("a"),
                              .lease_rule = PermitLeaseRule::kSingleHost};
    for (std::uint32_t server = 0; server < 5; ++server) {
      fleet.servers.push_back(
          {.id = ServerId("s" + std::to_string(server)), .zone = ZoneId("z")});
    }
    router.ApplyConfiguration(fleet, events.now(), actions);
    meter.SetAgreement(0, kAgreedCallsPerSecond);
    meter.SetAgreement(1, kAgreedCallsPerSecond);
    events.RunUntil(TimePoint{} + seconds(2));
    router.Tick(events.now(), actions);
    ScheduleArrivals(0, kAgreedCallsPerSecond * 0.95);
    ScheduleArrivals(1, kAgreedCallsPerSecond * noisy_factor);
    events.RunUntil(TimePoint{} + seconds(32));
  }

  void ScheduleArrivals(ClientAccountIndex client_account, double rate) {
    const double gap = std::exponential_distribution<double>(rate)(engine);
    events.After(std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(gap)),
                 [this, client_account, rate] {
                   SubmitRequest(client_account);
                   ScheduleArrivals(client_account, rate);
                 });
  }

  void SubmitRequest(ClientAccountIndex client_account) {
    const TimePoint now = events.now();
    const std::uint64_t id = next_id++;
    pending[id] = {client_account, now, SampleServiceTime(options, engine)};
    const PermitAcquisition result =
        router.Acquire({.id = id,
                        .client_account = client_account,
                        .agreement = meter.Classify(client_account, now),
                        .arrival = now,
                        .deadline = now + seconds(2)},
                       now, actions);
    if (result.kind == PermitAcquisition::Kind::kGranted)
      Run(id, result.permit);
    if (result.kind == PermitAcquisition::Kind::kRefused)
      ++refused[client_account];
    ExecuteActions();
  }

  void Run(std::uint64_t id, const Permit& permit) {
    servers[permit.server]->Submit(pending[id].size, [=, this](bool) {
      const Pending& request = pending[id];
      const Duration latency = events.now() - request.arrival;
      latencies[request.client_account].push_back(
          static_cast<float>(ToMilliseconds(latency)));
      router.Complete(permit,
                      {.result = AttemptObservation::Result::kAnswered,
                       .latency = request.size},
                      events.now(), actions);
      pending.erase(id);
      ExecuteActions();
    });
  }

  void ExecuteActions() {
    const RouterActions current = std::exchange(actions, {});
    for (const RouterAction& action : current) {
      if (action.kind == RouterAction::Kind::kGrant) {
        Run(action.request, action.permit);
      } else if (action.kind == RouterAction::Kind::kRefuse) {
        ++refused[pending[action.request].client_account];
      }
    }
  }

  struct Pending {
    ClientAccountIndex client_account = 0;
    TimePoint arrival;
    Duration size;
  };
  FleetSimulationOptions options;
  EventQueue events;
  std::mt19937_64 engine;
  ServiceRouter router;
  RouterActions actions;
  ClientAccountRateMeter meter;
  std::vector<std::unique_ptr<SimulatedBackendServer>> servers;
  std::unordered_map<std::uint64_t, Pending> pending;
  std::uint64_t next_id = 1;
  std::vector<float> latencies[2];
  std::uint64_t refused[2] = {0, 0};
};

// Guards against a client account over its agreement that slows down another
// one or causes its requests to be refused (design target `noisy`: at most
// 20%).
TEST_CASE(
    "A client account at five times its agreement raises the p99 of "
    "another one by at most 20%") {
  TwoClientAccounts quiet(0.95);
  TwoClientAccounts noisy(5);
  const double before = Quantile(quiet.latencies[0], 0.99);
  const double after = Quantile(noisy.latencies[0], 0.99);
  CAPTURE(before);
  CAPTURE(after);
  CHECK(after <= 1.2 * before);
  CHECK(noisy.refused[0] == 0);
  CHECK(noisy.refused[1] > 0);
  // The noisy client account still gets the remaining capacity.
  CHECK(noisy.latencies[1].size() > quiet.latencies[1].size());
}

}  // namespace
}  // namespace dogwood
