// Borrowing between hosts, message by message.
#include <doctest/doctest.h>

#include <algorithm>

#include "Libraries/Routing/routing.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = RouterAction::Kind;

// A router whose host has peers and a valid lease.
struct Peer {
  explicit Peer(const std::string& name, int servers = 1)
      : engine(1), router({}, engine) {
    fleet.self = HostId(name);
    fleet.hosts = {HostId("a"), HostId("b"), HostId("c")};
    for (int index = 0; index < servers; ++index) {
      fleet.servers.push_back({.id = ServerId("s" + std::to_string(index)),
                               .zone = ZoneId("z"),
                               .slots = 12});
    }
    router.ApplyFleet(fleet, now, actions);
    Pass(seconds(2));
  }
  void Pass(Duration time) {
    const TimePoint end = now + time;
    while (now < end) {
      now = std::min(end, now + milliseconds(100));
      router.SetLeaseRenewed(now, now, actions);
      router.Tick(now, actions);
    }
  }
  AcquireResult Acquire(std::uint64_t id) {
    return router.Acquire(
        {.id = id, .arrival = now, .deadline = now + seconds(30)}, now,
        actions);
  }
  // Takes all own permits, then queues one request.
  std::vector<Permit> Fill() {
    std::vector<Permit> held;
    while (router.permits().free_permits() > 0) {
      held.push_back(Acquire(next++).permit);
    }
    actions.clear();
    return held;
  }
  std::vector<RouterAction> Of(Kind kind) const {
    std::vector<RouterAction> found;
    std::copy_if(
        actions.begin(), actions.end(), std::back_inserter(found),
        [&](const RouterAction& action) { return action.kind == kind; });
    return found;
  }
  HostIndex Index(const std::string& name) const {
    return router.host_index(HostId(name));
  }

  std::mt19937_64 engine;
  ServiceRouter router;
  RouterFleet fleet;
  RouterActions actions;
  TimePoint now{};
  std::uint64_t next = 1;
};

// Guards against a second grant that is kept: a borrower that no longer needs a
// permit returns it at once, and uses a lent permit for one request only.
TEST_CASE("The first grant is used and any other returned") {
  Peer peer("a");
  peer.Fill();
  CHECK(peer.Acquire(100).kind == AcquireResult::Kind::kQueued);
  const auto borrows = peer.Of(Kind::kSendBorrow);
  REQUIRE(borrows.size() == 2);
  CHECK(borrows[0].host != borrows[1].host);
  peer.actions.clear();
  peer.router.OnBorrowGranted(borrows[0].host, borrows[0].borrow_id, 0, 3, 1,
                              peer.now, peer.actions);
  REQUIRE(peer.Of(Kind::kGrant).size() == 1);
  const Permit permit = peer.Of(Kind::kGrant)[0].permit;
  CHECK(permit.is_lent());
  REQUIRE(peer.Of(Kind::kCancelBorrow).size() == 1);
  CHECK(peer.Of(Kind::kCancelBorrow)[0].borrow_id == borrows[1].borrow_id);
  peer.actions.clear();
  peer.router.OnBorrowGranted(borrows[1].host, borrows[1].borrow_id, 0, 4, 0,
                              peer.now, peer.actions);
  REQUIRE(peer.actions.size() == 1);
  CHECK(peer.actions[0].kind == Kind::kReturnPermit);
  CHECK(peer.actions[0].permit.slot == 4);
  // Another request waits, yet the lent permit goes back to its owner.
  CHECK(peer.Acquire(101).kind == AcquireResult::Kind::kQueued);
  peer.actions.clear();
  peer.router.Complete(permit,
                       {.result = RouterObservation::Result::kAnswered,
                        .latency = milliseconds(10)},
                       peer.now, peer.actions);
  CHECK(peer.Of(Kind::kGrant).empty());
  REQUIRE(peer.Of(Kind::kReturnPermit).size() == 1);
  CHECK(peer.Of(Kind::kReturnPermit)[0].host == borrows[0].host);
}

// Guards against use of a grant that the lender may have reclaimed.
TEST_CASE("A grant that is too late is returned") {
  Peer peer("a");
  peer.Fill();
  peer.Acquire(100);
  const auto borrow = peer.Of(Kind::kSendBorrow)[0];
  peer.Pass(milliseconds(1401));
  peer.actions.clear();
  peer.router.OnBorrowGranted(borrow.host, borrow.borrow_id, 0, 3, 1, peer.now,
                              peer.actions);
  CHECK(peer.Of(Kind::kGrant).empty());
  CHECK(peer.Of(Kind::kReturnPermit).size() == 1);
}

