#include "Libraries/Balancing/store_backoff.h"

#include <doctest/doctest.h>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

// Counts the calls during an outage in which each call fails immediately.
int CountCalls(Duration outage, StoreBackoff::Part part) {
  StoreBackoff backoff;
  int calls = 0;
  for (TimePoint now = kStart; now < kStart + outage;
       now = backoff.not_before()) {
    ++calls;
    backoff.OnFailed(part, 1, now);
  }
  return calls;
}

// Guards against a hundred hosts that each request two tables several times per
// second while the store refuses all calls.
TEST_CASE("Copiers call less often than readers during an outage") {
  CHECK(CountCalls(8s, StoreBackoff::Part::kCopier) <= 4);
  CHECK(CountCalls(8s, StoreBackoff::Part::kReader) >= 10);
}

TEST_CASE("A successful call resets the backoff") {
  StoreBackoff backoff;
  backoff.OnFailed(StoreBackoff::Part::kCopier, 1, kStart);
  CHECK(backoff.not_before() > kStart);
  backoff.OnAnswered();
  CHECK(backoff.not_before() < kStart);
  backoff.OnFailed(StoreBackoff::Part::kReader, 1, kStart);
  CHECK(backoff.not_before() == kStart + StoreBackoff::kInitialDelay);
}

}  // namespace
}  // namespace dogwood
