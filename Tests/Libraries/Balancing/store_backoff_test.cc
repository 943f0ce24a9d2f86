#include "Libraries/Balancing/store_backoff.h"

#include <doctest/doctest.h>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

// Counts the calls during an outage in which each call fails immediately.
int CountCalls(Duration outage, StoreBackoff::Role role) {
  StoreBackoff backoff;
  int calls = 0;
  for (TimePoint now = kStart; now < kStart + outage;
       now = backoff.next_call_at()) {
    ++calls;
    backoff.OnFailure(role, 1, now);
  }
  return calls;
}

// Guards against a hundred hosts that each request two tables several times per
// second while the store refuses all calls.
TEST_CASE("Copiers call less often than readers during an outage") {
  CHECK(CountCalls(8s, StoreBackoff::Role::kFollower) <= 4);
  CHECK(CountCalls(8s, StoreBackoff::Role::kReader) >= 10);
}

TEST_CASE("A successful call resets the backoff") {
  StoreBackoff backoff;
  backoff.OnFailure(StoreBackoff::Role::kFollower, 1, kStart);
  CHECK(backoff.next_call_at() > kStart);
  backoff.OnSuccess();
  CHECK(backoff.next_call_at() < kStart);
  backoff.OnFailure(StoreBackoff::Role::kReader, 1, kStart);
  CHECK(backoff.next_call_at() == kStart + StoreBackoff::kInitialDelay);
}

}  // namespace
}  // namespace dogwood