// Guards against a grant that arrives after the borrower said that it does not
// hold the permit.
TEST_CASE("A grant after the answer to a query is returned") {
  Peer peer("a");
  peer.Fill();
  peer.Acquire(100);
  const auto borrow = peer.Of(Kind::kSendBorrow)[0];
  peer.actions.clear();
  const Permit permit{.server = 0, .slot = 3, .borrow_id = borrow.borrow_id};
  peer.router.OnLentQuery(borrow.host, permit, peer.now, peer.actions);
  CHECK(peer.Of(Kind::kReturnPermit).size() == 1);
  peer.actions.clear();
  peer.router.OnBorrowGranted(borrow.host, borrow.borrow_id, 0, 3, 1, peer.now,
                              peer.actions);
  CHECK(peer.Of(Kind::kGrant).empty());
  CHECK(peer.Of(Kind::kReturnPermit).size() == 1);
}

// Guards against borrowing around the queue: a lender with older requests of
// its own serves them first.
TEST_CASE("A freed permit goes to the older request") {
  for (const bool is_borrower_older : {true, false}) {
    CAPTURE(is_borrower_older);
    Peer peer("a");
    const std::vector<Permit> held = peer.Fill();
    const TimePoint early = peer.now;
    peer.Pass(milliseconds(100));
    const Duration offset = milliseconds(is_borrower_older ? -50 : 50);
    peer.Acquire(100);
    const BorrowRequest borrow{.from = peer.Index("b"),
                               .borrow_id = 77,
                               .arrival = early + milliseconds(100) + offset};
    peer.router.OnBorrow(borrow, peer.now, peer.actions);
    CHECK(peer.Of(Kind::kLend).empty());
    peer.router.Complete(held[0], {}, peer.now, peer.actions);
    CHECK(peer.Of(Kind::kLend).size() == (is_borrower_older ? 1 : 0));
    CHECK(peer.Of(Kind::kGrant).size() == (is_borrower_older ? 0 : 1));
  }
}

// Guards against permits that stay lent to a host that is gone, and against
// their use before the takeover delay or before there is room.
TEST_CASE("A permit lent to a vanished host comes back late and with room") {
  Peer peer("a");
  // Two hosts, so that every gained slot comes from the one that vanishes.
  peer.fleet.hosts = {HostId("a"), HostId("b")};
  peer.router.ApplyFleet(peer.fleet, peer.now, peer.actions);
  peer.Pass(seconds(12));
  const std::uint32_t before = peer.router.permits().free_permits();
  peer.router.OnBorrow(
      {.from = peer.Index("b"), .borrow_id = 5, .arrival = peer.now}, peer.now,
      peer.actions);
  REQUIRE(peer.Of(Kind::kLend).size() == 1);
  peer.fleet.hosts = {HostId("a")};
  peer.router.ApplyFleet(peer.fleet, peer.now, peer.actions);
  peer.Pass(milliseconds(1400));
  CHECK(peer.router.lent_permits() == 1);
  peer.Pass(milliseconds(200));
  CHECK(peer.router.lent_permits() == 0);
  // All slots gained from the vanished host and the reclaimed one need room.
  CHECK(peer.router.permits().free_permits() == before - 1);
  peer.Pass(seconds(11));
  CHECK(peer.router.permits().free_permits() ==
        peer.router.permits().owned_permits());
}

// Guards against a lent permit that nobody returns: a cancellation that crosses
// the grant must not end the borrow at the lender.
TEST_CASE("A cancelled borrow is forgotten only while it is parked") {
  Peer peer("a");
  peer.router.OnBorrow(
      {.from = peer.Index("b"), .borrow_id = 5, .arrival = peer.now}, peer.now,
      peer.actions);
  REQUIRE(peer.Of(Kind::kLend).size() == 1);
  CHECK_FALSE(peer.router.OnBorrowCancelled(peer.Index("b"), 5));
  while (peer.router.permits().free_permits() > 0) {
    peer.router.OnBorrow({.from = peer.Index("b"),
                          .borrow_id = 100 + peer.router.lent_permits(),
                          .arrival = peer.now},
                         peer.now, peer.actions);
  }
  peer.router.OnBorrow(
      {.from = peer.Index("b"), .borrow_id = 6, .arrival = peer.now}, peer.now,
      peer.actions);
  CHECK(peer.router.parked_borrows() == 1);
  CHECK(peer.router.OnBorrowCancelled(peer.Index("b"), 6));
  CHECK(peer.router.parked_borrows() == 0);
}

