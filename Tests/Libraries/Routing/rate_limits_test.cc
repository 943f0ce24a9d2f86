#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>

#include "Libraries/Routing/routing.h"
#include "Tests/Libraries/Routing/event_queue.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against retries that amplify an overload.
TEST_CASE("Retries stay within a tenth of the requests") {
  CHECK(rc::check([](const std::vector<bool>& steps) {
    RetryBudget budget;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
    for (const bool is_request : steps) {
      if (is_request) {
        budget.CountRequest();
        ++requests;
      } else if (budget.try_take()) {
        ++retries;
      }
      RC_ASSERT(retries * 10 <= requests);
    }
  }));
  RetryBudget budget;
  for (int probe_count = 0; probe_count < 100; ++probe_count)
    budget.CountRequest();
  int retries = 0;
  while (budget.try_take()) ++retries;
  CHECK(retries == 10);
}

TEST_CASE("Connections of all hosts stay within the limit of a server") {
  for (std::uint32_t hosts = 1; hosts <= 260; ++hosts) {
    CHECK(hosts * MaximumConnectionsPerHost(hosts) <=
          kMaximumConnectionsPerServer);
    CHECK(MaximumConnectionsPerHost(hosts) >= 1);
  }
  CHECK(MaximumConnectionsPerHost(18) == 14);
  CHECK(MaximumConnectionsPerHost(1000) == 1);
}

// Guards against a client account over its agreement that is not marked, and
// against one within its agreement that is.
TEST_CASE(
    "A client account is over its agreement only above its rate per host") {
  ClientAccountRateMeter meter;
  meter.SetAgreement(0, 1000);
  meter.SetLiveHosts(10);  // 100 calls/s per host
  TimePoint now{};
  int over = 0;
  for (int probe_count = 0; probe_count < 5000;
       ++probe_count, now += milliseconds(10)) {
    over += meter.Classify(0, now) == AgreementCompliance::kOver ? 1 : 0;
  }
  CHECK(over == 0);
  int within = 0;
  for (int probe_count = 0; probe_count < 5000;
       ++probe_count, now += milliseconds(2)) {
    within += meter.Classify(0, now) == AgreementCompliance::kWithin ? 1 : 0;
  }
  CHECK(within <= 1000 + 100);  // 10 s at the rate plus the burst of 1 s
  CHECK(within >= 1000);
  CHECK(meter.Classify(7, now) == AgreementCompliance::kOver);
}

// Records the probes of a fleet whose hosts have changing and differing views
// of the live hosts.
struct ProbeFleet {
  ProbeFleet(std::uint32_t host_count, double rate, std::uint64_t seed)
      : rate(rate), engine(seed) {
    for (std::uint32_t host = 0; host < host_count; ++host) StartHost(host);
  }

  void StartHost(std::uint32_t host) {
    if (host >= hosts.size()) hosts.resize(host + 1);
    hosts[host] =
        std::make_unique<ProbeRateLimiter>(seconds(1), milliseconds(1500));
    for (int server = 0; server < kServers; ++server) {
      hosts[host]->SetServer(ServerId("s" + std::to_string(server)), rate, now);
    }
    alive.insert(host);
    ApplyView(host);
  }
  void ApplyView(std::uint32_t host) {
    std::vector<HostId> names;
    for (const std::uint32_t other : alive) names.emplace_back(Name(other));
    if (!alive.contains(host)) names.emplace_back(Name(host));
    hosts[host]->ApplyHosts(names, HostId(Name(host)),
                            names.size() == 1 ? PermitLeaseRule::kSingleHost
                                              : PermitLeaseRule::kRequired,
                            now);
  }
  // Views change after a random delay of up to 1.2 s.
  void ScheduleViewChange(std::uint32_t host, bool is_alive) {
    if (is_alive) {
      alive.insert(host);
    } else {
      alive.erase(host);
    }
    for (std::uint32_t other = 0; other < hosts.size(); ++other) {
      if (hosts[other] == nullptr) continue;
      pending.push_back({now + milliseconds(engine() % 1200), other});
    }
  }
  void RunFor(Duration duration) {
    const TimePoint end = now + duration;
    for (; now < end; now += milliseconds(10)) {
      for (const auto& [at, host] : pending) {
        if (at <= now && hosts[host] != nullptr) ApplyView(host);
      }
      std::erase_if(pending,
                    [&](const auto& item) { return item.first <= now; });
      for (std::uint32_t host = 0; host < hosts.size(); ++host) {
        if (hosts[host] == nullptr) continue;
        if (now.time_since_epoch() % milliseconds(250) == Duration::zero()) {
          hosts[host]->SetLeaseRenewed(now, now);
        }
        for (int server = 0; server < kServers; ++server) {
          if (hosts[host]->try_take(ServerId("s" + std::to_string(server)),
                                    now)) {
            probes[server].push_back(now);
          }
        }
      }
    }
  }
  static std::string Name(std::uint32_t host) {
    return "host" + std::to_string(host);
  }
  // The rate limit holds if consecutive probes are at least one period apart.
  bool is_within_rate_limit() const {
    const auto period = std::chrono::duration<double>(1 / rate);
    for (const auto& times : probes) {
      for (std::size_t index = 1; index < times.size(); ++index) {
        if (times[index] - times[index - 1] < period) return false;
      }
    }
    return true;
  }
  std::size_t probe_count() const {
    std::size_t total = 0;
    for (const auto& times : probes) total += times.size();
    return total;
  }

