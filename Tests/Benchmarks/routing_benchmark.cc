// Cost of one placement decision at three sizes: time per Acquire and Complete,
// allocations per decision, and bytes of state.
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

// Counting replacements of the global allocation functions.
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

constexpr std::uint32_t kHosts = 18;
constexpr int kDecisions = 500000;

void Run(std::uint32_t servers) {
  std::mt19937_64 engine(1);
  const std::int64_t bytes_before = live_bytes;
  ServiceRouter router(RouterOptions{}, engine);
  RouterFleet fleet;
  fleet.self = HostId("host0");
  for (std::uint32_t host = 0; host < kHosts; ++host) {
    fleet.hosts.emplace_back("host" + std::to_string(host));
  }
  for (std::uint32_t server = 0; server < servers; ++server) {
    fleet.servers.push_back({.id = ServerId("server" + std::to_string(server)),
                             .zone = ZoneId("zone"),
                             .slots = 6});
  }
  RouterActions actions;
  actions.reserve(64);
  TimePoint now{};
  const auto apply_start = std::chrono::steady_clock::now();
  router.ApplyFleet(fleet, now, actions);
  const auto apply_end = std::chrono::steady_clock::now();
  for (int step = 0; step < 8; ++step) {
    router.SetLeaseRenewed(now, now, actions);
    now += std::chrono::milliseconds(250);
  }
  router.Tick(now, actions);
  actions.clear();
  const std::int64_t bytes = live_bytes - bytes_before;

  // Seven of ten permits are in use; permits come back in random order.
  std::vector<Permit> held;
  const std::size_t target = router.permits().owned_permits() * 7 / 10;
  std::vector<double> nanoseconds;
  std::uint64_t counted = 0;
  std::uint64_t id = 0;
  for (int round = 0; round < 5; ++round) {
    const auto decide = [&] {
      now += std::chrono::microseconds(1);
      if (held.size() >= target && !held.empty()) {
        const std::size_t index = engine() % held.size();
        const Permit permit = held[index];
        held[index] = held.back();
        held.pop_back();
        router.Complete(
            permit,
            {.result = RouterObservation::Result::kAnswered,
             .latency = std::chrono::microseconds(5000 + engine() % 10000),
             .start_id = "start-1",
             .in_work = 3},
            now, actions);
      }
      const AcquireResult result =
          router.Acquire({.id = ++id,
                          .arrival = now,
                          .deadline = now + std::chrono::seconds(1)},
                         now, actions);
      if (result.kind == AcquireResult::Kind::kGranted) {
        held.push_back(result.permit);
      }
      if (id % 4096 == 0) router.SetLeaseRenewed(now, now, actions);
      actions.clear();
    };
    held.reserve(target + 1);
    for (int count = 0; count < kDecisions / 10; ++count) decide();
    const std::uint64_t allocations_before = allocations;
    const auto start = std::chrono::steady_clock::now();
    for (int count = 0; count < kDecisions; ++count) decide();
    const auto end = std::chrono::steady_clock::now();
    counted += allocations - allocations_before;
    nanoseconds.push_back(
        std::chrono::duration<double, std::nano>(end - start).count() /
        kDecisions);
  }
  std::sort(nanoseconds.begin(), nanoseconds.end());
  std::printf("%8u %16.1f %14.6f %14zu %14lld %14.2f\n", servers,
              nanoseconds[nanoseconds.size() / 2],
              static_cast<double>(counted) / (5.0 * kDecisions), router.bytes(),
              static_cast<long long>(bytes),
              std::chrono::duration<double, std::milli>(apply_end - apply_start)
                  .count());
}

}  // namespace
}  // namespace dogwood

int main() {
  std::printf("%8s %16s %14s %14s %14s %14s\n", "servers", "ns/acq+complete",
              "allocations", "state bytes", "live bytes", "apply ms");
  for (const std::uint32_t servers : {30U, 450U, 4100U}) dogwood::Run(servers);
  return 0;
}
