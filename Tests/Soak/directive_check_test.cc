#include "Tests/Soak/directive_check.h"

#include <doctest/doctest.h>

namespace dogwood {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

// Sends requests at an even rate for 10 s and returns the violations.
std::size_t ViolationsAt(int server, Duration interval) {
  InvariantChecker checker;
  DirectiveCheck check(checker);
  for (TimePoint now = kStart; now < kStart + 10s; now += interval)
    check.OnRequest(server, "id", now);
  return checker.violations().size();
}

TEST_CASE("Requests above a limit are a violation") {
  CHECK(ViolationsAt(DirectiveCheck::kLimitedServer, 100ms) == 0);
  CHECK(ViolationsAt(DirectiveCheck::kLimitedServer, 50ms) > 0);
}

TEST_CASE("Requests to a leaving server are a violation after the drain time") {
  CHECK(ViolationsAt(DirectiveCheck::kLeavingServer, 1s) > 0);
  InvariantChecker checker;
  DirectiveCheck check(checker);
  check.OnRequest(DirectiveCheck::kLeavingServer, "id", kStart);
  check.OnRequest(DirectiveCheck::kLeavingServer, "id", kStart + 1900ms);
  check.OnHostStopped();
  check.OnRequest(DirectiveCheck::kLeavingServer, "id", kStart + 5s);
  CHECK(checker.violations().empty());
}

}  // namespace
}  // namespace dogwood
