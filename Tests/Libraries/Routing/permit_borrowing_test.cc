// Tests of permit borrowing between hosts at the level of single messages.
#include <doctest/doctest.h>

#include <algorithm>

#include "Libraries/Routing/routing.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = RouterAction::Kind;

// A router of a host with peers and a valid lease.
struct TestHost {
  explicit TestHost(const std::string& name, int servers = 1)
      : engine(1), router({}, engine) {
    fleet.self = HostId(name);
    fleet.hosts = {HostId("a"), HostId("b"), HostId("c")};
    for (int index = 0; index < servers; ++index) {
      fleet.servers.push_back({.id = ServerId("s" + std::to_string(index)),
                               .zone = ZoneId("z"),
                               .slots = 12});
    }
    router.ApplyConfiguration(fleet, now, actions);
    AdvanceTime(seconds(2));
  }
  void AdvanceTime(Duration time) {
    const TimePoint end = now + time;
    while (now < end) {
      now = std::min(end, now + milliseconds(100));
      router.SetLeaseRenewed(now, now, actions);
      router.Tick(now, actions);
    }
  }
  PermitAcquisition Acquire(std::uint64_t id) {
    return router.Acquire(
        {.id = id, .arrival = now, .deadline = now + seconds(30)}, now,
        actions);
  }
  // Acquires all free permits of this host.
  std::vector<Permit> TakeAllPermits() {
    std::vector<Permit> held;
    while (router.permits().free_permits() > 0) {
      held.push_back(Acquire(next_request_id++).permit);
    }
    actions.clear();
    return held;
  }
  std::vector<RouterAction> ActionsOf(Kind kind) const {
    std::vector<RouterAction> found;
    std::copy_if(
        actions.begin(), actions.end(), std::back_inserter(found),
        [&](const RouterAction& action) { return action.kind == kind; });
    return found;
  }
  HostIndex HostIndexOf(const std::string& name) const {
    return router.host_index(HostId(name));
  }

  std::mt19937_64 engine;
  ServiceRouter router;
  RouterConfiguration fleet;
  RouterActions actions;
  TimePoint now{};
  std::uint64_t next_request_id = 1;
};

// Guards against keeping a second grant: a borrower returns a permit at once
// when it no longer needs it, and uses a lent permit for one request only.
TEST_CASE("A borrower uses the first grant and returns any other") {
  TestHost host("a");
  host.TakeAllPermits();
  CHECK(host.Acquire(100).kind == PermitAcquisition::Kind::kQueued);
  const auto borrows = host.ActionsOf(Kind::kSendBorrow);
  REQUIRE(borrows.size() == 2);
  CHECK(borrows[0].host != borrows[1].host);
  host.actions.clear();
  host.router.OnBorrowGranted(borrows[0].host, borrows[0].borrow_id, 0, 3, 1,
                              host.now, host.actions);
  REQUIRE(host.ActionsOf(Kind::kGrant).size() == 1);
  const Permit permit = host.ActionsOf(Kind::kGrant)[0].permit;
  CHECK(permit.is_lent());
  REQUIRE(host.ActionsOf(Kind::kCancelBorrow).size() == 1);
  CHECK(host.ActionsOf(Kind::kCancelBorrow)[0].borrow_id ==
        borrows[1].borrow_id);
  host.actions.clear();
  host.router.OnBorrowGranted(borrows[1].host, borrows[1].borrow_id, 0, 4, 0,
                              host.now, host.actions);
  REQUIRE(host.actions.size() == 1);
  CHECK(host.actions[0].kind == Kind::kReturnPermit);
  CHECK(host.actions[0].permit.slot == 4);
  // The lent permit returns to its owner although another request waits.
  CHECK(host.Acquire(101).kind == PermitAcquisition::Kind::kQueued);
  host.actions.clear();
  host.router.Complete(permit,
                       {.result = AttemptObservation::Result::kAnswered,
                        .latency = milliseconds(10)},
                       host.now, host.actions);
  CHECK(host.ActionsOf(Kind::kGrant).empty());
  REQUIRE(host.ActionsOf(Kind::kReturnPermit).size() == 1);
  CHECK(host.ActionsOf(Kind::kReturnPermit)[0].host == borrows[0].host);
}

// Guards against using a grant that the lender may have reclaimed.
TEST_CASE("A late grant is returned") {
  TestHost host("a");
  host.TakeAllPermits();
  host.Acquire(100);
  const auto borrow = host.ActionsOf(Kind::kSendBorrow)[0];
  host.AdvanceTime(milliseconds(1401));
  host.actions.clear();
  host.router.OnBorrowGranted(borrow.host, borrow.borrow_id, 0, 3, 1, host.now,
                              host.actions);
  CHECK(host.ActionsOf(Kind::kGrant).empty());
  CHECK(host.ActionsOf(Kind::kReturnPermit).size() == 1);
}

