// Messages that the permit dispatchers of different hosts exchange.
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

constexpr auto kNotificationTimeout = std::chrono::seconds(1);

Json ServerStateBody(const ServiceId& service, const ServerId& server,
                     const SharedServerState& state) {
  return {{"service", service.value()},    {"server", server.value()},
          {"start", state.start_id},       {"step", state.step},
          {"limit", state.adaptive_limit}, {"down", state.is_down},
          {"draining", state.is_draining}, {"sequence", state.sequence}};
}

SharedServerState ParseSharedServerState(const Json& body) {
  SharedServerState state;
  state.start_id = body.value("start", "");
  state.step = body.value("step", 0U);
  state.adaptive_limit = body.value("limit", kMaximumSlots);
  state.is_down = body.value("down", false);
  state.is_draining = body.value("draining", false);
  state.sequence = body.value("sequence", std::uint64_t{0});
  return state;
}

// Message bodies are built outside of coroutines because g++ 12 miscompiles
// braced initializer lists in expressions that contain co_await.
Json BorrowBody(const ServiceId& service, const ServerId& excluded,
                const RouterAction& action) {
  return {{"service", service.value()},
          {"excluded", excluded.value()},
          {"borrow", action.borrow_id},
          {"age_us",
           std::chrono::duration_cast<std::chrono::microseconds>(action.age)
               .count()},
          {"over", action.agreement == AgreementCompliance::kOver},
          {"suspect", action.is_suspect}};
}

Json RefusedBorrowBody() { return {{"lent", false}}; }
Json CancelledBorrowBody() { return {{"lent", false}, {"cancelled", true}}; }

Json LentBorrowBody(const ServerId& server, std::uint32_t slot,
                    std::uint32_t free_hint) {
  return {{"lent", true},
          {"server", server.value()},
          {"slot", slot},
          {"free", free_hint}};
}

// Parses the permit in a message. Its server is kInvalidIndex if the server is
// unknown to this host.
Permit ParsePermit(const ServiceRouter& router, const Json& body) {
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
        [this](const std::vector<Member>&) { ApplyMembership(); });
  }
  ApplyMembership();
  asio::co_spawn(control_executor_, RunPeriodicTasks(), asio::detached);
}

void PermitDispatcher::Stop() {
  is_stopped_ = true;
  timer_.cancel();
}

Json PermitDispatcher::PermitBody(const ServiceRoutingState& service_state,
                                  const Permit& permit) const {
  return {{"service", service_state.id.value()},
          {"server", service_state.router.server_id(permit.server).value()},
          {"slot", permit.slot},
          {"borrow", permit.borrow_id}};
}

