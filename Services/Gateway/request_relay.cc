#include "Services/Gateway/request_relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Services/Gateway/disconnect_detection.h"
#include "Services/Gateway/message_builder.h"
#include "Services/Gateway/own_stall.h"

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

constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

}  // namespace

RequestRelay::RequestRelay(GatewayContext& context,
                           PlacementService& placement_service)
    : context_(context),
      placement_service_(placement_service),
      connection_pool_(context.io.get_executor()) {}

Duration RequestRelay::TypicalServiceTime(const RouteEntry& route) {
  Duration& service_time = route_statistics_[route.name].service_time;
  if (service_time == Duration::zero()) {
    service_time = std::chrono::duration_cast<Duration>(
        route.latency_goal * kInitialServiceTimeRatio);
  }
  return service_time;
}

void RequestRelay::UpdateServiceTime(const RouteEntry& route, Duration elapsed,
                                     double slowdown) {
  // On a slowed server the elapsed time does not show the usual service time.
  constexpr double kMaxSlowdownOfSample = 1.3;
  if (slowdown > kMaxSlowdownOfSample) return;
  Duration& service_time = route_statistics_[route.name].service_time;
  // Limits the effect of outliers.
  constexpr int kMaxSampleFactor = 3;
  const auto sample = std::min(elapsed, kMaxSampleFactor * service_time);
  service_time += std::chrono::duration_cast<Duration>((sample - service_time) *
                                                       kServiceTimeSmoothing);
}

asio::awaitable<CallerResponse> RequestRelay::Serve(
    const CallerRequest& request) {
  const RequestId& id = request.caller_headers.id;
  // A request keeps the configuration that was in force when it arrived.
  std::shared_ptr<const RouteTable> routes = context_.routes;
  if (!routes) {
    context_.metrics.refused.Add();
    co_return BuildLocalResponse(ResponseOutcome::kNotRun, kUnavailable, id,
                                 "no configuration is known yet",
                                 kNoConfigurationRetryAfter);
  }
  const RouteEntry* route =
      routes->Match(request.head.ValueOf("host"), request.head.target);
  if (route == nullptr) {
    context_.log->Record(
        EventId::kRequestWithoutRoute,
        {{"request", id.value()},
         {"target", request.head.target},
         {"version", static_cast<std::int64_t>(routes->version().value())}});
    co_return BuildLocalResponse(ResponseOutcome::kNoRoute, kNotFound, id,
                                 "no such route");
  }
  RequestState state{request, routes, *route,
                     PickService(*route, context_.random)};
  Duration timeout = request.caller_headers.time_left.value_or(kDefaultTimeout);
  if (route->timeout)
    timeout = std::min(timeout, *route->timeout - kResponseMargin);
  state.deadline = request.arrived_at + timeout;
  auto& retry_budget = context_.retry_allowances[state.service];
  retry_budget.CountRequest(context_.retry_limits(), request.arrived_at);
  context_.metrics.in_hand.Add(1);
  CallerResponse response = co_await ForwardWithRetries(state);
  context_.metrics.in_hand.Add(-1);
  context_.metrics.request_time.Record(MonotonicNow() - request.arrived_at);
  co_return response;
}

DispatchRequest RequestRelay::MakeDispatchRequest(const RequestState& state) {
  const CallerRequest& request = state.request;
  RouteStatistics& statistics = route_statistics_[state.route.name];
  const Duration time_left =
      request.caller_headers.time_left.value_or(kDefaultTimeout);
  statistics.longest_time_left =
      std::max(statistics.longest_time_left, time_left);
  DispatchRequest dispatch_request;
  dispatch_request.host = context_.settings.ip;
  dispatch_request.number = placement_service_.NextNumber();
  dispatch_request.service = state.service;
  dispatch_request.priority = state.route.priority;
  dispatch_request.usual_work = TypicalServiceTime(state.route);
  dispatch_request.goal = state.route.latency_goal;
  // The latency goal counts from the caller's first try. Earlier tries took the
  // difference to the longest time left that was seen on the route.
  dispatch_request.goal_at = request.arrived_at + state.route.latency_goal -
                             (statistics.longest_time_left - time_left);
  dispatch_request.deadline = state.deadline;
  dispatch_request.arrived_at = MonotonicNow();
  dispatch_request.body_bytes = request.body.size();
  dispatch_request.excluded = state.tried_servers;
  dispatch_request.repeatability = state.route.repeatability;
  return dispatch_request;
}

