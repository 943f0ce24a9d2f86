#include <doctest/doctest.h>

#include <vector>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

constexpr HostRetryBudget::Limits kLimits{0.2, 10s, 62};

// Guards against a fleet that exceeds its retry budget when every request fails
// on every host.
TEST_CASE("The retries of all hosts stay within the fleet-wide budget") {
  constexpr int kHostCount = 18;
  constexpr int kRequestsPerHost = 200;  // per window
  std::vector<HostRetryBudget> hosts(kHostCount);
  for (int window = 0; window < 3; ++window) {
    int retries = 0;
    for (int i = 0; i < kRequestsPerHost; ++i) {
      const TimePoint now = kStart + window * 10s + i * 50ms;
      for (HostRetryBudget& host : hosts) {
        host.CountRequest(kLimits, now);
        if (host.try_take(kLimits, kHostCount, now)) ++retries;
      }
    }
    CHECK(retries <=
          kLimits.ratio * kHostCount * kRequestsPerHost + kLimits.extra);
    CHECK(retries > 0);
  }
}

// Guards against hosts that restart together and each use the whole extra
// budget because they have not discovered each other yet.
TEST_CASE("A host without known peers uses a small share of the budget") {
  HostRetryBudget host;
  int retries = 0;
  for (int i = 0; i < 100; ++i) {
    if (host.try_take(kLimits, 64, kStart + i * 100ms)) ++retries;
  }
  CHECK(retries <= 2);
}

TEST_CASE("Unused credit is capped") {
  HostRetryBudget host;
  for (int i = 0; i < 100000; ++i) host.CountRequest(kLimits, kStart);
  int retries = 0;
  while (host.try_take(kLimits, 18, kStart)) ++retries;
  CHECK(retries <= 2);
}

}  // namespace
}  // namespace dogwood
