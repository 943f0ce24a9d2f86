// Messages between the routers of different hosts, and the periodic work of the
// permit dispatcher. Runs on the control thread.
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

#include "Libraries/Http/http.h"
#include "Services/Entry/dispatch_waiter.h"
#include "Services/Entry/permit_dispatcher.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr auto kTickPeriod = std::chrono::milliseconds(10);
constexpr auto kOneWayTimeout = std::chrono::seconds(1);
constexpr auto kProbeTimeout = std::chrono::milliseconds(500);

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

HttpRequest HealthRequest() { return {.target = "/health"}; }

// The permit of a message; its server is kNoIndex when this host does not know
// it.
Permit PermitOf(const ServiceRouter& router, const Json& body) {
  Permit permit;
  permit.server = router.server_index(ServerId(body.value("server", "")));
  permit.slot = body.value("slot", 0U);
  permit.borrow_id = body.value("borrow", std::uint64_t{0});
  return permit;
}

std::optional<std::uint32_t> NumberOf(
    const std::optional<std::string_view>& text) {
  std::uint32_t value = 0;
  if (!text.has_value()) return std::nullopt;
  const auto [end, error] =
      std::from_chars(text->data(), text->data() + text->size(), value);
  if (error != std::errc() || end != text->data() + text->size()) {
    return std::nullopt;
  }
  return value;
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

// The router drops parked borrows of hosts that are gone without an answer.
void PermitDispatcher::ForgetVanishedBorrowers() {
  std::vector<std::shared_ptr<BorrowAnswer>> vanished;
  std::erase_if(borrow_answers_, [&](const auto& item) {
    if (std::binary_search(live_hosts_.begin(), live_hosts_.end(),
                           item.first.first)) {
      return false;
    }
    vanished.push_back(item.second);
    return true;
  });
  for (const auto& answer : vanished) {
    answer->is_cancelled = true;
    answer->signal.Notify();
  }
}

void PermitDispatcher::SetHostList(const HostListView& view) {
  const bool has_changed = view.has_other_hosts != host_list_.has_other_hosts;
  host_list_ = view;
  if (has_changed) ApplyMembers();
}

void PermitDispatcher::ApplyMembers() {
  const TimePoint now = MonotonicNow();
  live_hosts_ = {options_.host};
  const LeaseRule lease_rule = peers_ != nullptr && host_list_.has_other_hosts
                                   ? LeaseRule::kRequired
                                   : LeaseRule::kLoneHost;
  if (peers_ != nullptr) {
    for (const Member& member : peers_->members()) {
      if (member.state != MemberState::kLeaving) {
        live_hosts_.push_back(member.host);
      }
    }
  }
  std::sort(live_hosts_.begin(), live_hosts_.end());
  ForgetVanishedBorrowers();
  probe_budget_.ApplyHosts(live_hosts_, options_.host, lease_rule, now);
  const ZoneLimits limits(fleet_);
  std::vector<ServicePlacement*> placements;
  {
    const std::scoped_lock lock(services_mutex_);
    for (auto& [id, placement] : services_)
      placements.push_back(placement.get());
  }
  for (ServicePlacement* placement : placements) {
    const std::scoped_lock lock(placement->mutex);
    placement->SetLiveHosts(static_cast<std::uint32_t>(live_hosts_.size()));
    RouterActions actions;
    RouterFleet fleet = MakeRouterFleet(fleet_, limits, placement->id,
                                        live_hosts_, options_.host, lease_rule);
    if (host_list_.has_earlier_incarnation) {
      fleet.start_rule = StartRule::kRestartedHost;
    }
    placement->router.ApplyFleet(fleet, now, actions);
    CarryOut(*placement, actions);
  }
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

asio::awaitable<void> PermitDispatcher::RunTicks() {
  while (!is_stopped_) {
    timer_.expires_after(kTickPeriod);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (is_stopped_) co_return;
    const TimePoint now = MonotonicNow();
    if (peers_ != nullptr) {
      probe_budget_.SetLeaseRenewed(peers_->newest_acknowledgement(), now);
    }
    std::vector<ServicePlacement*> placements;
    {
      const std::scoped_lock lock(services_mutex_);
      for (auto& [id, placement] : services_) {
        placements.push_back(placement.get());
      }
    }
    for (ServicePlacement* placement : placements) Tick(*placement, now);
  }
}

void PermitDispatcher::Tick(ServicePlacement& placement, TimePoint now) {
  const std::scoped_lock lock(placement.mutex);
  RouterActions actions;
  if (peers_ != nullptr) {
    placement.router.SetLeaseRenewed(peers_->newest_acknowledgement(), now,
                                     actions);
  }
  placement.router.Tick(now, actions);
  CarryOut(placement, actions);
  UpdateGauges(placement, now);
  for (ServerIndex server = 0; server < placement.router.server_count();
       ++server) {
    const ServerId& id = placement.router.server_id(server);
    if (!placement.router.should_probe(server, now) ||
        !probe_budget_.try_take(id, now)) {
      continue;
    }
    asio::co_spawn(control_, Probe(placement, id, placement.endpoints[id]),
                   asio::detached);
  }
}

void PermitDispatcher::UpdateGauges(const ServicePlacement& placement,
                                    TimePoint now) {
  const ServiceRouter& router = placement.router;
  std::int64_t usable = 0;
  std::int64_t settled = 0;
  for (ServerIndex server = 0; server < router.server_count(); ++server) {
    usable += router.backend(server).usable_slots();
    settled += router.backend(server).is_settled() ? 1 : 0;
  }
  const std::string labels = "service=\"" + placement.id.value() + "\"";
  metrics_.GaugeOf("dogwood_usable_slots", labels).Set(usable);
  metrics_.GaugeOf("dogwood_settled_servers", labels).Set(settled);
  metrics_.GaugeOf("dogwood_own_permits", labels)
      .Set(router.permits().usable_permits());
  metrics_.GaugeOf("dogwood_free_own_permits", labels)
      .Set(router.permits().free_permits());
  metrics_.GaugeOf("dogwood_queue_length", labels)
      .Set(static_cast<std::int64_t>(router.queue_length()));
  metrics_.GaugeOf("dogwood_lent_permits", labels)
      .Set(static_cast<std::int64_t>(router.lent_permits()));
  metrics_.GaugeOf("dogwood_permit_lease_valid", labels)
      .Set(router.is_lease_valid(now) ? 1 : 0);
}

asio::awaitable<void> PermitDispatcher::Probe(
    ServicePlacement& placement, ServerId server,
    asio::ip::tcp::endpoint endpoint) {
  probes_sent_.Add();
  HttpClient client(control_, endpoint);
  const TimePoint start = MonotonicNow();
  const auto response = co_await client.Send(HealthRequest(), kProbeTimeout);
  RouterObservation observation;
  observation.result = RouterObservation::Result::kConnectFailed;
  observation.latency = MonotonicNow() - start;
  std::string start_id;
  if (response.has_value()) {
    observation.result = RouterObservation::Result::kAnswered;
    const HttpHeaders& headers = response.value().headers;
    start_id = FindHeader(headers, "Dogwood-Start-Id").value_or("");
    observation.start_id = start_id;
    observation.in_work = NumberOf(FindHeader(headers, "Dogwood-In-Work"));
  }
  const std::scoped_lock lock(placement.mutex);
  RouterActions actions;
  const ServerIndex index = placement.router.server_index(server);
  if (index == kNoIndex) co_return;
  placement.router.OnProbeResult(index, observation, MonotonicNow(), actions);
  if (response.has_value()) {
    placement.router.OnHealth(index, BackendServer::Health::kReady,
                              MonotonicNow(), actions);
  }
  CarryOut(placement, actions);
}

}  // namespace dogwood