PlacementEnd RequestRelay::MakePlacementEnd(std::uint64_t number,
                                            const Placement& placement,
                                            const Attempt& attempt,
                                            Duration service_time) {
  // A stall of this process says nothing about the backend server.
  const AttemptOutcome outcome =
      attempt.had_process_stall ? AttemptOutcome::kAbandoned : attempt.outcome;
  PlacementEnd end{number, placement.server, outcome, attempt.load};
  if (attempt.outcome != AttemptOutcome::kServed) return end;
  end.work_ratio = static_cast<double>(attempt.elapsed.count()) /
                   (static_cast<double>(service_time.count()) *
                    std::max(placement.slowdown, 1.0));
  end.was_above_knee = placement.is_above_knee;
  return end;
}

asio::awaitable<CallerResponse> RequestRelay::ForwardWithRetries(
    RequestState& state) {
  const CallerRequest& request = state.request;
  for (;;) {
    DispatchRequest dispatch_request = MakeDispatchRequest(state);
    const std::uint64_t number = dispatch_request.number;
    PlacementService::Ticket ticket(placement_service_,
                                    std::move(dispatch_request));
    const auto completed =
        co_await (ticket.Await() || WaitUntil(state.deadline) ||
                  WaitForDisconnect(request.socket));
    if (completed.index() == 2)
      co_return HandleCallerDisconnect(state, "waiting");
    const auto& decision = ticket.decision();
    if (!decision || decision->verdict != AdmissionVerdict::kSend) {
      co_return RejectRequest(state, "no backend server has room",
                              decision ? decision->placement : std::nullopt);
    }
    context_.metrics.placement_wait.Record(MonotonicNow() - request.arrived_at);
    const bool may_hedge =
        state.route.repeatability == Repeatability::kRepeatable &&
        state.attempt_count + 1 < state.route.most_servers;
    PlacedAttempt placed;
    if (may_hedge) {
      placed = co_await RunWithHedging(state, ticket, number);
    } else {
      placed = co_await RunPlacedAttempt(state, ticket, number);
    }
    Attempt& attempt = placed.attempt;
    const TimePoint now = MonotonicNow();
    if (attempt.is_caller_disconnected)
      co_return HandleCallerDisconnect(state, "at a backend server");
    state.may_have_run = state.may_have_run ||
                         attempt.outcome == AttemptOutcome::kFailed ||
                         attempt.outcome == AttemptOutcome::kLost;
    if (try_reserve_retry(state, attempt, now)) continue;
    CallerResponse response = BuildFinalResponse(state, attempt);
    if (attempt.connection && attempt.connection->is_reusable())
      connection_pool_.Release(placed.placement.server,
                               std::move(attempt.connection), now);
    LogOutcome(state, response, placed.placement);
    co_return response;
  }
}

asio::awaitable<RequestRelay::PlacedAttempt> RequestRelay::RunPlacedAttempt(
    RequestState& state, PlacementService::Ticket& ticket,
    std::uint64_t number) {
  PlacedAttempt placed;
  placed.placement = *ticket.decision()->placement;
  const Duration service_time = TypicalServiceTime(state.route);
  state.tried_servers.push_back(placed.placement.server);
  placed.attempt = co_await SendToServer(state, placed.placement);
  ticket.End(
      MakePlacementEnd(number, placed.placement, placed.attempt, service_time));
  co_return placed;
}

asio::awaitable<RequestRelay::Attempt> RequestRelay::SendToServer(
    RequestState& state, const Placement& placement) {
  Attempt attempt;
  const ServerState* server = context_.servers.Find(placement.server);
  if (server == nullptr) {
    attempt.outcome = AttemptOutcome::kUnreachable;
    co_return attempt;
  }
  // A copy, because the table may remove the entry during the attempt.
  const ServerState server_copy = *server;
  const TimePoint started_at = MonotonicNow();
  auto connection = connection_pool_.Acquire(
      placement.server, state.route.repeatability, started_at);
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
  if (IsDisconnected(state.request.socket)) {
    attempt.is_caller_disconnected = true;
    connection_pool_.Release(placement.server, std::move(connection),
                             started_at);
    co_return attempt;
  }
  ++state.attempt_count;
  attempt.was_sent = true;
  std::optional<ExchangeResult> result;
  if (state.route.repeatability == Repeatability::kRepeatable) {
    const auto completed = co_await (
        Exchange(*connection, state, server_copy) ||
        WaitUntil(state.deadline) || WaitForDisconnect(state.request.socket));
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
                          : AttemptOutcome::kLost;
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
                          ? AttemptOutcome::kLost
                          : AttemptOutcome::kFailed;
    co_return attempt;
  }
  attempt.has_response = true;
  attempt.elapsed = now - started_at;
  attempt.connection = std::move(connection);
  attempt.outcome = ClassifyResponse(attempt, state, server_copy);
  if (attempt.outcome == AttemptOutcome::kServed)
    UpdateServiceTime(state.route, now - started_at, placement.slowdown);
  co_return attempt;
}

