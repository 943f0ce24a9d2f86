// Hedged requests of RequestForwarder: parallel attempts at a second backend
// server when the first one is slow or lost.
#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "Services/Gateway/disconnect_signal.h"
#include "Services/Gateway/request_forwarder.h"

namespace dogwood {

namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator||;

namespace {

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

bool IsFinal(const AttemptOutcome outcome, bool is_caller_disconnected) {
  return outcome == AttemptOutcome::kSucceeded || is_caller_disconnected;
}

}  // namespace

asio::awaitable<RequestForwarder::ServerAttempt>
RequestForwarder::RunWithHedging(
    RequestState& state, ServerSelector::PendingSelection& pending_selection,
    std::uint64_t request_number) {
  HedgeState hedge;
  hedge.first_server = pending_selection.decision()->selection->server;
  hedge.first_sent_at = MonotonicNow();
  if (const BackendServerState* server =
          context_.server_table.Find(hedge.first_server))
    hedge.first_server_started_at_ms = server->registration.started_at_ms;
  auto completed = co_await (
      RunFirstAttempt(state, pending_selection, request_number, hedge) ||
      SendHedgesWhenDue(state, hedge));
  if (completed.index() == 0) co_return std::move(std::get<0>(completed));
  co_return std::move(std::get<1>(completed));
}

asio::awaitable<RequestForwarder::ServerAttempt>
RequestForwarder::RunFirstAttempt(
    RequestState& state, ServerSelector::PendingSelection& pending_selection,
    std::uint64_t request_number, HedgeState& hedge) {
  ServerAttempt server_attempt =
      co_await RunServerAttempt(state, pending_selection, request_number);
  hedge.has_first_attempt_ended = true;
  const bool is_final = IsFinal(server_attempt.attempt.outcome,
                                server_attempt.attempt.is_caller_disconnected);
  if (is_final || !hedge.is_hedge_running) co_return server_attempt;
  // The running hedge gives the response; its end cancels this coroutine.
  state.may_have_run = true;
  co_await WaitUntil(TimePoint::max());
  co_return server_attempt;
}

bool RequestForwarder::IsFirstServerLost(const HedgeState& hedge) const {
  const BackendServerState* server =
      context_.server_table.Find(hedge.first_server);
  // A backend server that has deregistered still finishes its requests.
  if (server == nullptr) return false;
  return server->is_misdirected ||
         server->registration.started_at_ms !=
             hedge.first_server_started_at_ms ||
         (server->needs_health_check &&
          server->needs_health_check_since > hedge.first_sent_at);
}

asio::awaitable<RequestForwarder::ServerAttempt>
RequestForwarder::SendHedgesWhenDue(RequestState& state, HedgeState& hedge) {
  const Duration service_time = TypicalServiceTime(state.route);
  const TimePoint hedge_at = MakeDispatchRequest(state).latency_goal_at -
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
        state.attempt_count >= state.route.max_attempts)
      break;
    const TimePoint now = MonotonicNow();
    const bool is_lost = IsFirstServerLost(hedge);
    const bool is_slow = now >= next_hedge_at;
    if (is_slow) next_hedge_at = now + kHedgeRetryInterval;
    next_check_at = std::min(now + kFirstServerCheckInterval, next_hedge_at);
    if (!is_lost && !is_slow) continue;
    const auto server_attempt = co_await try_send_hedge(state, hedge, is_lost);
    if (!server_attempt) continue;
    const bool is_final =
        IsFinal(server_attempt->attempt.outcome,
                server_attempt->attempt.is_caller_disconnected);
    if (is_final || hedge.has_first_attempt_ended)
      co_return std::move(*server_attempt);
  }
  co_await WaitUntil(TimePoint::max());
  co_return ServerAttempt{};
}

asio::awaitable<std::unique_ptr<RequestForwarder::ServerAttempt>>
RequestForwarder::try_send_hedge(RequestState& state, HedgeState& hedge,
                                 bool is_lost) {
  DispatchRequest dispatch_request = MakeDispatchRequest(state);
  // In place of a lost attempt it is dispatched like a first attempt.
  dispatch_request.is_hedge = !is_lost;
  dispatch_request.excluded.push_back(hedge.first_server);
  const std::uint64_t request_number = dispatch_request.request_number;
  ServerSelector::PendingSelection pending_selection(
      server_selector_, std::move(dispatch_request));
  co_await pending_selection.AwaitDecision();
  const auto& decision = pending_selection.decision();
  const bool is_granted =
      decision && decision->admission == AdmissionDecision::kSend &&
      !hedge.has_first_attempt_ended &&
      !poison_request_guard_.is_refused(state.fingerprint, MonotonicNow()) &&
      try_take_retry(state,
                     is_lost ? "the first attempt's backend server is lost"
                             : "the first attempt is slow",
                     MonotonicNow());
  if (!is_granted) co_return nullptr;
  hedge.is_hedge_running = true;
  auto server_attempt = std::make_unique<ServerAttempt>(
      co_await RunServerAttempt(state, pending_selection, request_number));
  hedge.is_hedge_running = false;
  co_return server_attempt;
}

}  // namespace dogwood
