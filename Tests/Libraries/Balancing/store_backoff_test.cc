#include "Libraries/Balancing/store_backoff.h"

#include <doctest/doctest.h>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

// Calls in an outage, when each call fails at once.
int CallsIn(Duration outage, StoreBackoff::Part part) {
  StoreBackoff backoff;
  int calls = 0;
  for (TimePoint now = kStart; now < kStart + outage;
       now = backoff.not_before()) {
    ++calls;
    backoff.OnFailed(part, 1, now);
  }
  return calls;
}

// Pattern: the store refuses everybody for seconds. Guards against a hundred
// hosts that each ask for two tables several times a second.
TEST_CASE("Hosts that copy from others call seldom while the store is away") {
  CHECK(CallsIn(8s, StoreBackoff::Part::kCopier) <= 4);
  CHECK(CallsIn(8s, StoreBackoff::Part::kReader) >= 10);
}

TEST_CASE("An answer ends the pause") {
  StoreBackoff backoff;
  backoff.OnFailed(StoreBackoff::Part::kCopier, 1, kStart);
  CHECK(backoff.not_before() > kStart);
  backoff.OnAnswered();
  CHECK(backoff.not_before() < kStart);
  backoff.OnFailed(StoreBackoff::Part::kReader, 1, kStart);
  CHECK(backoff.not_before() == kStart + StoreBackoff::kFirstPause);
}

}  // namespace
}  // namespace dogwood