// Guards against permits lost with a grant or return.
TEST_CASE("A lent permit is asked for until it comes back") {
  Peer peer("a");
  peer.router.OnBorrow(
      {.from = peer.Index("b"), .borrow_id = 5, .arrival = peer.now}, peer.now,
      peer.actions);
  peer.Pass(milliseconds(4100));
  const auto queries = peer.Of(Kind::kQueryLent);
  REQUIRE(queries.size() == 2);
  peer.router.OnPermitReturned(peer.Index("b"), queries[0].permit, peer.now,
                               peer.actions);
  CHECK(peer.router.lent_permits() == 0);
  peer.router.OnPermitReturned(peer.Index("b"), queries[0].permit, peer.now,
                               peer.actions);
  CHECK(peer.router.permits().free_permits() ==
        peer.router.permits().owned_permits());
}

// Guards against decisions of a host that was paused or cut off.
TEST_CASE("Without a lease nothing is granted, lent or used") {
  Peer peer("a");
  peer.actions.clear();
  peer.now += milliseconds(1001);
  CHECK(peer.Acquire(100).kind == AcquireResult::Kind::kQueued);
  CHECK(peer.Of(Kind::kSendBorrow).empty());
  peer.router.OnBorrow(
      {.from = peer.Index("b"), .borrow_id = 5, .arrival = peer.now}, peer.now,
      peer.actions);
  CHECK(peer.Of(Kind::kRefuseBorrow).size() == 1);
  // An acknowledgement of a message sent before the pause renews nothing.
  peer.router.SetLeaseRenewed(peer.now - milliseconds(500), peer.now,
                              peer.actions);
  CHECK_FALSE(peer.router.is_lease_valid(peer.now));
  peer.Pass(milliseconds(1500));
  CHECK(peer.Of(Kind::kGrant).empty());
  peer.Pass(milliseconds(200));
  CHECK(peer.Of(Kind::kGrant).size() == 1);
}

// Guards against two suspects on one server, whichever hosts place them: the
// first slot has one owner.
TEST_CASE("A crash suspect uses only the first slot of a server") {
  std::uint32_t granted = 0;
  for (const std::string name : {"a", "b", "c"}) {
    Peer peer(name, 4);
    for (std::uint64_t id = 1; id <= 10; ++id) {
      const AcquireResult result =
          peer.router.Acquire({.id = id,
                               .is_suspect = true,
                               .arrival = peer.now,
                               .deadline = peer.now + seconds(30)},
                              peer.now, peer.actions);
      if (result.kind != AcquireResult::Kind::kGranted) continue;
      CHECK(result.permit.slot == 0);
      ++granted;
    }
  }
  CHECK(granted == 4);  // one per server over all hosts
}

// Guards against requests that wait only to miss their deadline, and against a
// queue that requests above their agreement fill.
TEST_CASE("The queue refuses early and keeps room for agreed requests") {
  RouterOptions options;
  options.queue_limit = 10;
  std::mt19937_64 engine(1);
  ServiceRouter router(options, engine);
  RouterActions actions;
  TimePoint now{};
  router.ApplyFleet({.hosts = {HostId("a")},
                     .self = HostId("a"),
                     .servers = {{.id = ServerId("s"), .slots = 1}},
                     .lease_rule = LeaseRule::kLoneHost},
                    now, actions);
  now += seconds(2);
  const auto acquire = [&](std::uint64_t id, AgreementClass agreement,
                           Duration deadline) {
    return router.Acquire({.id = id,
                           .agreement = agreement,
                           .arrival = now,
                           .deadline = now + deadline},
                          now, actions);
  };
  const Permit permit = acquire(1, AgreementClass::kWithin, seconds(9)).permit;
  router.Complete(permit,
                  {.result = RouterObservation::Result::kAnswered,
                   .latency = milliseconds(100)},
                  now, actions);
  acquire(2, AgreementClass::kWithin, seconds(9));
  for (std::uint64_t id = 10; id < 15; ++id) {
    CHECK(acquire(id, AgreementClass::kOver, seconds(9)).kind ==
          AcquireResult::Kind::kQueued);
  }
  const AcquireResult over = acquire(15, AgreementClass::kOver, seconds(9));
  CHECK(over.kind == AcquireResult::Kind::kRefused);
  CHECK(over.reason == RefusalReason::kOverCapacity);
  CHECK(over.retry_after == milliseconds(500));
  for (std::uint64_t id = 20; id < 25; ++id) {
    CHECK(acquire(id, AgreementClass::kWithin, seconds(9)).kind ==
          AcquireResult::Kind::kQueued);
  }
  CHECK(acquire(30, AgreementClass::kWithin, seconds(9)).reason ==
        RefusalReason::kOverCapacity);
  CHECK(router.Cancel(24, now, actions));
  CHECK_FALSE(router.Cancel(24, now, actions));
  const AcquireResult late =
      acquire(31, AgreementClass::kWithin, milliseconds(300));
  CHECK(late.kind == AcquireResult::Kind::kRefused);
  CHECK(late.reason == RefusalReason::kDeadlineTooShort);
}

}  // namespace
}  // namespace dogwood