  static constexpr int kServers = 5;
  double rate;
  std::mt19937_64 engine;
  TimePoint now{};
  std::vector<std::unique_ptr<ProbeRateLimiter>> hosts;
  std::set<std::uint32_t> alive;
  std::vector<std::pair<TimePoint, std::uint32_t>> pending;
  std::vector<TimePoint> probes[kServers];
};

// Guards against a probe rate that grows with the number of hosts (requirement
// P1).
TEST_CASE("Probes stay within the rate limit with 1 and 18 hosts") {
  for (const std::uint32_t hosts : {1U, 18U}) {
    CAPTURE(hosts);
    ProbeFleet fleet(hosts, 2, 1);
    for (std::uint32_t host = 0; host < hosts; ++host) fleet.ApplyView(host);
    fleet.RunFor(seconds(20));
    CHECK(fleet.is_within_rate_limit());
    CHECK(fleet.probe_count() <= 5 * 20 * 2);
    CHECK(fleet.probe_count() >=
          5 * 18 * 2 - 5);  // except the first 1.5 s and one period
  }
}

// Guards against two concurrent probers while hosts join and leave and their
// views differ.
TEST_CASE("Probes stay within the rate limit while views change and differ") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    ProbeFleet fleet(6, 2, seed);
    for (std::uint32_t host = 0; host < 6; ++host) fleet.ApplyView(host);
    fleet.RunFor(seconds(4));
    for (std::uint32_t step = 0; step < 12; ++step) {
      if (step % 2 == 0) {
        const std::uint32_t joined = 6 + step / 2;
        fleet.StartHost(joined);
        fleet.ScheduleViewChange(joined, true);
      } else {
        const auto left = static_cast<std::uint32_t>(step / 2);
        fleet.hosts[left].reset();
        fleet.ScheduleViewChange(left, false);
      }
      fleet.RunFor(milliseconds(700 + 400 * step));
    }
    CHECK(fleet.is_within_rate_limit());
    CHECK(fleet.probe_count() > 50);
  }
}

TEST_CASE("Negative control: isolated views exceed the probe rate limit") {
  ProbeFleet fleet(3, 2, 1);
  for (std::uint32_t host = 0; host < 3; ++host) {
    fleet.hosts[host]->ApplyHosts({HostId(ProbeFleet::Name(host))},
                                  HostId(ProbeFleet::Name(host)),
                                  PermitLeaseRule::kSingleHost, fleet.now);
  }
  fleet.RunFor(seconds(5));
  CHECK_FALSE(fleet.is_within_rate_limit());
}

// Guards against a prober that uses tokens accumulated during a pause.
TEST_CASE("A paused prober waits for its lease and starts without tokens") {
  ProbeRateLimiter budget(seconds(1), milliseconds(1500));
  const ServerId server("s");
  TimePoint now{};
  budget.SetServer(server, 1, now);
  budget.ApplyHosts({HostId("a")}, HostId("a"), PermitLeaseRule::kRequired,
                    now);
  for (int step = 0; step < 40; ++step, now += milliseconds(100)) {
    budget.SetLeaseRenewed(now, now);
    budget.try_take(server, now);
  }
  now += seconds(10);
  CHECK_FALSE(budget.try_take(server, now));
  budget.SetLeaseRenewed(now, now);
  CHECK_FALSE(budget.try_take(server, now));
  for (int step = 0; step < 24; ++step) {
    now += milliseconds(100);
    budget.SetLeaseRenewed(now, now);
    CHECK_FALSE(budget.try_take(server, now));
  }
  now += milliseconds(100);
  CHECK(budget.try_take(server, now));
}

}  // namespace
}  // namespace dogwood
