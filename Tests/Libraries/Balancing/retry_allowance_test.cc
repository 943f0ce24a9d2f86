#include <doctest/doctest.h>

#include <vector>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

constexpr RetryAllowance::Limits kLimits{0.2, 10s, 62};

// Guards against a fleet that repeats more than its shared budget when every
// request fails on every host.
TEST_CASE("All hosts together stay within the fleet's budget") {
  constexpr int kHosts = 18;
  constexpr int kRequestsPerHost = 200;  // in each window
  std::vector<RetryAllowance> hosts(kHosts);
  for (int window = 0; window < 3; ++window) {
    int repeats = 0;
    for (int i = 0; i < kRequestsPerHost; ++i) {
      const TimePoint now = kStart + window * 10s + i * 50ms;
      for (RetryAllowance& host : hosts) {
        host.CountRequest(kLimits, now);
        if (host.try_take(kLimits, kHosts, now)) ++repeats;
      }
    }
    CHECK(repeats <= kLimits.ratio * kHosts * kRequestsPerHost + kLimits.extra);
    CHECK(repeats > 0);
  }
}

// Guards against hosts that restart together and each take the whole extra
// budget because they do not know each other yet.
TEST_CASE("A host that knows no other takes no more than a small share") {
  RetryAllowance host;
  int repeats = 0;
  for (int i = 0; i < 100; ++i) {
    if (host.try_take(kLimits, 64, kStart + i * 100ms)) ++repeats;
  }
  CHECK(repeats <= 2);
}

TEST_CASE("Unused credit does not pile up") {
  RetryAllowance host;
  for (int i = 0; i < 100000; ++i) host.CountRequest(kLimits, kStart);
  int repeats = 0;
  while (host.try_take(kLimits, 18, kStart)) ++repeats;
  CHECK(repeats <= 2);
}

}  // namespace
}  // namespace dogwood
