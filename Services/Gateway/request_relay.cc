#include "Services/Gateway/request_relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Services/Gateway/caller_watch.h"
#include "Services/Gateway/own_stall.h"
#include "Services/Gateway/reply_writer.h"

namespace dogwood {

namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator||;

namespace {

// Part of a route's goal that its work usually takes, until it is known.
constexpr double kFirstWorkGuess = 0.37;
// How much one answer moves the estimate of a route's work.
constexpr double kWorkWeight = 0.05;
// An answer of the system arrives this long before the time it is due.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(5);

constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

}  // namespace

RequestRelay::RequestRelay(GatewayContext& context,
                           PlacementService& placements)
    : context_(context),
      placements_(placements),
      pool_(context.io.get_executor()) {}

Duration RequestRelay::UsualWork(const RouteEntry& route) {
  Duration& work = statistics_[route.name].usual_work;
  if (work == Duration::zero()) {
    work = std::chrono::duration_cast<Duration>(route.latency_goal *
                                                kFirstWorkGuess);
  }
  return work;
}

void RequestRelay::LearnWork(const RouteEntry& route, Duration elapsed,
                             double slowdown) {
  // Only answers of servers near the usual speed tell the work itself.
  constexpr double kNearUsual = 1.3;
  if (slowdown > kNearUsual) return;
  Duration& work = statistics_[route.name].usual_work;
  const auto sample = std::min(elapsed, 3 * work);
  work += std::chrono::duration_cast<Duration>((sample - work) * kWorkWeight);
}

asio::awaitable<Reply> RequestRelay::Serve(const CallerRequest& request) {
  const RequestId& id = request.caller.id;
  // Requests in flight keep the configuration that they started with.
  std::shared_ptr<const RouteTable> routes = context_.routes;
  if (!routes) {
    context_.metrics.refused.Add();
    co_return OwnReply(ReplyOutcome::kNotRun, kUnavailable, id,
                       "no configuration is known yet",
                       std::chrono::milliseconds(500));
  }
  const RouteEntry* route =
      routes->Match(request.head.ValueOf("host"), request.head.target);
  if (route == nullptr) {
    context_.log->Record(
        EventId::kRequestWithoutRoute,
        {{"request", id.value()},
         {"target", request.head.target},
         {"version", static_cast<std::int64_t>(routes->version().value())}});
    co_return OwnReply(ReplyOutcome::kNoRoute, kNotFound, id, "no such route");
  }
  Journey journey{request, routes, *route,
                  PickService(*route, context_.random)};
  Duration limit = request.caller.time_left.value_or(kDefaultDeadline);
  if (route->timeout) limit = std::min(limit, *route->timeout - kAnswerMargin);
  journey.deadline = request.arrived_at + limit;
  auto& allowance = context_.retry_allowances[journey.service];
  allowance.CountRequest(context_.retry_limits(), request.arrived_at);
  context_.metrics.in_hand.Add(1);
  Reply reply = co_await Travel(journey);
  context_.metrics.in_hand.Add(-1);
  context_.metrics.request_time.Record(MonotonicNow() - request.arrived_at);
  co_return reply;
}

DispatchRequest RequestRelay::Describe(const Journey& journey) {
  const CallerRequest& request = journey.request;
  RouteStatistics& statistics = statistics_[journey.route.name];
  const Duration waits = request.caller.time_left.value_or(kDefaultDeadline);
  statistics.longest_wait = std::max(statistics.longest_wait, waits);
  DispatchRequest described;
  described.host = context_.settings.ip;
  described.number = placements_.NextNumber();
  described.service = journey.service;
  described.priority = journey.route.priority;
  described.usual_work = UsualWork(journey.route);
  described.goal = journey.route.latency_goal;
  // The goal counts from the caller's first try.
  described.goal_at = request.arrived_at + journey.route.latency_goal -
                      (statistics.longest_wait - waits);
  described.deadline = journey.deadline;
  described.arrived_at = MonotonicNow();
  described.body_bytes = request.body.size();
  described.excluded = journey.tried;
  described.repeatability = journey.route.repeatability;
  return described;
}

PlacementEnd RequestRelay::EndOf(std::uint64_t number,
                                 const Placement& placement,
                                 const Attempt& attempt, Duration usual_work) {
  const AttemptOutcome outcome =
      attempt.has_stalled ? AttemptOutcome::kAbandoned : attempt.outcome;
  PlacementEnd end{number, placement.server, outcome, attempt.load};
  if (attempt.outcome != AttemptOutcome::kServed) return end;
  end.work_ratio = static_cast<double>(attempt.elapsed.count()) /
                   (static_cast<double>(usual_work.count()) *
                    std::max(placement.slowdown, 1.0));
  end.was_above_knee = placement.is_above_knee;
  return end;
}

asio::awaitable<Reply> RequestRelay::Travel(Journey& journey) {
  const CallerRequest& request = journey.request;
  for (;;) {
    DispatchRequest described = Describe(journey);
    const std::uint64_t number = described.number;
    PlacementService::Ticket ticket(placements_, std::move(described));
    const auto ended =
        co_await (ticket.Await() || AwaitTime(journey.deadline) ||
                  AwaitLeaving(request.socket));
    if (ended.index() == 2) co_return Abandon(journey, "waiting");
    const auto& decision = ticket.decision();
    if (!decision || decision->verdict != AdmissionVerdict::kSend) {
      co_return Refuse(journey, "no backend server has room",
                       decision ? decision->placement : std::nullopt);
    }
    context_.metrics.placement_wait.Record(MonotonicNow() - request.arrived_at);
    const bool may_hedge =
        journey.route.repeatability == Repeatability::kRepeatable &&
        journey.attempts + 1 < journey.route.most_servers;
    Leg leg;
    if (may_hedge) {
      leg = co_await RunHedged(journey, ticket, number);
    } else {
      leg = co_await RunLeg(journey, ticket, number);
    }
    Attempt& attempt = leg.attempt;
    const TimePoint now = MonotonicNow();
    if (attempt.has_caller_left)
      co_return Abandon(journey, "at a backend server");
    journey.may_have_run = journey.may_have_run ||
                           attempt.outcome == AttemptOutcome::kFailed ||
                           attempt.outcome == AttemptOutcome::kLost;
    if (may_repeat(journey, attempt, now)) continue;
    Reply reply = FinalReply(journey, attempt);
    if (attempt.connection && attempt.connection->is_reusable())
      pool_.Release(leg.placement.server, std::move(attempt.connection), now);
    LogOutcome(journey, reply, leg.placement);
    co_return reply;
  }
}

asio::awaitable<RequestRelay::Leg> RequestRelay::RunLeg(
    Journey& journey, PlacementService::Ticket& ticket, std::uint64_t number) {
  Leg leg;
  leg.placement = *ticket.decision()->placement;
  const Duration usual_work = UsualWork(journey.route);
  journey.tried.push_back(leg.placement.server);
  leg.attempt = co_await Try(journey, leg.placement);
  ticket.End(EndOf(number, leg.placement, leg.attempt, usual_work));
  co_return leg;
}

asio::awaitable<RequestRelay::Attempt> RequestRelay::Try(
    Journey& journey, const Placement& placement) {
  Attempt attempt;
  const ServerState* server = context_.servers.Find(placement.server);
  if (server == nullptr) {
    attempt.outcome = AttemptOutcome::kUnreachable;
    co_return attempt;
  }
  // The entry may be removed while the request is there.
  const ServerState seen = *server;
  const TimePoint started_at = MonotonicNow();
  auto connection =
      pool_.Acquire(placement.server, journey.route.repeatability, started_at);
  if (!connection->has_completed_exchange) {
    const ConnectEnd connected =
        co_await Connect(*connection, seen, journey.deadline);
    if (connected != ConnectEnd::kConnected) {
      journey.last_end = "no-connection";
      attempt.has_stalled = connected == ConnectEnd::kOwnStall;
      attempt.outcome = AttemptOutcome::kUnreachable;
      co_return attempt;
    }
  }
  if (HasLeft(journey.request.socket)) {
    attempt.has_caller_left = true;
    pool_.Release(placement.server, std::move(connection), started_at);
    co_return attempt;
  }
  ++journey.attempts;
  attempt.was_sent = true;
  std::optional<ExchangeResult> end;
  if (journey.route.repeatability == Repeatability::kRepeatable) {
    const auto ended = co_await (Exchange(*connection, journey, seen) ||
                                 AwaitTime(journey.deadline) ||
                                 AwaitLeaving(journey.request.socket));
    if (ended.index() == 0) end = std::get<0>(ended);
    attempt.has_caller_left = ended.index() == 2;
  } else {
    // Work that must not be repeated goes on when its caller leaves.
    const auto ended = co_await (Exchange(*connection, journey, seen) ||
                                 AwaitTime(journey.deadline));
    if (ended.index() == 0) end = std::get<0>(ended);
  }
  const TimePoint now = MonotonicNow();
  journey.last_end =
      end ? kExchangeResultNames.NameOf(*end) : "no-answer-in-time";
  if (!end) {
    attempt.outcome = attempt.has_caller_left ? AttemptOutcome::kAbandoned
                                              : AttemptOutcome::kLost;
    co_return attempt;
  }
  if (*end == ExchangeResult::kNotSent) {
    --journey.attempts;
    attempt.was_sent = false;
    attempt.outcome = AttemptOutcome::kUnreachable;
    co_return attempt;
  }
  if (*end != ExchangeResult::kCompleted) {
    attempt.outcome = *end == ExchangeResult::kConnectionLost
                          ? AttemptOutcome::kLost
                          : AttemptOutcome::kFailed;
    co_return attempt;
  }
  attempt.has_answer = true;
  attempt.elapsed = now - started_at;
  attempt.connection = std::move(connection);
  attempt.outcome = Classify(attempt, journey, seen);
  if (attempt.outcome == AttemptOutcome::kServed)
    LearnWork(journey.route, now - started_at, placement.slowdown);
  co_return attempt;
}

asio::awaitable<RequestRelay::ConnectEnd> RequestRelay::Connect(
    ServerConnection& connection, const ServerState& server,
    TimePoint deadline) {
  const auto endpoint = ParseEndpoint(server.entry.address);
  if (!endpoint) co_return ConnectEnd::kUnreachable;
  context_.metrics.connections_opened.Add();
  const TimePoint limit = std::min(deadline, MonotonicNow() + kConnectTimeout);
  const auto ended =
      co_await (connection.Connect(endpoint.value()) || AwaitTime(limit));
  const bool is_connected = ended.index() == 0 && !std::get<0>(ended);
  if (is_connected) co_return ConnectEnd::kConnected;
  if (ended.index() != 0 && HasStalled(limit, MonotonicNow()))
    co_return ConnectEnd::kOwnStall;
  const std::string error = ended.index() == 0 ? std::get<0>(ended).message()
                                               : "no connection in time";
  context_.log->Record(EventId::kServerUnusable,
                       {{"server", server.entry.id.value()},
                        {"reason", "connection"},
                        {"error", error}});
  co_return ConnectEnd::kUnreachable;
}

asio::awaitable<ExchangeResult> RequestRelay::Exchange(
    ServerConnection& connection, const Journey& journey,
    const ServerState& server) {
  const CallerRequest& request = journey.request;
  const std::string head = WriteServerRequest(
      request, journey.deadline - MonotonicNow(), server.entry.id);
  co_return co_await connection.Exchange(head, request.body,
                                         request.caller.id.value(),
                                         request.head.method == "HEAD");
}

AttemptOutcome RequestRelay::Classify(Attempt& attempt, const Journey& journey,
                                      const ServerState& server) {
  ServerConnection& connection = *attempt.connection;
  constexpr unsigned kMisdirected = 421;
  constexpr unsigned kFirstSuccess = 200;
  constexpr unsigned kFirstRedirect = 300;
  constexpr unsigned kFirstServerError = 500;
  const MessageHead& answer = connection.response_head();
  const auto headers = platform::ReadServerHeaders(answer);
  connection.keep_alive_timeout = headers.keep_alive;
  context_.metrics.answers_skipped.Add(connection.skipped_response_count());
  if (headers.load) {
    attempt.load = ReportedLoad{headers.load->running + headers.load->waiting,
                                headers.load->slowdown};
  }
  if (answer.status == kMisdirected) return AttemptOutcome::kMisdirected;
  if (headers.is_not_run) return AttemptOutcome::kShed;
  const bool is_success =
      answer.status >= kFirstSuccess && answer.status < kFirstRedirect;
  // A success counts only with its signature and the backend server's bytes.
  if (is_success && (!headers.is_signed || answer.has("content-encoding"))) {
    context_.log->Record(EventId::kBackendAnswerInvalid,
                         {{"request", journey.request.caller.id.value()},
                          {"server", server.entry.id.value()}});
    return AttemptOutcome::kFailed;
  }
  return answer.status >= kFirstServerError ? AttemptOutcome::kFailed
                                            : AttemptOutcome::kServed;
}

bool RequestRelay::may_repeat(Journey& journey, const Attempt& attempt,
                              TimePoint now) {
  std::string_view reason;
  switch (attempt.outcome) {
    case AttemptOutcome::kServed:
    case AttemptOutcome::kAbandoned:
      return false;
    case AttemptOutcome::kUnreachable:
      return ++journey.unreachable < kMostUnreachable && now < journey.deadline;
    case AttemptOutcome::kShed:
      reason = "not run by the backend server";
      break;
    case AttemptOutcome::kMisdirected:
      reason = "another backend server has the address";
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kLost:
      if (journey.route.repeatability == Repeatability::kOnce) return false;
      reason = "failed at the backend server";
      break;
  }
  if (now + UsualWork(journey.route) > journey.deadline ||
      journey.attempts >= journey.route.most_servers) {
    return false;
  }
  return try_take_repeat(journey, reason, now);
}

bool RequestRelay::try_take_repeat(const Journey& journey,
                                   std::string_view reason, TimePoint now) {
  RetryAllowance& allowance = context_.retry_allowances[journey.service];
  if (!allowance.try_take(context_.retry_limits(),
                          context_.peers.LiveCount(now), now)) {
    return false;
  }
  context_.metrics.repeats.Add();
  context_.log->Record(
      EventId::kRequestRepeated,
      {{"request", journey.request.caller.id.value()},
       {"reason", reason},
       {"attempts", static_cast<std::int64_t>(journey.attempts)},
       {"allowance", allowance.credit()}});
  return true;
}

}  // namespace dogwood
