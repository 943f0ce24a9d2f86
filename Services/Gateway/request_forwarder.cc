#include "Services/Gateway/request_forwarder.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Libraries/Routing/rendezvous.h"
#include "Libraries/Routing/request_fingerprint.h"
#include "Services/Gateway/disconnect_signal.h"
#include "Services/Gateway/message_builder.h"
#include "Services/Gateway/process_stall.h"

namespace dogwood {

namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator||;

namespace {

// Initial estimate of a route's service time as a fraction of its latency goal.
constexpr double kInitialServiceTimeRatio = 0.37;
// Weight of a new sample in the moving average of a route's service time.
constexpr double kServiceTimeSmoothing = 0.05;
// Time before the route's timeout at which a response is sent at the latest.
constexpr Duration kResponseMargin = std::chrono::milliseconds(5);

// Retry-After of requests that arrive before the first configuration.
constexpr Duration kNoConfigurationRetryAfter = std::chrono::milliseconds(500);

// Log lines name the beginning of longer targets.
constexpr std::size_t kMaxLoggedTargetBytes = 200;

constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

// Does not include the caller's address, which may change between resends.
std::uint64_t FingerprintOf(const CallerRequest& request) {
  const MessageHead& head = request.head;
  const std::array<std::string_view, 3> identity = {
      head.method, head.FieldValue("host"), head.target};
  return ComputeRequestFingerprint(identity, request.body);
}

}  // namespace

RequestForwarder::RequestForwarder(GatewayContext& context,
                                   ServerSelector& server_selector,
                                   PoisonRequestGuard& poison_request_guard,
                                   QuotaGate& quota_gate)
    : context_(context),
      server_selector_(server_selector),
      poison_request_guard_(poison_request_guard),
      quota_gate_(quota_gate),
      connection_pool_(context.io_context.get_executor(),
                       context.settings.memory_bytes) {}

Duration RequestForwarder::TypicalServiceTime(const RouteConfiguration& route) {
  Duration& service_time = route_statistics_[route.name].service_time;
  if (service_time == Duration::zero()) {
    service_time = std::chrono::duration_cast<Duration>(
        route.latency_goal * kInitialServiceTimeRatio);
  }
  return service_time;
}

void RequestForwarder::UpdateServiceTime(const RouteConfiguration& route,
                                         Duration elapsed, double slowdown) {
  // On a slowed server the elapsed time does not show the typical service time.
  constexpr double kMaxSlowdownOfSample = 1.3;
  if (slowdown > kMaxSlowdownOfSample) return;
  Duration& service_time = route_statistics_[route.name].service_time;
  // Limits the effect of outliers.
  constexpr int kMaxSampleFactor = 3;
  const auto sample = std::min(elapsed, kMaxSampleFactor * service_time);
  service_time += std::chrono::duration_cast<Duration>((sample - service_time) *
                                                       kServiceTimeSmoothing);
}

asio::awaitable<CallerResponse> RequestForwarder::Serve(
    const CallerRequest& request) {
  const RequestId& id = request.caller_headers.id;
  // A request keeps the configuration that was in force when it arrived.
  std::shared_ptr<const RouteTable> route_table = context_.route_table;
  if (!route_table) {
    context_.metrics.requests_refused.Add();
    co_return BuildLocalResponse(ResponseOutcome::kNotRun, kUnavailable, id,
                                 "no configuration is known yet",
                                 kNoConfigurationRetryAfter);
  }
  const RouteConfiguration* route =
      route_table->Match(request.head.FieldValue("host"), request.head.target);
  if (route == nullptr) {
    context_.log->Record(EventId::kRequestWithoutRoute,
                         {{"request", id.value()},
                          {"target", std::string_view(request.head.target)
                                         .substr(0, kMaxLoggedTargetBytes)},
                          {"version", static_cast<std::int64_t>(
                                          route_table->version().value())}});
    co_return BuildLocalResponse(ResponseOutcome::kNoRoute, kNotFound, id,
                                 "no such route");
  }
  RequestState state{request, route_table, *route,
                     SelectService(*route, context_.random_engine),
                     FingerprintOf(request)};
  if (route_table->has_accounts()) {
    state.key = platform::FindCallerKey(request.head);
    const Access access =
        DecideAccess(*route_table, *route, state.key,
                     context_.CurrentKeyKnowledge(MonotonicNow()));
    state.account = access.account;
    if (access.decision != AccessDecision::kAllowed)
      co_return RejectForAccess(state, access.decision);
  }
  Duration timeout = request.caller_headers.timeout.value_or(kDefaultTimeout);
  if (route->timeout)
    timeout = std::min(timeout, *route->timeout - kResponseMargin);
  state.deadline = request.arrived_at + timeout;
  auto& retry_budget = context_.retry_budgets[state.service];
  retry_budget.CountRequest(context_.retry_budget_limits(), request.arrived_at);
  context_.metrics.requests_in_flight.Add(1);
  const bool has_quota =
      state.account != nullptr && state.account->rate_per_second > 0;
  CallerResponse response;
  if (has_quota) {
    response = co_await ForwardWithinQuota(state);
  } else {
    response = co_await ForwardWithRetries(state);
  }
  context_.metrics.requests_in_flight.Add(-1);
  context_.metrics.request_duration.Record(MonotonicNow() - request.arrived_at);
  co_return response;
}

asio::awaitable<CallerResponse> RequestForwarder::ForwardWithinQuota(
    RequestState& state) {
  const QuotaGate::Result result = co_await quota_gate_.Admit(*state.account);
  if (result.decision != QuotaGate::Decision::kAdmitted)
    co_return RejectOverQuota(state, result);
  CallerResponse response = co_await ForwardWithRetries(state);
  const bool has_run = response.outcome != ResponseOutcome::kNotRun &&
                       response.outcome != ResponseOutcome::kDenied;
  if (!has_run) quota_gate_.Return(*state.account, result.granted_by);
  co_return response;
}

bool RequestForwarder::is_retryable(const MessageHead& request_head) const {
  const RouteConfiguration* route =
      context_.route_table
          ? context_.route_table->Match(request_head.FieldValue("host"),
                                        request_head.target)
          : nullptr;
  return route != nullptr && route->retry_safety == RetrySafety::kRetryable;
}

DispatchRequest RequestForwarder::MakeDispatchRequest(
    const RequestState& state) {
  const CallerRequest& request = state.request;
  RouteStatistics& statistics = route_statistics_[state.route.name];
  const Duration time_left =
      request.caller_headers.timeout.value_or(kDefaultTimeout);
  statistics.longest_time_left =
      std::max(statistics.longest_time_left, time_left);
  DispatchRequest dispatch_request;
  dispatch_request.host = context_.settings.ip;
  dispatch_request.request_number = server_selector_.NextRequestNumber();
  dispatch_request.service = state.service;
  dispatch_request.priority = state.route.priority;
  if (state.account != nullptr) {
    dispatch_request.priority =
        state.account->priority.value_or(state.route.priority);
    dispatch_request.account = HashName(state.account->name.value());
    dispatch_request.account_weight =
        context_.AccountWeight(dispatch_request.account);
  }
  dispatch_request.typical_service_time = TypicalServiceTime(state.route);
  dispatch_request.latency_goal = state.route.latency_goal;
  // The latency goal counts from the caller's first try. Earlier tries took the
  // difference to the longest time left that was seen on the route.
  dispatch_request.latency_goal_at = request.arrived_at +
                                     state.route.latency_goal -
                                     (statistics.longest_time_left - time_left);
  dispatch_request.deadline = state.deadline;
  dispatch_request.arrived_at = MonotonicNow();
  dispatch_request.body_bytes = request.body.size();
  dispatch_request.excluded = state.tried_servers;
  for (const ServerKey server : context_.server_table.HeldBackServers(
           state.service, dispatch_request.arrived_at)) {
    dispatch_request.excluded.push_back(server);
  }
  dispatch_request.retry_safety = state.route.retry_safety;
  return dispatch_request;
}

SelectionCompletion RequestForwarder::MakeSelectionCompletion(
    std::uint64_t request_number, const ServerSelection& selection,
    const Attempt& attempt, Duration service_time) {
  // A stall of this process says nothing about the backend server.
  const AttemptOutcome outcome =
      attempt.had_process_stall ? AttemptOutcome::kAbandoned : attempt.outcome;
  SelectionCompletion completion{request_number, selection.server, outcome,
                                 attempt.load};
  completion.directives = attempt.directives;
  if (attempt.outcome != AttemptOutcome::kSucceeded) return completion;
  completion.service_time_ratio = static_cast<double>(attempt.elapsed.count()) /
                                  (static_cast<double>(service_time.count()) *
                                   std::max(selection.slowdown, 1.0));
  completion.was_above_knee = selection.is_above_knee;
  return completion;
}

asio::awaitable<CallerResponse> RequestForwarder::ForwardWithRetries(
    RequestState& state) {
  const CallerRequest& request = state.request;
  for (;;) {
    if (poison_request_guard_.is_refused(state.fingerprint, MonotonicNow()))
      co_return RejectCrashingRequest(state);
    if (const AccessDecision access = CheckAccess(state);
        access != AccessDecision::kAllowed) {
      co_return RejectForAccess(state, access);
    }
    const auto hold_time_left =
        context_.server_table.HoldTimeLeft(state.service, MonotonicNow());
    if (hold_time_left) {
      co_return RejectRequest(state, "all backend servers want no requests",
                              std::nullopt, hold_time_left);
    }
    if (is_too_late_to_start(state, 1, MonotonicNow()))
      co_return RejectBeforeShutdown(state);
    DispatchRequest dispatch_request = MakeDispatchRequest(state);
    const std::uint64_t request_number = dispatch_request.request_number;
    ServerSelector::PendingSelection pending_selection(
        server_selector_, std::move(dispatch_request));
    const auto completed = co_await (pending_selection.AwaitDecision() ||
                                     WaitUntil(state.deadline) ||
                                     request.disconnect_signal.Wait());
    if (completed.index() == 2)
      co_return HandleCallerDisconnect(state, "waiting");
    const auto& decision = pending_selection.decision();
    const double slowdown =
        decision && decision->selection ? decision->selection->slowdown : 1;
    if (is_too_late_to_start(state, slowdown, MonotonicNow()))
      co_return RejectBeforeShutdown(state);
    if (!decision || decision->admission != AdmissionDecision::kSend) {
      co_return RejectRequest(state, "no backend server has room",
                              decision ? decision->selection : std::nullopt);
    }
    context_.metrics.selection_wait_duration.Record(MonotonicNow() -
                                                    request.arrived_at);
    const bool may_hedge =
        state.route.retry_safety == RetrySafety::kRetryable &&
        state.attempt_count + 1 < state.route.max_attempts;
    ServerAttempt server_attempt;
    if (may_hedge) {
      server_attempt =
          co_await RunWithHedging(state, pending_selection, request_number);
    } else {
      server_attempt =
          co_await RunServerAttempt(state, pending_selection, request_number);
    }
    Attempt& attempt = server_attempt.attempt;
    const TimePoint now = MonotonicNow();
    if (attempt.is_caller_disconnected)
      co_return HandleCallerDisconnect(state, "at a backend server");
    state.may_have_run = state.may_have_run ||
                         attempt.outcome == AttemptOutcome::kFailed ||
                         attempt.outcome == AttemptOutcome::kNoResponse;
    if (try_reserve_retry(state, attempt, now)) continue;
    CallerResponse response = BuildFinalResponse(state, attempt);
    if (attempt.connection && attempt.connection->is_reusable())
      connection_pool_.Release(server_attempt.selection.server,
                               std::move(attempt.connection), now);
    LogOutcome(state, response, server_attempt.selection);
    co_return response;
  }
}

asio::awaitable<RequestForwarder::ServerAttempt>
RequestForwarder::RunServerAttempt(
    RequestState& state, ServerSelector::PendingSelection& pending_selection,
    std::uint64_t request_number) {
  ServerAttempt server_attempt;
  server_attempt.selection = *pending_selection.decision()->selection;
  const Duration service_time = TypicalServiceTime(state.route);
  state.tried_servers.push_back(server_attempt.selection.server);
  if (is_server_of_other_service(state, pending_selection, request_number)) {
    server_attempt.attempt.outcome = AttemptOutcome::kHeldBack;
  } else {
    server_attempt.attempt =
        co_await SendToServer(state, server_attempt.selection);
  }
  pending_selection.ReportEnd(
      MakeSelectionCompletion(request_number, server_attempt.selection,
                              server_attempt.attempt, service_time));
  co_return server_attempt;
}

bool RequestForwarder::is_server_of_other_service(
    const RequestState& state,
    const ServerSelector::PendingSelection& pending_selection,
    std::uint64_t request_number) {
  const BackendServerState* server = context_.server_table.Find(
      pending_selection.decision()->selection->server);
  if (server == nullptr || server->registration.service == state.service)
    return false;
  context_.metrics.selections_of_other_services.Add();
  context_.log->Record(
      EventId::kServerOfOtherService,
      {{"request", state.request.caller_headers.id.value()},
       {"number", static_cast<std::int64_t>(request_number)},
       {"service", state.service.value()},
       {"server", server->registration.id.value()},
       {"server_service", server->registration.service.value()},
       {"dispatcher", pending_selection.dispatcher_ip()}});
  return true;
}

asio::awaitable<RequestForwarder::Attempt> RequestForwarder::SendToServer(
    RequestState& state, const ServerSelection& selection) {
  Attempt attempt;
  const BackendServerState* server =
      context_.server_table.Find(selection.server);
  if (server == nullptr) {
    attempt.outcome = AttemptOutcome::kUnreachable;
    co_return attempt;
  }
  const TimePoint started_at = MonotonicNow();
  // The server may have asked for this while the request was queued.
  if (context_.server_table.is_held_back(selection.server, started_at)) {
    context_.metrics.requests_held_back.Add();
    attempt.outcome = AttemptOutcome::kHeldBack;
    attempt.directives = server->directives;
    co_return attempt;
  }
  // A copy, because the table may remove the server during the attempt.
  const BackendServerState server_copy = *server;
  auto connection = connection_pool_.Acquire(
      selection.server, state.route.retry_safety, started_at);
  if (!connection->has_completed_exchange) {
    const ConnectResult connect_result =
        co_await Connect(*connection, server_copy, state.deadline);
    if (connect_result != ConnectResult::kConnected) {
      state.last_attempt_result = "no-connection";
      attempt.had_process_stall =
          connect_result == ConnectResult::kProcessStalled;
      attempt.outcome = AttemptOutcome::kUnreachable;
      co_return attempt;
    }
  }
  if (state.request.disconnect_signal.is_set()) {
    attempt.is_caller_disconnected = true;
    connection_pool_.Release(selection.server, std::move(connection),
                             started_at);
    co_return attempt;
  }
  // The key may have been withdrawn while the request waited.
  if (CheckAccess(state) != AccessDecision::kAllowed) {
    if (connection->has_completed_exchange)
      connection_pool_.Release(selection.server, std::move(connection),
                               started_at);
    attempt.outcome = AttemptOutcome::kHeldBack;
    co_return attempt;
  }
  ++state.attempt_count;
  attempt.was_sent = true;
  PoisonRequestGuard::TrackedAttempt tracked_attempt(
      poison_request_guard_, state.fingerprint, server_copy.registration);
  std::optional<ExchangeResult> result;
  if (state.route.retry_safety == RetrySafety::kRetryable) {
    const auto completed = co_await (
        Exchange(*connection, state, server_copy) ||
        WaitUntil(state.deadline) || state.request.disconnect_signal.Wait());
    if (completed.index() == 0) result = std::get<0>(completed);
    attempt.is_caller_disconnected = completed.index() == 2;
  } else {
    // A request that must not be retried runs on when its caller disconnects.
    const auto completed = co_await (
        Exchange(*connection, state, server_copy) || WaitUntil(state.deadline));
    if (completed.index() == 0) result = std::get<0>(completed);
  }
  const TimePoint now = MonotonicNow();
  state.last_attempt_result =
      result ? kExchangeResultNames.NameOf(*result) : "no-answer-in-time";
  if (!result) {
    attempt.outcome = attempt.is_caller_disconnected
                          ? AttemptOutcome::kAbandoned
                          : AttemptOutcome::kNoResponse;
    tracked_attempt.End(attempt.outcome);
    co_return attempt;
  }
  if (*result == ExchangeResult::kNotSent) {
    --state.attempt_count;
    attempt.was_sent = false;
    attempt.outcome = AttemptOutcome::kUnreachable;
    co_return attempt;
  }
  if (*result != ExchangeResult::kCompleted) {
    attempt.outcome = *result == ExchangeResult::kConnectionLost
                          ? AttemptOutcome::kNoResponse
                          : AttemptOutcome::kFailed;
    // A server that crashes amid its response has lost the request as well.
    tracked_attempt.End(*result == ExchangeResult::kResponseTruncated
                            ? AttemptOutcome::kNoResponse
                            : attempt.outcome);
    co_return attempt;
  }
  attempt.has_response = true;
  attempt.elapsed = now - started_at;
  attempt.connection = std::move(connection);
  attempt.outcome = ClassifyResponse(attempt, state, server_copy);
  tracked_attempt.End(attempt.outcome);
  if (attempt.outcome == AttemptOutcome::kSucceeded)
    UpdateServiceTime(state.route, now - started_at, selection.slowdown);
  co_return attempt;
}

asio::awaitable<RequestForwarder::ConnectResult> RequestForwarder::Connect(
    ServerConnection& connection, const BackendServerState& server,
    TimePoint deadline) {
  const auto endpoint = ParseEndpoint(server.registration.address);
  if (!endpoint) co_return ConnectResult::kUnreachable;
  context_.metrics.backend_connections_opened.Add();
  const TimePoint connect_deadline =
      std::min(deadline, MonotonicNow() + kConnectTimeout);
  const auto completed = co_await (connection.Connect(endpoint.value()) ||
                                   WaitUntil(connect_deadline));
  const bool is_connected = completed.index() == 0 && !std::get<0>(completed);
  if (is_connected) co_return ConnectResult::kConnected;
  if (completed.index() != 0 &&
      IsProcessStalled(connect_deadline, MonotonicNow()))
    co_return ConnectResult::kProcessStalled;
  const std::string error = completed.index() == 0
                                ? std::get<0>(completed).message()
                                : "connect timed out";
  context_.log->Record(EventId::kServerUnusable,
                       {{"server", server.registration.id.value()},
                        {"reason", "connection"},
                        {"error", error}});
  co_return ConnectResult::kUnreachable;
}

asio::awaitable<ExchangeResult> RequestForwarder::Exchange(
    ServerConnection& connection, const RequestState& state,
    const BackendServerState& server) {
  const CallerRequest& request = state.request;
  const std::string head = BuildServerRequestHead(
      request, state.deadline - MonotonicNow(), server.registration.id,
      state.route_table->has_accounts(), state.account);
  co_return co_await connection.Exchange(head, request.body,
                                         request.caller_headers.id.value(),
                                         request.head.method == "HEAD");
}

AttemptOutcome RequestForwarder::ClassifyResponse(
    Attempt& attempt, const RequestState& state,
    const BackendServerState& server) {
  ServerConnection& connection = *attempt.connection;
  constexpr unsigned kMisdirected = 421;
  constexpr unsigned kFirstSuccess = 200;
  constexpr unsigned kFirstRedirect = 300;
  constexpr unsigned kFirstServerError = 500;
  const MessageHead& response = connection.response_head();
  const auto headers = platform::ParseServerHeaders(response);
  connection.keep_alive_timeout = headers.keep_alive;
  context_.metrics.mismatched_responses_skipped.Add(
      connection.skipped_response_count());
  if (headers.load) {
    attempt.load = ReportedLoad{
        headers.load->running_requests + headers.load->queued_requests,
        headers.load->slowdown};
  }
  if (response.status != kMisdirected) {
    attempt.directives = ServerDirectives{headers.max_requests_per_second};
    if (headers.is_leaving) {
      attempt.directives->leaving_started_at_ms =
          server.registration.started_at_ms;
    }
    const ServerKey key = ServerKeyOf(server.registration.id);
    context_.ApplyDirectives(key, *attempt.directives, ReportSource::kResponse,
                             context_.settings.ip);
    if (headers.pause) context_.ApplyPause(key, *headers.pause);
  }
  if (response.status == kMisdirected) return AttemptOutcome::kMisdirected;
  if (headers.is_not_run) return AttemptOutcome::kNotRun;
  const bool is_success =
      response.status >= kFirstSuccess && response.status < kFirstRedirect;
  // A successful response must carry the backend server's signature, and its
  // body must not have been re-encoded by an intermediary.
  if (is_success &&
      (!headers.has_signature || response.has_field("content-encoding"))) {
    context_.log->Record(EventId::kBackendResponseInvalid,
                         {{"request", state.request.caller_headers.id.value()},
                          {"server", server.registration.id.value()}});
    return AttemptOutcome::kFailed;
  }
  return response.status >= kFirstServerError ? AttemptOutcome::kFailed
                                              : AttemptOutcome::kSucceeded;
}

bool RequestForwarder::try_reserve_retry(RequestState& state,
                                         const Attempt& attempt,
                                         TimePoint now) {
  std::string_view reason;
  switch (attempt.outcome) {
    case AttemptOutcome::kSucceeded:
    case AttemptOutcome::kAbandoned:
      return false;
    case AttemptOutcome::kUnreachable:
    case AttemptOutcome::kHeldBack:
      return ++state.connect_failure_count < kMaxConnectFailures &&
             now < state.deadline;
    case AttemptOutcome::kNotRun:
      reason = "not run by the backend server";
      break;
    case AttemptOutcome::kMisdirected:
      reason = "another backend server has the address";
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kNoResponse:
      if (state.route.retry_safety == RetrySafety::kNonRetryable) return false;
      reason = "failed at the backend server";
      break;
  }
  if (now + TypicalServiceTime(state.route) > state.deadline ||
      state.attempt_count >= state.route.max_attempts) {
    return false;
  }
  return try_take_retry(state, reason, now);
}

bool RequestForwarder::try_take_retry(const RequestState& state,
                                      std::string_view reason, TimePoint now) {
  HostRetryBudget& retry_budget = context_.retry_budgets[state.service];
  if (!retry_budget.try_take(context_.retry_budget_limits(),
                             context_.peer_table.LiveHostCount(now), now)) {
    return false;
  }
  context_.metrics.retries.Add();
  context_.log->Record(
      EventId::kRequestRetried,
      {{"request", state.request.caller_headers.id.value()},
       {"fingerprint", static_cast<std::int64_t>(state.fingerprint)},
       {"reason", reason},
       {"attempts", static_cast<std::int64_t>(state.attempt_count)},
       {"allowance", retry_budget.credit()}});
  return true;
}

}  // namespace dogwood
