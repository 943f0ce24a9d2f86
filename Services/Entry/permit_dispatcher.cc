#include "Services/Entry/permit_dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

#include "Services/Entry/dispatch_waiter.h"

namespace dogwood {
namespace {

AttemptObservation::Result ToRouterResult(AttemptReport::Result result) {
  switch (result) {
    case AttemptReport::Result::kAnswered:
      return AttemptObservation::Result::kAnswered;
    case AttemptReport::Result::kShedNotRun:
      return AttemptObservation::Result::kShedNotRun;
    case AttemptReport::Result::kConnectFailed:
      return AttemptObservation::Result::kConnectFailed;
    case AttemptReport::Result::kConnectionLost:
      return AttemptObservation::Result::kConnectionLost;
    case AttemptReport::Result::kInvalidResponse:
      return AttemptObservation::Result::kInvalidResponse;
    case AttemptReport::Result::kCancelled:
      return AttemptObservation::Result::kCancelled;
    case AttemptReport::Result::kNotSent:
      return AttemptObservation::Result::kNotSent;
  }
  return AttemptObservation::Result::kNotSent;
}

DispatchRefusal::Reason ToRefusalReason(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoServer:
      return DispatchRefusal::Reason::kNoServer;
    case RefusalReason::kOverCapacity:
      return DispatchRefusal::Reason::kOverCapacity;
    case RefusalReason::kDeadlineTooShort:
      return DispatchRefusal::Reason::kDeadlineTooShort;
  }
  return DispatchRefusal::Reason::kNoServer;
}

PoisonRequestDetector::Outcome ToPoisonRequestOutcome(
    AttemptReport::Result result) {
  if (result == AttemptReport::Result::kAnswered) {
    return PoisonRequestDetector::Outcome::kSucceeded;
  }
  return result == AttemptReport::Result::kConnectionLost
             ? PoisonRequestDetector::Outcome::kLost
             : PoisonRequestDetector::Outcome::kOther;
}

}  // namespace

PermitDispatcher::PermitDispatcher(Options options,
                                   boost::asio::any_io_executor control,
                                   PeerChannel* peers, EventLog& log,
                                   MetricsRegistry& metrics)
    : options_(std::move(options)),
      control_executor_(std::move(control)),
      peers_(peers),
      log_(log),
      metrics_(metrics),
      borrows_sent_(metrics.FindOrCreateCounter("dogwood_borrows_sent_total")),
      borrows_granted_(
          metrics.FindOrCreateCounter("dogwood_borrows_granted_total")),
      borrows_refused_(
          metrics.FindOrCreateCounter("dogwood_borrows_refused_total")),
      borrows_cancelled_(
          metrics.FindOrCreateCounter("dogwood_borrows_cancelled_total")),
      probes_sent_(metrics.FindOrCreateCounter("dogwood_probes_sent_total")),
      requests_queued_(
          metrics.FindOrCreateCounter("dogwood_requests_queued_total")),
      peer_call_duration_(
          metrics.FindOrCreateHistogram("dogwood_peer_call_duration_seconds")),
      timer_(control_executor_),
      probe_rate_limiter_(options_.router.permit_lease,
                          options_.router.permit_takeover_delay) {
  options_.router.first_borrow_generation = options_.incarnation.value();
}

PermitDispatcher::~PermitDispatcher() = default;

Result<void> PermitDispatcher::Apply(const FleetConfiguration& fleet) {
  const TimePoint now = MonotonicNow();
  fleet_ = fleet;
  {
    const std::scoped_lock lock(services_mutex_);
    for (const auto& [id, service] : fleet.services) {
      auto& service_state = services_[id];
      if (!service_state) {
        service_state = std::make_unique<ServiceRoutingState>(
            id, options_.router, options_.seed + services_.size());
      }
      const std::scoped_lock service_lock(service_state->mutex);
      TRY(service_state->Configure(fleet));
    }
  }
  for (const auto& [id, service] : fleet.services) {
    for (const auto& [server, configuration] : service.servers) {
      probe_rate_limiter_.SetServer(server, service.settings.probes_per_second,
                                    now);
    }
  }
  ApplyMembership();
  return outcome::success();
}

