// Periodic tasks of the permit dispatcher: router timers, health probes,
// metrics and membership changes. Runs on the control thread.
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

#include "Libraries/Http/http.h"
#include "Services/Entry/dispatch_waiter.h"
#include "Services/Entry/permit_dispatcher.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

constexpr auto kPeriodicTaskInterval = std::chrono::milliseconds(10);
constexpr auto kProbeTimeout = std::chrono::milliseconds(500);

// Built outside of a coroutine because g++ 12 miscompiles braced initializer
// lists in expressions that contain co_await.
HttpRequest MakeHealthRequest() { return {.target = "/health"}; }

std::optional<std::uint32_t> ParseUnsigned(
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

// The router drops queued borrow requests of departed hosts without an action,
// so their handlers are completed here.
void PermitDispatcher::CancelBorrowsOfDepartedHosts() {
  std::vector<std::shared_ptr<BorrowAnswer>> departed;
  std::erase_if(pending_borrows_, [&](const auto& item) {
    if (std::binary_search(live_hosts_.begin(), live_hosts_.end(),
                           item.first.first)) {
      return false;
    }
    departed.push_back(item.second);
    return true;
  });
  for (const auto& answer : departed) {
    answer->is_cancelled = true;
    answer->signal.Notify();
  }
}

void PermitDispatcher::UpdateHostListSummary(const HostListSummary& view) {
  const bool has_changed = view.has_other_hosts != host_list_.has_other_hosts;
  host_list_ = view;
  if (has_changed) ApplyMembership();
}

void PermitDispatcher::ApplyMembership() {
  const TimePoint now = MonotonicNow();
  live_hosts_ = {options_.host};
  const PermitLeaseRule lease_rule =
      peers_ != nullptr && host_list_.has_other_hosts
          ? PermitLeaseRule::kRequired
          : PermitLeaseRule::kSingleHost;
  if (peers_ != nullptr) {
    for (const Member& member : peers_->members()) {
      if (member.state != MemberState::kLeaving) {
        live_hosts_.push_back(member.host);
      }
    }
  }
  std::sort(live_hosts_.begin(), live_hosts_.end());
  CancelBorrowsOfDepartedHosts();
  probe_rate_limiter_.ApplyHosts(live_hosts_, options_.host, lease_rule, now);
  const ZoneSlotLimits limits(fleet_);
  std::vector<ServiceRoutingState*> service_states;
  {
    const std::scoped_lock lock(services_mutex_);
    for (auto& [id, service_state] : services_)
      service_states.push_back(service_state.get());
  }
  for (ServiceRoutingState* service_state : service_states) {
    const std::scoped_lock lock(service_state->mutex);
    service_state->SetLiveHosts(static_cast<std::uint32_t>(live_hosts_.size()));
    RouterActions actions;
    RouterConfiguration fleet =
        MakeRouterConfiguration(fleet_, limits, service_state->id, live_hosts_,
                                options_.host, lease_rule);
    if (host_list_.has_earlier_incarnation) {
      fleet.start_rule = HostStartKind::kRestartedHost;
    }
    service_state->router.ApplyConfiguration(fleet, now, actions);
    ExecuteActions(*service_state, actions);
  }
}

asio::awaitable<void> PermitDispatcher::RunPeriodicTasks() {
  while (!is_stopped_) {
    timer_.expires_after(kPeriodicTaskInterval);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (is_stopped_) co_return;
    const TimePoint now = MonotonicNow();
    if (peers_ != nullptr) {
      probe_rate_limiter_.SetLeaseRenewed(peers_->last_acknowledged_send_time(),
                                          now);
    }
    std::vector<ServiceRoutingState*> service_states;
    {
      const std::scoped_lock lock(services_mutex_);
      for (auto& [id, service_state] : services_) {
        service_states.push_back(service_state.get());
      }
    }
    for (ServiceRoutingState* service_state : service_states)
      UpdateService(*service_state, now);
  }
}

void PermitDispatcher::UpdateService(ServiceRoutingState& service_state,
                                     TimePoint now) {
  const std::scoped_lock lock(service_state.mutex);
  RouterActions actions;
  if (peers_ != nullptr) {
    service_state.router.SetLeaseRenewed(peers_->last_acknowledged_send_time(),
                                         now, actions);
  }
  service_state.router.Tick(now, actions);
  ExecuteActions(service_state, actions);
  UpdateGauges(service_state, now);
  for (ServerIndex server = 0; server < service_state.router.server_count();
       ++server) {
    const ServerId& id = service_state.router.server_id(server);
    if (!service_state.router.should_probe(server, now) ||
        !probe_rate_limiter_.try_take(id, now)) {
      continue;
    }
    asio::co_spawn(control_executor_,
                   ProbeServer(service_state, id, service_state.endpoints[id]),
                   asio::detached);
  }
}

void PermitDispatcher::UpdateGauges(const ServiceRoutingState& service_state,
                                    TimePoint now) {
  const ServiceRouter& router = service_state.router;
  std::int64_t usable = 0;
  std::int64_t settled = 0;
  for (ServerIndex server = 0; server < router.server_count(); ++server) {
    usable += router.backend(server).usable_slots();
    settled += router.backend(server).is_settled() ? 1 : 0;
  }
  const std::string labels = "service=\"" + service_state.id.value() + "\"";
  metrics_.FindOrCreateGauge("dogwood_usable_slots", labels).Set(usable);
  metrics_.FindOrCreateGauge("dogwood_settled_servers", labels).Set(settled);
  metrics_.FindOrCreateGauge("dogwood_own_permits", labels)
      .Set(router.permits().usable_permits());
  metrics_.FindOrCreateGauge("dogwood_free_own_permits", labels)
      .Set(router.permits().free_permits());
  metrics_.FindOrCreateGauge("dogwood_queue_length", labels)
      .Set(static_cast<std::int64_t>(router.queue_length()));
  metrics_.FindOrCreateGauge("dogwood_lent_permits", labels)
      .Set(static_cast<std::int64_t>(router.lent_permits()));
  metrics_.FindOrCreateGauge("dogwood_permit_lease_valid", labels)
      .Set(router.is_lease_valid(now) ? 1 : 0);
}

asio::awaitable<void> PermitDispatcher::ProbeServer(
    ServiceRoutingState& service_state, ServerId server,
    asio::ip::tcp::endpoint endpoint) {
  probes_sent_.Add();
  HttpClient client(control_executor_, endpoint);
  const TimePoint start = MonotonicNow();
  const auto response =
      co_await client.Send(MakeHealthRequest(), kProbeTimeout);
  AttemptObservation observation;
  observation.result = AttemptObservation::Result::kConnectFailed;
  observation.latency = MonotonicNow() - start;
  std::string start_id;
  if (response.has_value()) {
    observation.result = AttemptObservation::Result::kAnswered;
    const HttpHeaders& headers = response.value().headers;
    start_id = FindHeader(headers, "Dogwood-Start-Id").value_or("");
    observation.start_id = start_id;
    observation.in_work = ParseUnsigned(FindHeader(headers, "Dogwood-In-Work"));
  }
  const std::scoped_lock lock(service_state.mutex);
  RouterActions actions;
  const ServerIndex index = service_state.router.server_index(server);
  if (index == kInvalidIndex) co_return;
  service_state.router.OnProbeResult(index, observation, MonotonicNow(),
                                     actions);
  if (response.has_value()) {
    service_state.router.OnHealth(index, BackendServer::Health::kReady,
                                  MonotonicNow(), actions);
  }
  ExecuteActions(service_state, actions);
}

}  // namespace dogwood