void PermitDispatcher::SendToPeers(ServiceRoutingState& service_state,
                                   const RouterAction& action) {
  using Kind = RouterAction::Kind;
  const auto send_permit = [&](const char* kind) {
    asio::co_spawn(
        control_executor_,
        SendNotification(service_state.router.host_id(action.host), kind,
                         PermitBody(service_state, action.permit)),
        asio::detached);
  };
  switch (action.kind) {
    case Kind::kSendBorrow: {
      ServerId excluded;
      if (action.server != kInvalidIndex) {
        excluded = service_state.router.server_id(action.server);
      }
      asio::co_spawn(
          control_executor_,
          SendBorrow(service_state, service_state.router.host_id(action.host),
                     std::move(excluded), action),
          asio::detached);
      return;
    }
    case Kind::kCancelBorrow:
      asio::co_spawn(control_executor_,
                     SendNotification(service_state.router.host_id(action.host),
                                      "borrow-cancel",
                                      {{"service", service_state.id.value()},
                                       {"borrow", action.borrow_id}}),
                     asio::detached);
      return;
    case Kind::kLend:
    case Kind::kRefuseBorrow:
      ResolveBorrow(service_state, action);
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
      Json body = ServerStateBody(
          service_state.id, service_state.router.server_id(action.server),
          service_state.router.backend(action.server).state());
      if (action.host != kInvalidIndex) {
        asio::co_spawn(
            control_executor_,
            SendNotification(service_state.router.host_id(action.host),
                             "server-state", std::move(body)),
            asio::detached);
      } else {
        asio::post(control_executor_, [this, body = std::move(body)] {
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

void PermitDispatcher::ResolveBorrow(ServiceRoutingState& service_state,
                                     const RouterAction& action) {
  const bool is_lent = action.kind == RouterAction::Kind::kLend;
  ServerId server;
  if (is_lent) server = service_state.router.server_id(action.permit.server);
  asio::post(
      control_executor_,
      [this, host = service_state.router.host_id(action.host), action, is_lent,
       server = std::move(server)] {
        const auto found = pending_borrows_.find({host, action.borrow_id});
        if (found == pending_borrows_.end()) return;
        const std::shared_ptr<BorrowAnswer> answer = found->second;
        pending_borrows_.erase(found);
        answer->is_lent = is_lent;
        answer->server = server;
        answer->slot = action.permit.slot;
        answer->free_hint = action.free_hint;
        answer->signal.Notify();
      });
}

asio::awaitable<void> PermitDispatcher::SendBorrow(
    ServiceRoutingState& service_state, HostId to, ServerId excluded,
    RouterAction action) {
  borrows_sent_.Add();
  Json body = BorrowBody(service_state.id, excluded, action);
  const auto answer = co_await peers_->Call(to, "borrow", std::move(body),
                                            options_.router.grant_validity);
  // The router has already dropped a borrow request that it cancelled.
  // Reporting it as refused would delay the next borrow request to this peer.
  if (answer.has_value() && answer.value().value("cancelled", false)) {
    borrows_cancelled_.Add();
    co_return;
  }
  const std::scoped_lock lock(service_state.mutex);
  RouterActions actions;
  const TimePoint now = MonotonicNow();
  const HostIndex from = service_state.router.host_index(to);
  const ServerIndex server =
      answer.has_value() && answer.value().value("lent", false)
          ? service_state.router.server_index(
                ServerId(answer.value().value("server", "")))
          : kInvalidIndex;
  if (server != kInvalidIndex) {
    borrows_granted_.Add();
    service_state.router.OnBorrowGranted(
        from, action.borrow_id, server, answer.value().value("slot", 0U),
        answer.value().value("free", 0U), now, actions);
  } else {
    // If the response was lost, the lender later queries the lent permit.
    borrows_refused_.Add();
    service_state.router.OnBorrowRefused(from, action.borrow_id, now, actions);
  }
  ExecuteActions(service_state, actions);
}

asio::awaitable<void> PermitDispatcher::SendNotification(HostId to,
                                                         std::string kind,
                                                         Json body) {
  const TimePoint start = MonotonicNow();
  const auto ignored = co_await peers_->Call(
      std::move(to), std::move(kind), std::move(body), kNotificationTimeout);
  static_cast<void>(ignored);
  peer_call_duration_.Record(MonotonicNow() - start);
}

// Calls `call` with the router of the message's service under the service's
// lock and executes the resulting actions. Drops messages for unknown services.
template <typename Call>
void PermitDispatcher::RunOnRouter(const Json& body, Call call) {
  ServiceRoutingState* service_state =
      FindService(ServiceId(body.value("service", "")));
  if (service_state == nullptr) return;
  const std::scoped_lock lock(service_state->mutex);
  RouterActions actions;
  call(service_state->router, MonotonicNow(), actions);
  ExecuteActions(*service_state, actions);
}

asio::awaitable<Result<Json>> PermitDispatcher::HandleBorrow(HostId from,
                                                             Json body) {
  const std::uint64_t id = body.value("borrow", std::uint64_t{0});
  auto answer = std::make_shared<BorrowAnswer>();
  bool is_known = false;
  pending_borrows_[{from, id}] = answer;
  RunOnRouter(body, [&](ServiceRouter& router, TimePoint now,
                        RouterActions& actions) {
    BorrowRequest borrow;
    borrow.from = router.host_index(from);
    if (borrow.from == kInvalidIndex) return;
    is_known = true;
    borrow.borrow_id = id;
    borrow.arrival =
        now - std::chrono::microseconds(body.value("age_us", std::int64_t{0}));
    borrow.agreement = body.value("over", false) ? AgreementCompliance::kOver
                                                 : AgreementCompliance::kWithin;
    borrow.is_suspect = body.value("suspect", false);
    borrow.excluded = router.server_index(ServerId(body.value("excluded", "")));
    router.OnBorrow(borrow, now, actions);
  });
  if (!is_known) {
    pending_borrows_.erase({from, id});
    co_return RefusedBorrowBody();
  }
  co_await answer->signal.Wait();
  if (answer->is_cancelled) co_return CancelledBorrowBody();
  if (!answer->is_lent) co_return RefusedBorrowBody();
  co_return LentBorrowBody(answer->server, answer->slot, answer->free_hint);
}

void PermitDispatcher::RegisterHandlers() {
  peers_->Handle("borrow", [this](HostId from, Json body) {
    return HandleBorrow(std::move(from), std::move(body));
  });
  // Registers a handler that replies with an empty object immediately.
  const auto handle = [this](const char* kind, auto apply) {
    peers_->Handle(
        kind,
        [this, apply](HostId from, Json body) -> asio::awaitable<Result<Json>> {
          RunOnRouter(body, [&](ServiceRouter& router, TimePoint now,
                                RouterActions& actions) {
            const HostIndex host = router.host_index(from);
            if (host != kInvalidIndex) apply(router, host, body, now, actions);
          });
          co_return Json::object();
        });
  };
  handle("return", [](ServiceRouter& router, HostIndex host, const Json& body,
                      TimePoint now, RouterActions& actions) {
    router.OnPermitReturned(host, ParsePermit(router, body), now, actions);
  });
  handle("orphan", [](ServiceRouter& router, HostIndex host, const Json& body,
                      TimePoint now, RouterActions& actions) {
    router.OnPermitOrphaned(host, ParsePermit(router, body), now, actions);
  });
  handle("lent-query",
         [](ServiceRouter& router, HostIndex host, const Json& body,
            TimePoint now, RouterActions& actions) {
           const Permit permit = ParsePermit(router, body);
           if (permit.server != kInvalidIndex) {
             router.OnLentQuery(host, permit, now, actions);
           }
         });
  handle("slot-busy", [](ServiceRouter& router, HostIndex host,
                         const Json& body, TimePoint, RouterActions&) {
    const Permit permit = ParsePermit(router, body);
    if (permit.server != kInvalidIndex) {
      router.OnSlotBusy(host, permit.server, permit.slot);
    }
  });
  handle("slot-free",
         [](ServiceRouter& router, HostIndex host, const Json& body,
            TimePoint now, RouterActions& actions) {
           const Permit permit = ParsePermit(router, body);
           if (permit.server != kInvalidIndex) {
             router.OnSlotFree(host, permit.server, permit.slot, now, actions);
           }
         });
  handle("server-state",
         [](ServiceRouter& router, HostIndex host, const Json& body,
            TimePoint now, RouterActions& actions) {
           const ServerIndex server =
               router.server_index(ServerId(body.value("server", "")));
           if (server != kInvalidIndex) {
             router.OnServerState(host, server, ParseSharedServerState(body),
                                  now, actions);
           }
         });
  peers_->Handle(
      "borrow-cancel",
      [this](HostId from, Json body) -> asio::awaitable<Result<Json>> {
        const std::uint64_t id = body.value("borrow", std::uint64_t{0});
        bool was_queued = false;
        RunOnRouter(body,
                    [&](ServiceRouter& router, TimePoint, RouterActions&) {
                      const HostIndex host = router.host_index(from);
                      if (host == kInvalidIndex) return;
                      was_queued = router.OnBorrowCancelled(host, id);
                    });
        // If the permit was lent before the cancellation arrived, the reply
        // must still reach the borrower, which then returns the permit.
        // Otherwise the permit stays unused until the lender queries it,
        // seconds later.
        const auto found = pending_borrows_.find({from, id});
        if (was_queued && found != pending_borrows_.end()) {
          const std::shared_ptr<BorrowAnswer> answer = found->second;
          pending_borrows_.erase(found);
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
          poison_request_detector_.Merge(record, MonotonicNow());
        }
        co_return Json::object();
      });
}

void PermitDispatcher::BroadcastSuspects(
    const PoisonRequestDetector::Records& records) {
  if (peers_ == nullptr) return;
  Json items = Json::array();
  for (const SuspectRecord& record : records) {
    items.push_back({{"fingerprint", record.fingerprint},
                     {"first", record.crashes[0]},
                     {"second", record.crashes[1]},
                     {"cleared", record.is_cleared}});
  }
  asio::post(control_executor_, [this, items = std::move(items)] {
    peers_->Broadcast("suspects", {{"records", items}});
  });
}

}  // namespace dogwood
