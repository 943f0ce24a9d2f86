// Messages between the routers of different hosts. Runs on the control thread.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "Services/Entry/dispatch_waiter.h"
#include "Services/Entry/permit_dispatcher.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr auto kOneWayTimeout = std::chrono::seconds(1);

Json ServerStateJson(const ServiceId& service, const ServerId& server,
                     const ServerState& state) {
  return {{"service", service.value()},    {"server", server.value()},
          {"start", state.start_id},       {"step", state.step},
          {"limit", state.adaptive_limit}, {"down", state.is_down},
          {"draining", state.is_draining}, {"sequence", state.sequence}};
}

ServerState ServerStateOf(const Json& body) {
  ServerState state;
  state.start_id = body.value("start", "");
  state.step = body.value("step", 0U);
  state.adaptive_limit = body.value("limit", kMaximumSlots);
  state.is_down = body.value("down", false);
  state.is_draining = body.value("draining", false);
  state.sequence = body.value("sequence", std::uint64_t{0});
  return state;
}

// Messages and requests are built outside of coroutines: g++ 12 miscompiles
// braced lists in expressions that wait.
Json BorrowBody(const ServiceId& service, const ServerId& excluded,
                const RouterAction& action) {
  return {{"service", service.value()},
          {"excluded", excluded.value()},
          {"borrow", action.borrow_id},
          {"age_us",
           std::chrono::duration_cast<std::chrono::microseconds>(action.age)
               .count()},
          {"over", action.agreement == AgreementClass::kOver},
          {"suspect", action.is_suspect}};
}

Json RefusedBorrow() { return {{"lent", false}}; }
Json CancelledBorrow() { return {{"lent", false}, {"cancelled", true}}; }

Json LentBorrow(const ServerId& server, std::uint32_t slot,
                std::uint32_t free_hint) {
  return {{"lent", true},
          {"server", server.value()},
          {"slot", slot},
          {"free", free_hint}};
}

// The permit of a message; its server is kNoIndex when this host does not know
// it.
Permit PermitOf(const ServiceRouter& router, const Json& body) {
  Permit permit;
  permit.server = router.server_index(ServerId(body.value("server", "")));
  permit.slot = body.value("slot", 0U);
  permit.borrow_id = body.value("borrow", std::uint64_t{0});
  return permit;
}

}  // namespace

void PermitDispatcher::Start() {
  if (peers_ != nullptr) {
    RegisterHandlers();
    peers_->AddMemberListener(
        [this](const std::vector<Member>&) { ApplyMembers(); });
  }
  ApplyMembers();
  asio::co_spawn(control_, RunTicks(), asio::detached);
}

void PermitDispatcher::Stop() {
  is_stopped_ = true;
  timer_.cancel();
}

Json PermitDispatcher::PermitJson(const ServicePlacement& placement,
                                  const Permit& permit) const {
  return {{"service", placement.id.value()},
          {"server", placement.router.server_id(permit.server).value()},
          {"slot", permit.slot},
          {"borrow", permit.borrow_id}};
}

void PermitDispatcher::SendToPeers(ServicePlacement& placement,
                                   const RouterAction& action) {
  using Kind = RouterAction::Kind;
  const auto send_permit = [&](const char* kind) {
    asio::co_spawn(control_,
                   SendOneWay(placement.router.host_id(action.host), kind,
                              PermitJson(placement, action.permit)),
                   asio::detached);
  };
  switch (action.kind) {
    case Kind::kSendBorrow: {
      ServerId excluded;
      if (action.server != kNoIndex) {
        excluded = placement.router.server_id(action.server);
      }
      asio::co_spawn(
          control_,
          SendBorrow(placement, placement.router.host_id(action.host),
                     std::move(excluded), action),
          asio::detached);
      return;
    }
    case Kind::kCancelBorrow:
      asio::co_spawn(
          control_,
          SendOneWay(placement.router.host_id(action.host), "borrow-cancel",
                     {{"service", placement.id.value()},
                      {"borrow", action.borrow_id}}),
          asio::detached);
      return;
    case Kind::kLend:
    case Kind::kRefuseBorrow:
      AnswerBorrow(placement, action);
      return;
    case Kind::kReturnPermit:
      return send_permit("return");
    case Kind::kOrphanPermit:
      return send_permit("orphan");
    case Kind::kQueryLent:
      return send_permit("lent-query");
    case Kind::kSlotBusy:
      return send_permit("slot-busy");
    case Kind::kSlotFree:
      return send_permit("slot-free");
    case Kind::kServerState: {
      Json body = ServerStateJson(
          placement.id, placement.router.server_id(action.server),
          placement.router.backend(action.server).state());
      if (action.host != kNoIndex) {
        asio::co_spawn(control_,
                       SendOneWay(placement.router.host_id(action.host),
                                  "server-state", std::move(body)),
                       asio::detached);
      } else {
        asio::post(control_, [this, body = std::move(body)] {
          peers_->Broadcast("server-state", body);
        });
      }
      return;
    }
    case Kind::kGrant:
    case Kind::kRefuse:
      return;
  }
}