// Guards against using a grant that arrives after the borrower answered that it
// does not hold the permit.
TEST_CASE("A grant received after the answer to a query is returned") {
  TestHost host("a");
  host.TakeAllPermits();
  host.Acquire(100);
  const auto borrow = host.ActionsOf(Kind::kSendBorrow)[0];
  host.actions.clear();
  const Permit permit{.server = 0, .slot = 3, .borrow_id = borrow.borrow_id};
  host.router.OnLentQuery(borrow.host, permit, host.now, host.actions);
  CHECK(host.ActionsOf(Kind::kReturnPermit).size() == 1);
  host.actions.clear();
  host.router.OnBorrowGranted(borrow.host, borrow.borrow_id, 0, 3, 1, host.now,
                              host.actions);
  CHECK(host.ActionsOf(Kind::kGrant).empty());
  CHECK(host.ActionsOf(Kind::kReturnPermit).size() == 1);
}

// Guards against borrowing that bypasses the queue: a lender serves its own
// older requests first.
TEST_CASE("A freed permit is assigned to the older request") {
  for (const bool is_borrower_older : {true, false}) {
    CAPTURE(is_borrower_older);
    TestHost host("a");
    const std::vector<Permit> held = host.TakeAllPermits();
    const TimePoint early = host.now;
    host.AdvanceTime(milliseconds(100));
    const Duration offset = milliseconds(is_borrower_older ? -50 : 50);
    host.Acquire(100);
    const BorrowRequest borrow{.from = host.HostIndexOf("b"),
                               .borrow_id = 77,
                               .arrival = early + milliseconds(100) + offset};
    host.router.OnBorrow(borrow, host.now, host.actions);
    CHECK(host.ActionsOf(Kind::kLend).empty());
    host.router.Complete(held[0], {}, host.now, host.actions);
    CHECK(host.ActionsOf(Kind::kLend).size() == (is_borrower_older ? 1 : 0));
    CHECK(host.ActionsOf(Kind::kGrant).size() == (is_borrower_older ? 0 : 1));
  }
}

// Guards against permits that stay lent to a removed host, and against their
// use before the takeover delay or without free capacity.
TEST_CASE("A permit lent to a removed host is reclaimed late and as orphaned") {
  TestHost host("a");
  // With two hosts every gained slot comes from the removed host.
  host.fleet.hosts = {HostId("a"), HostId("b")};
  host.router.ApplyConfiguration(host.fleet, host.now, host.actions);
  host.AdvanceTime(seconds(12));
  const std::uint32_t before = host.router.permits().free_permits();
  host.router.OnBorrow(
      {.from = host.HostIndexOf("b"), .borrow_id = 5, .arrival = host.now},
      host.now, host.actions);
  REQUIRE(host.ActionsOf(Kind::kLend).size() == 1);
  host.fleet.hosts = {HostId("a")};
  host.router.ApplyConfiguration(host.fleet, host.now, host.actions);
  host.AdvanceTime(milliseconds(1400));
  CHECK(host.router.lent_permits() == 1);
  host.AdvanceTime(milliseconds(200));
  CHECK(host.router.lent_permits() == 0);
  // The reclaimed slot and all slots gained from the removed host are orphaned.
  CHECK(host.router.permits().free_permits() == before - 1);
  host.AdvanceTime(seconds(11));
  CHECK(host.router.permits().free_permits() ==
        host.router.permits().owned_permits());
}

// Guards against a lent permit that is never returned: a cancellation that
// crosses the grant must not end the loan at the lender.
TEST_CASE("A borrow request can be cancelled only while it is queued") {
  TestHost host("a");
  host.router.OnBorrow(
      {.from = host.HostIndexOf("b"), .borrow_id = 5, .arrival = host.now},
      host.now, host.actions);
  REQUIRE(host.ActionsOf(Kind::kLend).size() == 1);
  CHECK_FALSE(host.router.OnBorrowCancelled(host.HostIndexOf("b"), 5));
  while (host.router.permits().free_permits() > 0) {
    host.router.OnBorrow({.from = host.HostIndexOf("b"),
                          .borrow_id = 100 + host.router.lent_permits(),
                          .arrival = host.now},
                         host.now, host.actions);
  }
  host.router.OnBorrow(
      {.from = host.HostIndexOf("b"), .borrow_id = 6, .arrival = host.now},
      host.now, host.actions);
  CHECK(host.router.queued_borrows() == 1);
  CHECK(host.router.OnBorrowCancelled(host.HostIndexOf("b"), 6));
  CHECK(host.router.queued_borrows() == 0);
}

