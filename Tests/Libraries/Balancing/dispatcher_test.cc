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

TEST_CASE("A request with room is granted at once") {
  Fixture fixture;
  const auto decision = fixture.dispatcher.Add(Fixture::Make(1, 1), kStart);
  REQUIRE(decision.has_value());
  CHECK(decision->verdict == AdmissionVerdict::kSend);
  CHECK(decision->placement->server == KeyOf(ServerId("a")));
}

TEST_CASE("A request without room waits and gets the first free slot") {
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

TEST_CASE("Urgent requests and those still in time go first") {
  Fixture fixture;
  fixture.FillSlots();
  fixture.dispatcher.Add(Fixture::Make(1, 1, 50ms), kStart);  // late already
  fixture.dispatcher.Add(Fixture::Make(2, 2), kStart);
  fixture.dispatcher.Add(Fixture::Make(3, 1), kStart);
  fixture.dispatcher.OnEnded("10.0.0.2", 100, AttemptOutcome::kServed,
                             kStart + 1ms);
  const auto decisions = fixture.dispatcher.Review(kStart + 1ms);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().number == 3);
}

// Guards against a request that is held although it cannot be served any more.
TEST_CASE("A request that can no longer be in time without room is refused") {
  Fixture fixture;
  fixture.FillSlots();
  fixture.dispatcher.Add(Fixture::Make(1, 1), kStart);
  const auto decisions = fixture.dispatcher.Review(kStart + 180ms);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().verdict == AdmissionVerdict::kRefuse);
}

// Guards against slots that stay taken when a host dies with its requests.
TEST_CASE("A grant whose end is never told is taken back") {
  Fixture fixture;
  fixture.FillSlots();
  CHECK(fixture.dispatcher.grant_count() == 6);
  fixture.dispatcher.Review(kStart + 1s + Dispatcher::kGrantMargin);
  CHECK(fixture.dispatcher.grant_count() == 0);
  CHECK(fixture.table.Find(KeyOf(ServerId("a")))->own_in_flight == 0);
}

TEST_CASE("A withdrawn request leaves the queue, a withdrawn grant its slot") {
  Fixture fixture;
  fixture.FillSlots();
  fixture.dispatcher.Add(Fixture::Make(1, 1), kStart);
  fixture.dispatcher.Withdraw("10.0.0.2", 1, kStart);
  CHECK(fixture.dispatcher.waiting_count() == 0);
  fixture.dispatcher.Withdraw("10.0.0.2", 100, kStart);
  CHECK(fixture.dispatcher.grant_count() == 5);
}

// Pattern: servers run requests and their answers are lost. Guards against
// callers that wait for such an answer until the timeout while servers are
// idle.
TEST_CASE("A hedge after the goal is sent while much is free") {
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

// Guards against hedges that take the room of first tries in an overload.
TEST_CASE("A hedge is sent while much is free and refused at once otherwise") {
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

TEST_CASE("Refused callers return spread, within a third of their time") {
  CHECK(Admission::RetryAfter(3s, 0) <= 1s);
  CHECK(Admission::RetryAfter(3s, 1) >= 500ms);
  CHECK(Admission::RetryAfter(-1s, 0.5) > Duration::zero());
}

// Two hosts number their requests independently.
TEST_CASE("The end of another host's request changes nothing") {
  Fixture fixture;
  fixture.FillSlots();
  fixture.dispatcher.OnEnded("10.0.0.3", 100, AttemptOutcome::kServed, kStart);
  CHECK(fixture.dispatcher.grant_count() == 6);
}

}  // namespace
}  // namespace dogwood
