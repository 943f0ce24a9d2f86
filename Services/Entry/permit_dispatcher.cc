#include "Services/Entry/permit_dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

#include "Services/Entry/dispatch_waiter.h"

namespace dogwood {
namespace {

RouterObservation::Result ToRouterResult(AttemptReport::Result result) {
  switch (result) {
    case AttemptReport::Result::kAnswered:
      return RouterObservation::Result::kAnswered;
    case AttemptReport::Result::kShedNotRun:
      return RouterObservation::Result::kShedNotRun;
    case AttemptReport::Result::kConnectFailed:
      return RouterObservation::Result::kConnectFailed;
    case AttemptReport::Result::kConnectionLost:
      return RouterObservation::Result::kConnectionLost;
    case AttemptReport::Result::kInvalidResponse:
      return RouterObservation::Result::kInvalidResponse;
    case AttemptReport::Result::kCancelled:
      return RouterObservation::Result::kCancelled;
    case AttemptReport::Result::kNotSent:
      return RouterObservation::Result::kNotSent;
  }
  return RouterObservation::Result::kNotSent;
}

Refusal::Reason ToReason(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoServer:
      return Refusal::Reason::kNoServer;
    case RefusalReason::kOverCapacity:
      return Refusal::Reason::kOverCapacity;
    case RefusalReason::kDeadlineTooShort:
      return Refusal::Reason::kDeadlineTooShort;
  }
  return Refusal::Reason::kNoServer;
}

CrashSuspects::Outcome ToSuspectOutcome(AttemptReport::Result result) {
  if (result == AttemptReport::Result::kAnswered) {
    return CrashSuspects::Outcome::kSucceeded;
  }
  return result == AttemptReport::Result::kConnectionLost
             ? CrashSuspects::Outcome::kLost
             : CrashSuspects::Outcome::kOther;
}

}  // namespace

PermitDispatcher::PermitDispatcher(Options options,
                                   boost::asio::any_io_executor control,
                                   PeerChannel* peers, EventLog& log,
                                   MetricsRegistry& metrics)
    : options_(std::move(options)),
      control_(std::move(control)),
      peers_(peers),
      log_(log),
      metrics_(metrics),
      borrows_sent_(metrics.CounterOf("dogwood_borrows_sent_total")),
      borrows_granted_(metrics.CounterOf("dogwood_borrows_granted_total")),
      borrows_refused_(metrics.CounterOf("dogwood_borrows_refused_total")),
      borrows_cancelled_(metrics.CounterOf("dogwood_borrows_cancelled_total")),
      probes_sent_(metrics.CounterOf("dogwood_probes_sent_total")),
      requests_queued_(metrics.CounterOf("dogwood_requests_queued_total")),
      peer_call_duration_(
          metrics.HistogramOf("dogwood_peer_call_duration_seconds")),
      timer_(control_),
      probe_budget_(options_.router.permit_lease,
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
      auto& placement = services_[id];
      if (!placement) {
        placement = std::make_unique<ServicePlacement>(
            id, options_.router, options_.seed + services_.size());
      }
      const std::scoped_lock service_lock(placement->mutex);
      TRY(placement->Configure(fleet));
    }
  }
  for (const auto& [id, service] : fleet.services) {
    for (const auto& [server, configuration] : service.servers) {
      probe_budget_.SetServer(server, service.settings.probes_per_second, now);
    }
  }
  ApplyMembers();
  return outcome::success();
}