// Guards against losing a permit with its grant or return message.
TEST_CASE("A lent permit is queried until it is returned") {
  TestHost host("a");
  host.router.OnBorrow(
      {.from = host.HostIndexOf("b"), .borrow_id = 5, .arrival = host.now},
      host.now, host.actions);
  host.AdvanceTime(milliseconds(4100));
  const auto queries = host.ActionsOf(Kind::kQueryLent);
  REQUIRE(queries.size() == 2);
  host.router.OnPermitReturned(host.HostIndexOf("b"), queries[0].permit,
                               host.now, host.actions);
  CHECK(host.router.lent_permits() == 0);
  host.router.OnPermitReturned(host.HostIndexOf("b"), queries[0].permit,
                               host.now, host.actions);
  CHECK(host.router.permits().free_permits() ==
        host.router.permits().owned_permits());
}

// Guards against decisions of a host that was paused or isolated.
TEST_CASE("Without a lease no permit is granted, lent or used") {
  TestHost host("a");
  host.actions.clear();
  host.now += milliseconds(1001);
  CHECK(host.Acquire(100).kind == PermitAcquisition::Kind::kQueued);
  CHECK(host.ActionsOf(Kind::kSendBorrow).empty());
  host.router.OnBorrow(
      {.from = host.HostIndexOf("b"), .borrow_id = 5, .arrival = host.now},
      host.now, host.actions);
  CHECK(host.ActionsOf(Kind::kRefuseBorrow).size() == 1);
  // An acknowledgement of a message sent before the pause does not renew the
  // lease.
  host.router.SetLeaseRenewed(host.now - milliseconds(500), host.now,
                              host.actions);
  CHECK_FALSE(host.router.is_lease_valid(host.now));
  host.AdvanceTime(milliseconds(1500));
  CHECK(host.ActionsOf(Kind::kGrant).empty());
  host.AdvanceTime(milliseconds(200));
  CHECK(host.ActionsOf(Kind::kGrant).size() == 1);
}

// Guards against two suspects on one server, even if different hosts place
// them: slot 0 has one owner.
TEST_CASE("A crash suspect runs only on slot 0 of a server") {
  std::uint32_t granted = 0;
  for (const std::string name : {"a", "b", "c"}) {
    TestHost host(name, 4);
    for (std::uint64_t id = 1; id <= 10; ++id) {
      const PermitAcquisition result =
          host.router.Acquire({.id = id,
                               .is_suspect = true,
                               .arrival = host.now,
                               .deadline = host.now + seconds(30)},
                              host.now, host.actions);
      if (result.kind != PermitAcquisition::Kind::kGranted) continue;
      CHECK(result.permit.slot == 0);
      ++granted;
    }
  }
  CHECK(granted == 4);  // one per server, over all hosts
}

// Guards against queueing requests that cannot meet their deadline, and against
// a queue filled by requests over their agreement.
TEST_CASE("The queue refuses early and reserves space for agreed requests") {
  RouterOptions options;
  options.queue_limit = 10;
  std::mt19937_64 engine(1);
  ServiceRouter router(options, engine);
  RouterActions actions;
  TimePoint now{};
  router.ApplyConfiguration({.hosts = {HostId("a")},
                             .self = HostId("a"),
                             .servers = {{.id = ServerId("s"), .slots = 1}},
                             .lease_rule = PermitLeaseRule::kSingleHost},
                            now, actions);
  now += seconds(2);
  const auto acquire = [&](std::uint64_t id, AgreementCompliance agreement,
                           Duration deadline) {
    return router.Acquire({.id = id,
                           .agreement = agreement,
                           .arrival = now,
                           .deadline = now + deadline},
                          now, actions);
  };
  const Permit permit =
      acquire(1, AgreementCompliance::kWithin, seconds(9)).permit;
  router.Complete(permit,
                  {.result = AttemptObservation::Result::kAnswered,
                   .latency = milliseconds(100)},
                  now, actions);
  acquire(2, AgreementCompliance::kWithin, seconds(9));
  for (std::uint64_t id = 10; id < 15; ++id) {
    CHECK(acquire(id, AgreementCompliance::kOver, seconds(9)).kind ==
          PermitAcquisition::Kind::kQueued);
  }
  const PermitAcquisition over =
      acquire(15, AgreementCompliance::kOver, seconds(9));
  CHECK(over.kind == PermitAcquisition::Kind::kRefused);
  CHECK(over.reason == RefusalReason::kOverCapacity);
  CHECK(over.retry_after == milliseconds(500));
  for (std::uint64_t id = 20; id < 25; ++id) {
    CHECK(acquire(id, AgreementCompliance::kWithin, seconds(9)).kind ==
          PermitAcquisition::Kind::kQueued);
  }
  CHECK(acquire(30, AgreementCompliance::kWithin, seconds(9)).reason ==
        RefusalReason::kOverCapacity);
  CHECK(router.Cancel(24, now, actions));
  CHECK_FALSE(router.Cancel(24, now, actions));
  const PermitAcquisition late =
      acquire(31, AgreementCompliance::kWithin, milliseconds(300));
  CHECK(late.kind == PermitAcquisition::Kind::kRefused);
  CHECK(late.reason == RefusalReason::kDeadlineTooShort);
}

}  // namespace
}  // namespace dogwood
