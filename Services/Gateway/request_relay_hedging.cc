// Hedged requests of RequestRelay: parallel attempts at a second backend server
// when the first one is slow or lost.
#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "Services/Gateway/disconnect_detection.h"
#include "Services/Gateway/request_relay.h"

namespace dogwood {

namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator||;

namespace {

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

bool IsFinal(const AttemptOutcome outcome, bool is_caller_disconnected) {
  return outcome == AttemptOutcome::kServed || is_caller_disconnected;
}

}  // namespace

asio::awaitable<RequestRelay::PlacedAttempt> RequestRelay::RunWithHedging(
    RequestState& state, PlacementService::Ticket& ticket,
    std::uint64_t number) {
  HedgeState hedge;
  hedge.first_server = ticket.decision()->placement->server;
  hedge.first_sent_at = MonotonicNow();
  if (const ServerState* server = context_.servers.Find(hedge.first_server))
    hedge.first_server_started_at_ms = server->entry.started_at_ms;
  auto completed = co_await (RunFirstAttempt(state, ticket, number, hedge) ||
                             SendHedgesWhenDue(state, hedge));
  if (completed.index() == 0) co_return std::move(std::get<0>(completed));
  co_return std::move(std::get<1>(completed));
}

asio::awaitable<RequestRelay::PlacedAttempt> RequestRelay::RunFirstAttempt(
    RequestState& state, PlacementService::Ticket& ticket, std::uint64_t number,
    HedgeState& hedge) {
  PlacedAttempt placed = co_await RunPlacedAttempt(state, ticket, number);
  hedge.has_first_attempt_ended = true;
  const bool is_final =
      IsFinal(placed.attempt.outcome, placed.attempt.is_caller_disconnected);
  if (is_final || !hedge.is_hedge_running) co_return placed;
  // The running hedge gives the response; its end cancels this coroutine.
  state.may_have_run = true;
  co_await WaitUntil(TimePoint::max());
  co_return placed;
}

bool RequestRelay::IsFirstServerLost(const HedgeState& hedge) const {
  const ServerState* server = context_.servers.Find(hedge.first_server);
  // A backend server that has deregistered still finishes its requests.
  if (server == nullptr) return false;
  return server->is_misdirected ||
         server->entry.started_at_ms != hedge.first_server_started_at_ms ||
         (server->needs_check &&
          server->needs_check_since > hedge.first_sent_at);
}

asio::awaitable<RequestRelay::PlacedAttempt> RequestRelay::SendHedgesWhenDue(
    RequestState& state, HedgeState& hedge) {
  const Duration service_time = TypicalServiceTime(state.route);
  const TimePoint hedge_at = MakeDispatchRequest(state).goal_at -
                             Scale(service_time, kHedgeReserveFactor);
  const TimePoint earliest_hedge_at =
      hedge.first_sent_at + Scale(service_time, kMinHedgeDelayFactor);
  TimePoint next_hedge_at =
      hedge_at >= earliest_hedge_at
          ? hedge_at
          : hedge.first_sent_at + Scale(service_time, kLateHedgeDelayFactor);
  TimePoint next_check_at = earliest_hedge_at;
  while (next_check_at + service_time < state.deadline) {
    co_await WaitUntil(next_check_at);
    if (hedge.has_first_attempt_ended ||
        state.attempt_count >= state.route.most_servers)
      break;
    const TimePoint now = MonotonicNow();
    const bool is_lost = IsFirstServerLost(hedge);
    const bool is_slow = now >= next_hedge_at;
    if (is_slow) next_hedge_at = now + kHedgeRetryInterval;
    next_check_at = std::min(now + kFirstServerCheckInterval, next_hedge_at);
    if (!is_lost && !is_slow) continue;
    const auto placed = co_await try_send_hedge(state, hedge, is_lost);
    if (!placed) continue;
    const bool is_final = IsFinal(placed->attempt.outcome,
                                  placed->attempt.is_caller_disconnected);
    if (is_final || hedge.has_first_attempt_ended) co_return std::move(*placed);
  }
  co_await WaitUntil(TimePoint::max());
  co_return PlacedAttempt{};
}

asio::awaitable<std::unique_ptr<RequestRelay::PlacedAttempt>>
RequestRelay::try_send_hedge(RequestState& state, HedgeState& hedge,
                             bool is_lost) {
  DispatchRequest dispatch_request = MakeDispatchRequest(state);
  // In place of a lost attempt it is dispatched like a first attempt.
  dispatch_request.is_hedge = !is_lost;
  dispatch_request.excluded.push_back(hedge.first_server);
  const std::uint64_t number = dispatch_request.number;
  PlacementService::Ticket ticket(placement_service_,
                                  std::move(dispatch_request));
  co_await ticket.Await();
  const auto& decision = ticket.decision();
  const bool is_granted =
      decision && decision->verdict == AdmissionVerdict::kSend &&
      !hedge.has_first_attempt_ended &&
      try_take_retry(state,
                     is_lost ? "the first attempt's backend server is lost"
                             : "the first attempt is slow",
                     MonotonicNow());
  if (!is_granted) co_return nullptr;
  hedge.is_hedge_running = true;
  auto placed = std::make_unique<PlacedAttempt>(
      co_await RunPlacedAttempt(state, ticket, number));
  hedge.is_hedge_running = false;
  co_return placed;
}

}  // namespace dogwood