ServiceRoutingState* PermitDispatcher::FindService(const ServiceId& service) {
  const std::scoped_lock lock(services_mutex_);
  // Services are never removed, so the pointer stays valid without the lock. A
  // service without servers refuses its requests.
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

DispatchGrant PermitDispatcher::CreateGrant(ServiceRoutingState& service_state,
                                            std::uint64_t request,
                                            const Permit& permit,
                                            std::uint64_t fingerprint) {
  DispatchGrant grant;
  grant.id = request;
  grant.server = service_state.router.server_id(permit.server);
  grant.endpoint = service_state.endpoints[grant.server];
  {
    const std::scoped_lock lock(suspects_mutex_);
    poison_request_detector_.OnStart(grant.server, fingerprint, MonotonicNow());
  }
  const std::scoped_lock lock(grants_mutex_);
  outstanding_grants_[request] = {permit, fingerprint};
  return grant;
}

PermitDispatcher::Decision PermitDispatcher::MakeRefusal(
    RefusalReason reason, Duration retry_after) const {
  return outcome::failure(
      DispatchRefusal{ToRefusalReason(reason), retry_after});
}

boost::asio::awaitable<PermitDispatcher::Decision> PermitDispatcher::Acquire(
    const RequestAttributes& request, ServerId excluded) {
  ServiceRoutingState* service_state = FindService(request.service);
  if (service_state == nullptr) {
    co_return outcome::failure(
        DispatchRefusal{DispatchRefusal::Reason::kUnknownService, {}});
  }
  RouterRequest router_request;
  router_request.arrival = request.arrival;
  router_request.deadline = request.deadline;
  const TimePoint now = MonotonicNow();
  {
    const std::scoped_lock lock(suspects_mutex_);
    if (poison_request_detector_.is_refused(request.fingerprint, now)) {
      co_return outcome::failure(
          DispatchRefusal{DispatchRefusal::Reason::kCrashSuspect, {}});
    }
    router_request.is_suspect =
        poison_request_detector_.is_suspect(request.fingerprint, now);
  }
  auto waiter = std::make_shared<Waiter>(
      co_await boost::asio::this_coro::executor, request.fingerprint);
  {
    const std::scoped_lock lock(service_state->mutex);
    router_request.client_account =
        service_state->FindOrAddClientAccount(request.client_account);
    router_request.agreement = service_state->agreement_meter.Classify(
        router_request.client_account, now);
    if (!excluded.value().empty()) {
      router_request.excluded = service_state->router.server_index(excluded);
    } else {
      service_state->retry_budget.CountRequest();
    }
    {
      const std::scoped_lock grants_lock(grants_mutex_);
      router_request.id = next_request_number_++;
      queued_requests_[router_request.id] = waiter;
    }
    RouterActions actions;
    const PermitAcquisition result =
        service_state->router.Acquire(router_request, now, actions);
    if (result.kind != PermitAcquisition::Kind::kQueued) {
      const std::scoped_lock grants_lock(grants_mutex_);
      queued_requests_.erase(router_request.id);
    }
    ExecuteActions(*service_state, actions);
    if (result.kind == PermitAcquisition::Kind::kGranted) {
      co_return CreateGrant(*service_state, router_request.id, result.permit,
                            request.fingerprint);
    }
    if (result.kind == PermitAcquisition::Kind::kRefused) {
      co_return MakeRefusal(result.reason, result.retry_after);
    }
  }
  requests_queued_.Add();
  co_await waiter->signal.Wait();
  co_return *waiter->decision;
}

void PermitDispatcher::ResolveWaiter(ServiceRoutingState& service_state,
                                     const RouterAction& action) {
  std::shared_ptr<Waiter> waiter;
  {
    const std::scoped_lock lock(grants_mutex_);
    const auto found = queued_requests_.find(action.request);
    VERIFY(found != queued_requests_.end());
    waiter = std::move(found->second);
    queued_requests_.erase(found);
  }
  if (action.kind == RouterAction::Kind::kGrant) {
    waiter->decision = CreateGrant(service_state, action.request, action.permit,
                                   waiter->fingerprint);
  } else {
    waiter->decision = MakeRefusal(action.reason, action.retry_after);
  }
  boost::asio::post(waiter->executor, [waiter] { waiter->signal.Notify(); });
}

void PermitDispatcher::ExecuteActions(ServiceRoutingState& service_state,
                                      RouterActions& actions) {
  for (const RouterAction& action : actions) {
    if (action.kind == RouterAction::Kind::kGrant ||
        action.kind == RouterAction::Kind::kRefuse) {
      ResolveWaiter(service_state, action);
    } else if (peers_ != nullptr) {
      SendToPeers(service_state, action);
    }
  }
}

void PermitDispatcher::Complete(const RequestAttributes& request,
                                const DispatchGrant& grant,
                                const AttemptReport& report) {
  ServiceRoutingState* service_state = FindService(request.service);
  VERIFY(service_state != nullptr);
  OutstandingGrant outstanding;
  {
    const std::scoped_lock lock(grants_mutex_);
    const auto found = outstanding_grants_.find(grant.id);
    VERIFY(found != outstanding_grants_.end());
    outstanding = found->second;
    outstanding_grants_.erase(found);
  }
  {
    AttemptObservation observation;
    observation.result = ToRouterResult(report.result);
    observation.latency = report.latency;
    observation.start_id = report.start_id;
    observation.in_work = report.in_work;
    const std::scoped_lock lock(service_state->mutex);
    RouterActions actions;
    service_state->router.Complete(outstanding.permit, observation,
                                   MonotonicNow(), actions);
    ExecuteActions(*service_state, actions);
  }
  UpdatePoisonRequestDetector(grant, outstanding.fingerprint, report);
}

void PermitDispatcher::UpdatePoisonRequestDetector(
    const DispatchGrant& grant, std::uint64_t fingerprint,
    const AttemptReport& report) {
  PoisonRequestDetector::Records changes;
  {
    const std::scoped_lock lock(suspects_mutex_);
    const TimePoint now = MonotonicNow();
    poison_request_detector_.OnEnd(grant.server, fingerprint,
                                   ToPoisonRequestOutcome(report.result), now,
                                   changes);
    ServerCrashState& crash_state = crash_states_[grant.server];
    const bool has_restarted = !report.start_id.empty() &&
                               !crash_state.start_id.empty() &&
                               report.start_id != crash_state.start_id;
    const bool is_refusing =
        report.result == AttemptReport::Result::kConnectFailed;
    // A lost connection alone may be a network fault. A refused connection or a
    // new start identifier afterwards confirms that the server crashed.
    if (crash_state.has_lost_connection && (has_restarted || is_refusing)) {
      poison_request_detector_.OnCrash(grant.server, crash_state.start_id, now,
                                       changes);
      crash_state.has_lost_connection = false;
    }
    if (report.result == AttemptReport::Result::kConnectionLost) {
      crash_state.has_lost_connection = true;
    }
    if (!report.start_id.empty()) crash_state.start_id = report.start_id;
  }
  if (!changes.empty()) BroadcastSuspects(changes);
}

bool PermitDispatcher::try_take_retry(const ServiceId& service) {
  ServiceRoutingState* service_state = FindService(service);
  if (service_state == nullptr) return false;
  const std::scoped_lock lock(service_state->mutex);
  return service_state->retry_budget.try_take();
}

}  // namespace dogwood
