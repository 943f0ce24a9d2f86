#include "Libraries/Routing/service_router.h"

#include <doctest/doctest.h>

#include "Libraries/Routing/routing.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = RouterAction::Kind;

RouterConfiguration MakeSingleHostFleet(int servers, std::uint32_t slots) {
  RouterConfiguration fleet;
  fleet.self = HostId("a");
  fleet.hosts = {HostId("a")};
  fleet.lease_rule = PermitLeaseRule::kSingleHost;
  for (int index = 0; index < servers; ++index) {
    fleet.servers.push_back({.id = ServerId("s" + std::to_string(index)),
                             .zone = ZoneId("z"),
                             .slots = slots});
  }
  return fleet;
}

RouterRequest Request(std::uint64_t id, TimePoint now) {
  return {.id = id, .arrival = now, .deadline = now + seconds(10)};
}

// Guards against using slots before the takeover delay and against running more
// requests than slots.
TEST_CASE("A single host uses each slot once, after the takeover delay") {
  std::mt19937_64 engine(1);
  ServiceRouter router(RouterOptions{}, engine);
  RouterActions actions;
  TimePoint now{};
  router.ApplyConfiguration(MakeSingleHostFleet(1, 2), now, actions);
  CHECK(router.Acquire(Request(1, now), now, actions).kind ==
        PermitAcquisition::Kind::kQueued);
  now += milliseconds(1499);
  router.Tick(now, actions);
  CHECK(actions.empty());
  now += milliseconds(1);
  router.Tick(now, actions);
  REQUIRE(actions.size() == 1);
  CHECK(actions[0].kind == Kind::kGrant);
  CHECK(actions[0].request == 1);
  const Permit first = actions[0].permit;
  CHECK(router.Acquire(Request(2, now), now, actions).kind ==
        PermitAcquisition::Kind::kGranted);
  CHECK(router.Acquire(Request(3, now), now, actions).kind ==
        PermitAcquisition::Kind::kQueued);
  actions.clear();
  router.Complete(first,
                  {.result = AttemptObservation::Result::kAnswered,
                   .latency = milliseconds(10)},
                  now, actions);
  REQUIRE(actions.size() == 1);
  CHECK(actions[0].kind == Kind::kGrant);
  CHECK(actions[0].request == 3);
}

}  // namespace
}  // namespace dogwood
