#include "Tests/Soak/invariant_checker.h"

#include <doctest/doctest.h>

namespace dogwood {
namespace {

const SentRequest kNonRetryableRequest{"id-1", "POST", "/write/1", "body",
                                       false};
const SentRequest kRetryableRequest{"id-2", "GET", "/read/2", "", true};

void CheckOnlyViolation(const InvariantChecker& checker, Invariant invariant) {
  REQUIRE(checker.violations().size() == 1);
  CHECK(checker.violations()[0].invariant == invariant);
}

TEST_CASE("A correct history violates no invariant") {
  InvariantChecker checker;
  checker.OnRequestSent(kNonRetryableRequest);
  checker.OnRequestRun(kNonRetryableRequest, "a");
  checker.OnResponse("id-1", 200, true);
  checker.OnRequestSent(kRetryableRequest);
  checker.OnRequestRun(kRetryableRequest, "a");
  checker.OnRequestRun(kRetryableRequest, "b");
  checker.OnResponse("id-2", 502, false);
  CHECK(checker.violations().empty());
  CHECK(checker.served_count() == 1);
}

// The soak test proves nothing if the checker misses a violation. The
// invariants on drained servers and on graceful stops are evaluated by
// SoakRunner.
TEST_CASE(
    "A violation of each invariant that the checker evaluates is detected") {
  InvariantChecker checker;
  checker.OnRequestSent(kNonRetryableRequest);
  SUBCASE("a non-retryable request runs twice") {
    checker.OnRequestRun(kNonRetryableRequest, "a");
    checker.OnRequestRun(kNonRetryableRequest, "b");
    CheckOnlyViolation(checker, Invariant::kRunsAtMostOnce);
  }
  SUBCASE("a request runs that was never sent") {
    checker.OnRequestRun({"id-9", "POST", "/write/1", "", false}, "a");
    CheckOnlyViolation(checker, Invariant::kRunsOnlyAsSent);
  }
  SUBCASE("a request runs with a modified body") {
    SentRequest changed = kNonRetryableRequest;
    changed.body = "bod";
    checker.OnRequestRun(changed, "a");
    CheckOnlyViolation(checker, Invariant::kRunsOnlyAsSent);
  }
  SUBCASE("a request ran before it is reported as not run") {
    checker.OnRequestRun(kNonRetryableRequest, "a");
    checker.OnResponse("id-1", 503, false);
    CheckOnlyViolation(checker, Invariant::kNotRunIsTrue);
  }
  SUBCASE("a request runs after it was reported as not run") {
    checker.OnResponse("id-1", 503, false);
    checker.OnRequestRun(kNonRetryableRequest, "a");
    CheckOnlyViolation(checker, Invariant::kNotRunIsTrue);
  }
  SUBCASE("a response belongs to another request") {
    checker.OnRequestRun(kNonRetryableRequest, "a");
    checker.OnResponse("id-1", 200, false);
    CheckOnlyViolation(checker, Invariant::kMatchingResponse);
  }
  SUBCASE("a process returns to an older configuration") {
    checker.OnVersionProbe("host", 1, 5, 200);
    checker.OnVersionProbe("host", 2, 5, 404);
    CHECK(checker.violations().empty());
    checker.OnVersionProbe("host", 1, 4, 404);
    CheckOnlyViolation(checker, Invariant::kVersionNeverDecreases);
  }
  SUBCASE("a request is not served without faults") {
    checker.BeginRecoveryPhase();
    checker.OnRequestSent(kRetryableRequest);
    checker.OnResponse("id-2", 503, false);
    checker.EndRecoveryPhase(0.9);
    CheckOnlyViolation(checker, Invariant::kServesWithoutFaults);
  }
}

TEST_CASE("A request that ran but got no response without faults is counted") {
  InvariantChecker checker;
  checker.BeginRecoveryPhase();
  checker.OnRequestSent(kNonRetryableRequest);
  checker.OnRequestRun(kNonRetryableRequest, "a");
  checker.OnResponse("id-1", 0, false);
  CHECK(checker.recovery_lost_count() == 1);
}

}  // namespace
}  // namespace dogwood
