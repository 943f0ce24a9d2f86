// Benchmark of one placement decision with 30, 450 and 4100 backend servers:
// time per pair of Acquire and Complete, heap allocations per decision, and
// memory of the router.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "Libraries/Routing/routing.h"

namespace {
std::uint64_t allocations = 0;
std::int64_t live_bytes = 0;
}  // namespace

// Replaces the global allocation functions to count allocations and live bytes.
void* operator new(std::size_t size) {
  ++allocations;
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  live_bytes += static_cast<std::int64_t>(malloc_usable_size(memory));
  return memory;
}
void operator delete(void* memory) noexcept {
  live_bytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
  std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
  operator delete(memory);
}

namespace dogwood {
namespace {

constexpr std::uint32_t kHostCount = 18;
constexpr std::uint32_t kSlotsPerServer = 6;
constexpr int kDecisionsPerRound = 500000;
constexpr int kWarmupDecisions = kDecisionsPerRound / 10;  // per round
constexpr std::uint64_t kDecisionsPerLeaseRenewal = 4096;
constexpr int kRounds = 5;  // the median round is reported

void MeasureDecisions(std::uint32_t server_count) {
  std::mt19937_64 engine(1);
  const std::int64_t live_bytes_before = live_bytes;
  ServiceRouter router(RouterOptions{}, engine);
  RouterConfiguration fleet;
  fleet.self = HostId("host0");
  for (std::uint32_t host = 0; host < kHostCount; ++host) {
    fleet.hosts.emplace_back("host" + std::to_string(host));
  }
  for (std::uint32_t server = 0; server < server_count; ++server) {
    fleet.servers.push_back({.id = ServerId("server" + std::to_string(server)),
                             .zone = ZoneId("zone"),
                             .slots = kSlotsPerServer});
  }
  RouterActions actions;
  actions.reserve(64);
  TimePoint now{};
  const auto apply_start = std::chrono::steady_clock::now();
  router.ApplyConfiguration(fleet, now, actions);
  const auto apply_end = std::chrono::steady_clock::now();
  // Renews the lease for longer than the takeover delay, so that own permits
  // can be used.
  for (int step = 0; step < 8; ++step) {
    router.SetLeaseRenewed(now, now, actions);
    now += std::chrono::milliseconds(250);
  }
  router.Tick(now, actions);
  actions.clear();
  const std::int64_t router_bytes = live_bytes - live_bytes_before;

  // Holds 70% of the own permits and completes held ones in random order.
  std::vector<Permit> held_permits;
  const std::size_t held_target = router.permits().owned_permits() * 7 / 10;
  std::vector<double> nanoseconds_per_decision;
  std::uint64_t decision_allocations = 0;
  std::uint64_t request_id = 0;
  for (int round = 0; round < kRounds; ++round) {
    const auto make_decision = [&] {
      now += std::chrono::microseconds(1);
      if (held_permits.size() >= held_target && !held_permits.empty()) {
        const std::size_t index = engine() % held_permits.size();
        const Permit permit = held_permits[index];
        held_permits[index] = held_permits.back();
        held_permits.pop_back();
        router.Complete(
            permit,
            {.result = AttemptObservation::Result::kAnswered,
             .latency = std::chrono::microseconds(5000 + engine() % 10000),
             .start_id = "start-1",
             .in_work = 3},
            now, actions);
      }
      const PermitAcquisition result =
          router.Acquire({.id = ++request_id,
                          .arrival = now,
                          .deadline = now + std::chrono::seconds(1)},
                         now, actions);
      if (result.kind == PermitAcquisition::Kind::kGranted) {
        held_permits.push_back(result.permit);
      }
      if (request_id % kDecisionsPerLeaseRenewal == 0)
        router.SetLeaseRenewed(now, now, actions);
      actions.clear();
    };
    held_permits.reserve(held_target + 1);
    for (int count = 0; count < kWarmupDecisions; ++count) make_decision();
    const std::uint64_t allocations_before = allocations;
    const auto start = std::chrono::steady_clock::now();
    for (int count = 0; count < kDecisionsPerRound; ++count) make_decision();
    const auto end = std::chrono::steady_clock::now();
    decision_allocations += allocations - allocations_before;
    nanoseconds_per_decision.push_back(
        std::chrono::duration<double, std::nano>(end - start).count() /
        kDecisionsPerRound);
  }
  std::sort(nanoseconds_per_decision.begin(), nanoseconds_per_decision.end());
  std::printf("%8u %16.1f %14.6f %14zu %14lld %14.2f\n", server_count,
              nanoseconds_per_decision[nanoseconds_per_decision.size() / 2],
              static_cast<double>(decision_allocations) /
                  (1.0 * kRounds * kDecisionsPerRound),
              router.bytes(), static_cast<long long>(router_bytes),
              std::chrono::duration<double, std::milli>(apply_end - apply_start)
                  .count());
}

}  // namespace
}  // namespace dogwood

int main() {
  std::printf("%8s %16s %14s %14s %14s %14s\n", "servers", "ns/acq+complete",
              "allocations", "state bytes", "live bytes", "apply ms");
  for (const std::uint32_t server_count : {30U, 450U, 4100U})
    dogwood::MeasureDecisions(server_count);
  return 0;
}
