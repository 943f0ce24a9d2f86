#include "Tests/Soak/soak_ledger.h"

#include <doctest/doctest.h>

namespace dogwood {
namespace {

const AskedRequest kOnceRequest{"id-1", "POST", "/write/1", "body", false};
const AskedRequest kRepeatableRequest{"id-2", "GET", "/read/2", "", true};

void CheckOnly(const SoakLedger& ledger, Promise promise) {
  REQUIRE(ledger.violations().size() == 1);
  CHECK(ledger.violations()[0].promise == promise);
}

TEST_CASE("A sound history breaks no promise") {
  SoakLedger ledger;
  ledger.OnAsked(kOnceRequest);
  ledger.OnRun(kOnceRequest, "a");
  ledger.OnAnswer("id-1", 200, true);
  ledger.OnAsked(kRepeatableRequest);
  ledger.OnRun(kRepeatableRequest, "a");
  ledger.OnRun(kRepeatableRequest, "b");
  ledger.OnAnswer("id-2", 502, false);
  CHECK(ledger.violations().empty());
  CHECK(ledger.served_count() == 1);
}

// Each planted violation has to be seen, or the soak proves nothing.
TEST_CASE("A planted violation of each promise is seen") {
  SoakLedger ledger;
  ledger.OnAsked(kOnceRequest);
  SUBCASE("twice") {
    ledger.OnRun(kOnceRequest, "a");
    ledger.OnRun(kOnceRequest, "b");
    CheckOnly(ledger, Promise::kOnce);
  }
  SUBCASE("not asked") {
    ledger.OnRun({"id-9", "POST", "/write/1", "", false}, "a");
    CheckOnly(ledger, Promise::kAsked);
  }
  SUBCASE("changed") {
    AskedRequest changed = kOnceRequest;
    changed.body = "bod";
    ledger.OnRun(changed, "a");
    CheckOnly(ledger, Promise::kAsked);
  }
  SUBCASE("ran before it was told as not run") {
    ledger.OnRun(kOnceRequest, "a");
    ledger.OnAnswer("id-1", 503, false);
    CheckOnly(ledger, Promise::kNotRun);
  }
  SUBCASE("runs after it was told as not run") {
    ledger.OnAnswer("id-1", 503, false);
    ledger.OnRun(kOnceRequest, "a");
    CheckOnly(ledger, Promise::kNotRun);
  }
  SUBCASE("another's answer") {
    ledger.OnRun(kOnceRequest, "a");
    ledger.OnAnswer("id-1", 200, false);
    CheckOnly(ledger, Promise::kOwnAnswer);
  }
  SUBCASE("an older configuration") {
    ledger.OnVersionProbe("host", 1, 5, 200);
    ledger.OnVersionProbe("host", 2, 5, 404);
    CHECK(ledger.violations().empty());
    ledger.OnVersionProbe("host", 1, 4, 404);
    CheckOnly(ledger, Promise::kVersionForward);
  }
  SUBCASE("no service without faults") {
    ledger.BeginCalm();
    ledger.OnAsked(kRepeatableRequest);
    ledger.OnAnswer("id-2", 503, false);
    ledger.EndCalm(0.9);
    CheckOnly(ledger, Promise::kRecovery);
  }
}

TEST_CASE("A request that ran and got no answer without faults is counted") {
  SoakLedger ledger;
  ledger.BeginCalm();
  ledger.OnAsked(kOnceRequest);
  ledger.OnRun(kOnceRequest, "a");
  ledger.OnAnswer("id-1", 0, false);
  CHECK(ledger.calm_lost_count() == 1);
}

}  // namespace
}  // namespace dogwood