asio::awaitable<RequestRelay::ConnectResult> RequestRelay::Connect(
    ServerConnection& connection, const ServerState& server,
    TimePoint deadline) {
  const auto endpoint = ParseEndpoint(server.entry.address);
  if (!endpoint) co_return ConnectResult::kUnreachable;
  context_.metrics.connections_opened.Add();
  const TimePoint connect_deadline =
      std::min(deadline, MonotonicNow() + kConnectTimeout);
  const auto completed = co_await (connection.Connect(endpoint.value()) ||
                                   WaitUntil(connect_deadline));
  const bool is_connected = completed.index() == 0 && !std::get<0>(completed);
  if (is_connected) co_return ConnectResult::kConnected;
  if (completed.index() != 0 && HasStalled(connect_deadline, MonotonicNow()))
    co_return ConnectResult::kProcessStalled;
  const std::string error = completed.index() == 0
                                ? std::get<0>(completed).message()
                                : "connect timed out";
  context_.log->Record(EventId::kServerUnusable,
                       {{"server", server.entry.id.value()},
                        {"reason", "connection"},
                        {"error", error}});
  co_return ConnectResult::kUnreachable;
}

asio::awaitable<ExchangeResult> RequestRelay::Exchange(
    ServerConnection& connection, const RequestState& state,
    const ServerState& server) {
  const CallerRequest& request = state.request;
  const std::string head = BuildServerRequestHead(
      request, state.deadline - MonotonicNow(), server.entry.id);
  co_return co_await connection.Exchange(head, request.body,
                                         request.caller_headers.id.value(),
                                         request.head.method == "HEAD");
}

AttemptOutcome RequestRelay::ClassifyResponse(Attempt& attempt,
                                              const RequestState& state,
                                              const ServerState& server) {
  ServerConnection& connection = *attempt.connection;
  constexpr unsigned kMisdirected = 421;
  constexpr unsigned kFirstSuccess = 200;
  constexpr unsigned kFirstRedirect = 300;
  constexpr unsigned kFirstServerError = 500;
  const MessageHead& response = connection.response_head();
  const auto headers = platform::ReadServerHeaders(response);
  connection.keep_alive_timeout = headers.keep_alive;
  context_.metrics.answers_skipped.Add(connection.skipped_response_count());
  if (headers.load) {
    attempt.load = ReportedLoad{headers.load->running + headers.load->waiting,
                                headers.load->slowdown};
  }
  if (response.status == kMisdirected) return AttemptOutcome::kMisdirected;
  if (headers.is_not_run) return AttemptOutcome::kShed;
  const bool is_success =
      response.status >= kFirstSuccess && response.status < kFirstRedirect;
  // A successful response must carry the backend server's signature, and its
  // body must not have been re-encoded by an intermediary.
  if (is_success && (!headers.is_signed || response.has("content-encoding"))) {
    context_.log->Record(EventId::kBackendAnswerInvalid,
                         {{"request", state.request.caller_headers.id.value()},
                          {"server", server.entry.id.value()}});
    return AttemptOutcome::kFailed;
  }
  return response.status >= kFirstServerError ? AttemptOutcome::kFailed
                                              : AttemptOutcome::kServed;
}

bool RequestRelay::try_reserve_retry(RequestState& state,
                                     const Attempt& attempt, TimePoint now) {
  std::string_view reason;
  switch (attempt.outcome) {
    case AttemptOutcome::kServed:
    case AttemptOutcome::kAbandoned:
      return false;
    case AttemptOutcome::kUnreachable:
      return ++state.connect_failure_count < kMaxConnectFailures &&
             now < state.deadline;
    case AttemptOutcome::kShed:
      reason = "not run by the backend server";
      break;
    case AttemptOutcome::kMisdirected:
      reason = "another backend server has the address";
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kLost:
      if (state.route.repeatability == Repeatability::kOnce) return false;
      reason = "failed at the backend server";
      break;
  }
  if (now + TypicalServiceTime(state.route) > state.deadline ||
      state.attempt_count >= state.route.most_servers) {
    return false;
  }
  return try_take_retry(state, reason, now);
}

bool RequestRelay::try_take_retry(const RequestState& state,
                                  std::string_view reason, TimePoint now) {
  RetryAllowance& retry_budget = context_.retry_allowances[state.service];
  if (!retry_budget.try_take(context_.retry_limits(),
                             context_.peers.LiveCount(now), now)) {
    return false;
  }
  context_.metrics.repeats.Add();
  context_.log->Record(
      EventId::kRequestRepeated,
      {{"request", state.request.caller_headers.id.value()},
       {"reason", reason},
       {"attempts", static_cast<std::int64_t>(state.attempt_count)},
       {"allowance", retry_budget.credit()}});
  return true;
}

}  // namespace dogwood
