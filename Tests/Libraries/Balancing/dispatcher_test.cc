#include "Libraries/Balancing/dispatcher.h"

#include <doctest/doctest.h>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  ServerTable table{kPalermo};
  PeerTable peers{"10.0.0.1", kPalermo, 20, kStart - 1h};
  ServerTable::Random random{3};
  Dispatcher dispatcher{table, peers, random};

  Fixture() {
    table.Replace({MakeServer("a")}, kStart);
    ReportIdle(table, "a", kStart);
  }

  static DispatchRequest Make(std::uint64_t number, unsigned priority,
                              Duration goal_left = 250ms) {
    DispatchRequest request;
    request.host = "10.0.0.2";
    request.number = number;
    request.service = kTracking;
    request.priority = priority;
    request.usual_work = 90ms;
    request.goal = 250ms;
    request.goal_at = kStart + goal_left;
    request.deadline = kStart + 1s;
    request.arrived_at = kStart;
    return request;
  }

  void FillSlots() {
    for (std::uint64_t number = 100; number < 106; ++number)
      REQUIRE(dispatcher.Add(Make(number, 1), kStart).has_value());
  }
};

TEST_CASE("A request is granted at once while a slot is free") {
  Fixture fixture;
  const auto decision = fixture.dispatcher.Add(Fixture::Make(1, 1), kStart);
  REQUIRE(decision.has_value());
  CHECK(decision->verdict == AdmissionVerdict::kSend);
  CHECK(decision->placement->server == KeyOf(ServerId("a")));
}

TEST_CASE("A request without a free slot waits and gets the first one") {
  Fixture fixture;
  fixture.FillSlots();
  CHECK(!fixture.dispatcher.Add(Fixture::Make(1, 1), kStart).has_value());
  CHECK(fixture.dispatcher.Review(kStart + 10ms).empty());
  fixture.dispatcher.OnEnded("10.0.0.2", 100, AttemptOutcome::kServed,
                             kStart + 20ms);
  const auto decisions = fixture.dispatcher.Review(kStart + 20ms);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().number == 1);
  CHECK(decisions.front().verdict == AdmissionVerdict::kSend);
}

TEST_CASE("Requests that can meet their goal go first, then by priority") {
  Fixture fixture;
  fixture.FillSlots();
  fixture.dispatcher.Add(Fixture::Make(1, 1, 50ms), kStart);  // already late
  fixture.dispatcher.Add(Fixture::Make(2, 2), kStart);
  fixture.dispatcher.Add(Fixture::Make(3, 1), kStart);
  fixture.dispatcher.OnEnded("10.0.0.2", 100, AttemptOutcome::kServed,
                             kStart + 1ms);
  const auto decisions = fixture.dispatcher.Review(kStart + 1ms);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().number == 3);
}

// Guards against requests that stay queued although they cannot be served.
TEST_CASE("A queued request that can no longer meet its goal is refused") {
  Fixture fixture;
  fixture.FillSlots();
  fixture.dispatcher.Add(Fixture::Make(1, 1), kStart);
  const auto decisions = fixture.dispatcher.Review(kStart + 180ms);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().verdict == AdmissionVerdict::kRefuse);
}

// Guards against slots that stay occupied when a host fails with its requests.
TEST_CASE("A grant without a completion message expires") {
  Fixture fixture;
  fixture.FillSlots();
  CHECK(fixture.dispatcher.grant_count() == 6);
  fixture.dispatcher.Review(kStart + 1s + Dispatcher::kGrantExpiryMargin);
  CHECK(fixture.dispatcher.grant_count() == 0);
  CHECK(fixture.table.Find(KeyOf(ServerId("a")))->own_in_flight == 0);
}

TEST_CASE("A cancelled request leaves the queue or releases its slot") {
  Fixture fixture;
  fixture.FillSlots();
  fixture.dispatcher.Add(Fixture::Make(1, 1), kStart);
  fixture.dispatcher.Withdraw("10.0.0.2", 1, kStart);
  CHECK(fixture.dispatcher.waiting_count() == 0);
  fixture.dispatcher.Withdraw("10.0.0.2", 100, kStart);
  CHECK(fixture.dispatcher.grant_count() == 5);
}

// Guards against callers that wait until the timeout for a lost response while
// servers are idle.
TEST_CASE("A hedge after the goal is sent if it can meet the deadline") {
  Fixture fixture;
  DispatchRequest hedge = Fixture::Make(1, 1);
  hedge.is_hedge = true;
  hedge.goal_at = kStart - 100ms;
  SUBCASE("with time left") {
    CHECK(fixture.dispatcher.Add(hedge, kStart)->verdict ==
          AdmissionVerdict::kSend);
  }
  SUBCASE("without time left") {
    hedge.deadline = kStart + hedge.usual_work / 2;
    CHECK(fixture.dispatcher.Add(hedge, kStart)->verdict ==
          AdmissionVerdict::kRefuse);
  }
}

// Guards against hedges that displace first attempts in an overload.
TEST_CASE("A hedge is sent while many slots are free and refused otherwise") {
  Fixture fixture;
  DispatchRequest hedge = Fixture::Make(1, 1);
  hedge.is_hedge = true;
  CHECK(fixture.dispatcher.Add(hedge, kStart)->verdict ==
        AdmissionVerdict::kSend);
  for (std::uint64_t number = 100; number < 103; ++number)
    fixture.dispatcher.Add(Fixture::Make(number, 1), kStart);
  hedge.number = 2;
  const auto decision = fixture.dispatcher.Add(hedge, kStart);
  REQUIRE(decision.has_value());
  CHECK(decision->verdict == AdmissionVerdict::kRefuse);
}

TEST_CASE("Retry-After delays are spread within a third of the time left") {
  CHECK(Admission::RetryAfter(3s, 0) <= 1s);
  CHECK(Admission::RetryAfter(3s, 1) >= 500ms);
  CHECK(Admission::RetryAfter(-1s, 0.5) > Duration::zero());
}

// Hosts number their requests independently.
TEST_CASE("A completion from another host releases no grant") {
  Fixture fixture;
  fixture.FillSlots();
  fixture.dispatcher.OnEnded("10.0.0.3", 100, AttemptOutcome::kServed, kStart);
  CHECK(fixture.dispatcher.grant_count() == 6);
}

}  // namespace
}  // namespace dogwood