ServicePlacement* PermitDispatcher::FindService(const ServiceId& service) {
  const std::scoped_lock lock(services_mutex_);
  // Services are never removed while the process runs, so the pointer stays
  // valid; a service without servers refuses its requests.
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

DispatchGrant PermitDispatcher::OpenGrantOf(ServicePlacement& placement,
                                            std::uint64_t request,
                                            const Permit& permit,
                                            std::uint64_t fingerprint) {
  DispatchGrant grant;
  grant.id = request;
  grant.server = placement.router.server_id(permit.server);
  grant.endpoint = placement.endpoints[grant.server];
  {
    const std::scoped_lock lock(suspects_mutex_);
    suspects_.OnStart(grant.server, fingerprint, MonotonicNow());
  }
  const std::scoped_lock lock(grants_mutex_);
  grants_[request] = {permit, fingerprint};
  return grant;
}

PermitDispatcher::Decision PermitDispatcher::RefuseOf(
    RefusalReason reason, Duration retry_after) const {
  return outcome::failure(Refusal{ToReason(reason), retry_after});
}

boost::asio::awaitable<PermitDispatcher::Decision> PermitDispatcher::Acquire(
    const RequestAttributes& request, ServerId excluded) {
  ServicePlacement* placement = FindService(request.service);
  if (placement == nullptr) {
    co_return outcome::failure(Refusal{Refusal::Reason::kUnknownService, {}});
  }
  RouterRequest wanted;
  wanted.arrival = request.arrival;
  wanted.deadline = request.deadline;
  const TimePoint now = MonotonicNow();
  {
    const std::scoped_lock lock(suspects_mutex_);
    if (suspects_.is_refused(request.fingerprint, now)) {
      co_return outcome::failure(Refusal{Refusal::Reason::kCrashSuspect, {}});
    }
    wanted.is_suspect = suspects_.is_suspect(request.fingerprint, now);
  }
  auto waiter = std::make_shared<Waiter>(
      co_await boost::asio::this_coro::executor, request.fingerprint);
  {
    const std::scoped_lock lock(placement->mutex);
    wanted.party = placement->PartyOf(request.party);
    wanted.agreement = placement->meter.Classify(wanted.party, now);
    if (!excluded.value().empty()) {
      wanted.excluded = placement->router.server_index(excluded);
    } else {
      placement->retries.CountRequest();
    }
    {
      const std::scoped_lock grants_lock(grants_mutex_);
      wanted.id = next_request_++;
      waiters_[wanted.id] = waiter;
    }
    RouterActions actions;
    const AcquireResult result =
        placement->router.Acquire(wanted, now, actions);
    if (result.kind != AcquireResult::Kind::kQueued) {
      const std::scoped_lock grants_lock(grants_mutex_);
      waiters_.erase(wanted.id);
    }
    CarryOut(*placement, actions);
    if (result.kind == AcquireResult::Kind::kGranted) {
      co_return OpenGrantOf(*placement, wanted.id, result.permit,
                            request.fingerprint);
    }
    if (result.kind == AcquireResult::Kind::kRefused) {
      co_return RefuseOf(result.reason, result.retry_after);
    }
  }
  requests_queued_.Add();
  co_await waiter->signal.Wait();
  co_return *waiter->decision;
}

void PermitDispatcher::ResolveWaiter(ServicePlacement& placement,
                                     const RouterAction& action) {
  std::shared_ptr<Waiter> waiter;
  {
    const std::scoped_lock lock(grants_mutex_);
    const auto found = waiters_.find(action.request);
    VERIFY(found != waiters_.end());
    waiter = std::move(found->second);
    waiters_.erase(found);
  }
  if (action.kind == RouterAction::Kind::kGrant) {
    waiter->decision = OpenGrantOf(placement, action.request, action.permit,
                                   waiter->fingerprint);
  } else {
    waiter->decision = RefuseOf(action.reason, action.retry_after);
  }
  boost::asio::post(waiter->executor, [waiter] { waiter->signal.Notify(); });
}

void PermitDispatcher::CarryOut(ServicePlacement& placement,
                                RouterActions& actions) {
  for (const RouterAction& action : actions) {
    if (action.kind == RouterAction::Kind::kGrant ||
        action.kind == RouterAction::Kind::kRefuse) {
      ResolveWaiter(placement, action);
    } else if (peers_ != nullptr) {
      SendToPeers(placement, action);
    }
  }
}

void PermitDispatcher::Complete(const RequestAttributes& request,
                                const DispatchGrant& grant,
                                const AttemptReport& report) {
  ServicePlacement* placement = FindService(request.service);
  VERIFY(placement != nullptr);
  OpenGrant open;
  {
    const std::scoped_lock lock(grants_mutex_);
    const auto found = grants_.find(grant.id);
    VERIFY(found != grants_.end());
    open = found->second;
    grants_.erase(found);
  }
  {
    RouterObservation observation;
    observation.result = ToRouterResult(report.result);
    observation.latency = report.latency;
    observation.start_id = report.start_id;
    observation.in_work = report.in_work;
    const std::scoped_lock lock(placement->mutex);
    RouterActions actions;
    placement->router.Complete(open.permit, observation, MonotonicNow(),
                               actions);
    CarryOut(*placement, actions);
  }
  NoteAttempt(grant, open.fingerprint, report);
}

void PermitDispatcher::NoteAttempt(const DispatchGrant& grant,
                                   std::uint64_t fingerprint,
                                   const AttemptReport& report) {
  CrashSuspects::Records changes;
  {
    const std::scoped_lock lock(suspects_mutex_);
    const TimePoint now = MonotonicNow();
    suspects_.OnEnd(grant.server, fingerprint, ToSuspectOutcome(report.result),
                    now, changes);
    ServerHealth& health = health_[grant.server];
    const bool has_restarted = !report.start_id.empty() &&
                               !health.start_id.empty() &&
                               report.start_id != health.start_id;
    const bool is_refusing =
        report.result == AttemptReport::Result::kConnectFailed;
    // A lost connection alone may be a network fault; a refused connection or
    // a new start identifier after it confirms the crash.
    if (health.has_lost_connection && (has_restarted || is_refusing)) {
      suspects_.OnCrash(grant.server, health.start_id, now, changes);
      health.has_lost_connection = false;
    }
    if (report.result == AttemptReport::Result::kConnectionLost) {
      health.has_lost_connection = true;
    }
    if (!report.start_id.empty()) health.start_id = report.start_id;
  }
  if (!changes.empty()) BroadcastSuspects(changes);
}

bool PermitDispatcher::try_take_retry(const ServiceId& service) {
  ServicePlacement* placement = FindService(service);
  if (placement == nullptr) return false;
  const std::scoped_lock lock(placement->mutex);
  return placement->retries.try_take();
}

}  // namespace dogwood