void PermitDispatcher::AnswerBorrow(ServicePlacement& placement,
                                    const RouterAction& action) {
  const bool is_lent = action.kind == RouterAction::Kind::kLend;
  ServerId server;
  if (is_lent) server = placement.router.server_id(action.permit.server);
  asio::post(control_, [this, host = placement.router.host_id(action.host),
                        action, is_lent, server = std::move(server)] {
    const auto found = borrow_answers_.find({host, action.borrow_id});
    if (found == borrow_answers_.end()) return;
    const std::shared_ptr<BorrowAnswer> answer = found->second;
    borrow_answers_.erase(found);
    answer->is_lent = is_lent;
    answer->server = server;
    answer->slot = action.permit.slot;
    answer->free_hint = action.free_hint;
    answer->signal.Notify();
  });
}

asio::awaitable<void> PermitDispatcher::SendBorrow(ServicePlacement& placement,
                                                   HostId to, ServerId excluded,
                                                   RouterAction action) {
  borrows_sent_.Add();
  Json body = BorrowBody(placement.id, excluded, action);
  const auto answer = co_await peers_->Call(to, "borrow", std::move(body),
                                            options_.router.grant_validity);
  // The router has forgotten a borrow that it cancelled. Reporting it as
  // refused would keep this host from asking the peer again for a while.
  if (answer.has_value() && answer.value().value("cancelled", false)) {
    borrows_cancelled_.Add();
    co_return;
  }
  const std::scoped_lock lock(placement.mutex);
  RouterActions actions;
  const TimePoint now = MonotonicNow();
  const HostIndex from = placement.router.host_index(to);
  const ServerIndex server =
      answer.has_value() && answer.value().value("lent", false)
          ? placement.router.server_index(
                ServerId(answer.value().value("server", "")))
          : kNoIndex;
  if (server != kNoIndex) {
    borrows_granted_.Add();
    placement.router.OnBorrowGranted(
        from, action.borrow_id, server, answer.value().value("slot", 0U),
        answer.value().value("free", 0U), now, actions);
  } else {
    // A lender whose response was lost asks for the permit again later.
    borrows_refused_.Add();
    placement.router.OnBorrowRefused(from, action.borrow_id, now, actions);
  }
  CarryOut(placement, actions);
}

asio::awaitable<void> PermitDispatcher::SendOneWay(HostId to, std::string kind,
                                                   Json body) {
  const TimePoint start = MonotonicNow();
  const auto ignored = co_await peers_->Call(std::move(to), std::move(kind),
                                             std::move(body), kOneWayTimeout);
  static_cast<void>(ignored);
  peer_call_duration_.Record(MonotonicNow() - start);
}

// Runs `call` on the service of a message under its lock and carries out the
// actions. Messages of services that this host does not know yet are dropped.
template <typename Call>
void PermitDispatcher::WithService(const Json& body, Call call) {
  ServicePlacement* placement =
      FindService(ServiceId(body.value("service", "")));
  if (placement == nullptr) return;
  const std::scoped_lock lock(placement->mutex);
  RouterActions actions;
  call(placement->router, MonotonicNow(), actions);
  CarryOut(*placement, actions);
}

asio::awaitable<Result<Json>> PermitDispatcher::HandleBorrow(HostId from,
                                                             Json body) {
  const std::uint64_t id = body.value("borrow", std::uint64_t{0});
  auto answer = std::make_shared<BorrowAnswer>();
  bool is_known = false;
  borrow_answers_[{from, id}] = answer;
  WithService(body, [&](ServiceRouter& router, TimePoint now,
                        RouterActions& actions) {
    BorrowRequest borrow;
    borrow.from = router.host_index(from);
    if (borrow.from == kNoIndex) return;
    is_known = true;
    borrow.borrow_id = id;
    borrow.arrival =
        now - std::chrono::microseconds(body.value("age_us", std::int64_t{0}));
    borrow.agreement = body.value("over", false) ? AgreementClass::kOver
                                                 : AgreementClass::kWithin;
    borrow.is_suspect = body.value("suspect", false);
    borrow.excluded = router.server_index(ServerId(body.value("excluded", "")));
    router.OnBorrow(borrow, now, actions);
  });
  if (!is_known) {
    borrow_answers_.erase({from, id});
    co_return RefusedBorrow();
  }
  co_await answer->signal.Wait();
  if (answer->is_cancelled) co_return CancelledBorrow();
  if (!answer->is_lent) co_return RefusedBorrow();
  co_return LentBorrow(answer->server, answer->slot, answer->free_hint);
}

