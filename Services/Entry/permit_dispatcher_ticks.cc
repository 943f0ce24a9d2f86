// Periodic work of the permit dispatcher, probes, and the view of the fleet.
// Runs on the control thread.
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

constexpr auto kTickPeriod = std::chrono::milliseconds(10);
constexpr auto kProbeTimeout = std::chrono::milliseconds(500);

// Built outside of a coroutine: g++ 12 miscompiles braced lists in expressions
// that wait.
HttpRequest HealthRequest() { return {.target = "/health"}; }

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