void PermitDispatcher::RegisterHandlers() {
  peers_->Handle("borrow", [this](HostId from, Json body) {
    return HandleBorrow(std::move(from), std::move(body));
  });
  // Registers a message that is answered at once with an empty object.
  const auto handle = [this](const char* kind, auto apply) {
    peers_->Handle(
        kind,
        [this, apply](HostId from, Json body) -> asio::awaitable<Result<Json>> {
          WithService(body, [&](ServiceRouter& router, TimePoint now,
                                RouterActions& actions) {
            const HostIndex host = router.host_index(from);
            if (host != kNoIndex) apply(router, host, body, now, actions);
          });
          co_return Json::object();
        });
  };
  handle("return", [](ServiceRouter& router, HostIndex host, const Json& body,
                      TimePoint now, RouterActions& actions) {
    router.OnPermitReturned(host, PermitOf(router, body), now, actions);
  });
  handle("orphan", [](ServiceRouter& router, HostIndex host, const Json& body,
                      TimePoint now, RouterActions& actions) {
    router.OnPermitOrphaned(host, PermitOf(router, body), now, actions);
  });
  handle("lent-query",
         [](ServiceRouter& router, HostIndex host, const Json& body,
            TimePoint now, RouterActions& actions) {
           const Permit permit = PermitOf(router, body);
           if (permit.server != kNoIndex) {
             router.OnLentQuery(host, permit, now, actions);
           }
         });
  handle("slot-busy", [](ServiceRouter& router, HostIndex host,
                         const Json& body, TimePoint, RouterActions&) {
    const Permit permit = PermitOf(router, body);
    if (permit.server != kNoIndex) {
      router.OnSlotBusy(host, permit.server, permit.slot);
    }
  });
  handle("slot-free",
         [](ServiceRouter& router, HostIndex host, const Json& body,
            TimePoint now, RouterActions& actions) {
           const Permit permit = PermitOf(router, body);
           if (permit.server != kNoIndex) {
             router.OnSlotFree(host, permit.server, permit.slot, now, actions);
           }
         });
  handle("server-state", [](ServiceRouter& router, HostIndex host,
                            const Json& body, TimePoint now,
                            RouterActions& actions) {
    const ServerIndex server =
        router.server_index(ServerId(body.value("server", "")));
    if (server != kNoIndex) {
      router.OnServerState(host, server, ServerStateOf(body), now, actions);
    }
  });
  peers_->Handle(
      "borrow-cancel",
      [this](HostId from, Json body) -> asio::awaitable<Result<Json>> {
        const std::uint64_t id = body.value("borrow", std::uint64_t{0});
        bool was_parked = false;
        WithService(body,
                    [&](ServiceRouter& router, TimePoint, RouterActions&) {
                      const HostIndex host = router.host_index(from);
                      if (host == kNoIndex) return;
                      was_parked = router.OnBorrowCancelled(host, id);
                    });
        // A permit that was lent before the cancellation arrived must reach the
        // borrower, which returns it; otherwise it stays out until the lender
        // asks for it seconds later.
        const auto found = borrow_answers_.find({from, id});
        if (was_parked && found != borrow_answers_.end()) {
          const std::shared_ptr<BorrowAnswer> answer = found->second;
          borrow_answers_.erase(found);
          answer->is_cancelled = true;
          answer->signal.Notify();
        }
        co_return Json::object();
      });
  peers_->Handle(
      "suspects", [this](HostId, Json body) -> asio::awaitable<Result<Json>> {
        const std::scoped_lock lock(suspects_mutex_);
        for (const Json& item : body.value("records", Json::array())) {
          SuspectRecord record;
          record.fingerprint = item.value("fingerprint", std::uint64_t{0});
          record.crashes = {item.value("first", std::uint64_t{0}),
                            item.value("second", std::uint64_t{0})};
          record.is_cleared = item.value("cleared", false);
          suspects_.Merge(record, MonotonicNow());
        }
        co_return Json::object();
      });
}

void PermitDispatcher::BroadcastSuspects(
    const CrashSuspects::Records& records) {
  if (peers_ == nullptr) return;
  Json items = Json::array();
  for (const SuspectRecord& record : records) {
    items.push_back({{"fingerprint", record.fingerprint},
                     {"first", record.crashes[0]},
                     {"second", record.crashes[1]},
                     {"cleared", record.is_cleared}});
  }
  asio::post(control_, [this, items = std::move(items)] {
    peers_->Broadcast("suspects", {{"records", items}});
  });
}

}  // namespace dogwood
