// Second tries of RequestRelay beside a first one that brings no answer.
#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "Services/Gateway/caller_watch.h"
#include "Services/Gateway/request_relay.h"

namespace dogwood {

namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator||;

namespace {

Duration Scaled(Duration duration, double by) {
  return std::chrono::duration_cast<Duration>(duration * by);
}

bool IsFinal(const AttemptOutcome outcome, bool has_caller_left) {
  return outcome == AttemptOutcome::kServed || has_caller_left;
}

}  // namespace

asio::awaitable<RequestRelay::Leg> RequestRelay::RunHedged(
    Journey& journey, PlacementService::Ticket& ticket, std::uint64_t number) {
  Race race;
  race.first = ticket.decision()->placement->server;
  race.sent_at = MonotonicNow();
  if (const ServerState* server = context_.servers.Find(race.first))
    race.started_at_ms = server->entry.started_at_ms;
  auto ended = co_await (RunFirst(journey, ticket, number, race) ||
                         RunHedge(journey, race));
  if (ended.index() == 0) co_return std::move(std::get<0>(ended));
  co_return std::move(std::get<1>(ended));
}

asio::awaitable<RequestRelay::Leg> RequestRelay::RunFirst(
    Journey& journey, PlacementService::Ticket& ticket, std::uint64_t number,
    Race& race) {
  Leg leg = co_await RunLeg(journey, ticket, number);
  race.has_first_ended = true;
  const bool is_final =
      IsFinal(leg.attempt.outcome, leg.attempt.has_caller_left);
  if (is_final || !race.is_hedge_running) co_return leg;
  journey.may_have_run = true;
  co_await AwaitTime(TimePoint::max());
  co_return leg;
}

bool RequestRelay::IsLost(const Race& race) const {
  const ServerState* server = context_.servers.Find(race.first);
  // A server that has left the registrations still finishes its work.
  if (server == nullptr) return false;
  return server->is_misdirected ||
         server->entry.started_at_ms != race.started_at_ms ||
         (server->needs_check && server->needs_check_since > race.sent_at);
}

asio::awaitable<RequestRelay::Leg> RequestRelay::RunHedge(Journey& journey,
                                                          Race& race) {
  const Duration usual_work = UsualWork(journey.route);
  const TimePoint hedge_at =
      Describe(journey).goal_at - Scaled(usual_work, kHedgeReserve);
  const TimePoint patient_until =
      race.sent_at + Scaled(usual_work, kHedgePatience);
  TimePoint slow_at = hedge_at >= patient_until
                          ? hedge_at
                          : race.sent_at + Scaled(usual_work, kLatePatience);
  TimePoint look_at = patient_until;
  while (look_at + usual_work < journey.deadline) {
    co_await AwaitTime(look_at);
    if (race.has_first_ended || journey.attempts >= journey.route.most_servers)
      break;
    const TimePoint now = MonotonicNow();
    const bool is_lost = IsLost(race);
    const bool is_slow = now >= slow_at;
    if (is_slow) slow_at = now + kHedgeRetry;
    look_at = std::min(now + kLostLook, slow_at);
    if (!is_lost && !is_slow) continue;
    const auto leg = co_await TryBeside(journey, race, is_lost);
    if (!leg) continue;
    const bool is_final =
        IsFinal(leg->attempt.outcome, leg->attempt.has_caller_left);
    if (is_final || race.has_first_ended) co_return std::move(*leg);
  }
  co_await AwaitTime(TimePoint::max());
  co_return Leg{};
}

asio::awaitable<std::unique_ptr<RequestRelay::Leg>> RequestRelay::TryBeside(
    Journey& journey, Race& race, bool is_lost) {
  DispatchRequest described = Describe(journey);
  // In place of a lost try it is as urgent as a first one.
  described.is_hedge = !is_lost;
  described.excluded.push_back(race.first);
  const std::uint64_t number = described.number;
  PlacementService::Ticket ticket(placements_, std::move(described));
  co_await ticket.Await();
  const auto& decision = ticket.decision();
  const bool is_granted =
      decision && decision->verdict == AdmissionVerdict::kSend &&
      !race.has_first_ended &&
      try_take_repeat(
          journey,
          is_lost ? "the first try's server is lost" : "the first try is slow",
          MonotonicNow());
  if (!is_granted) co_return nullptr;
  race.is_hedge_running = true;
  auto leg = std::make_unique<Leg>(co_await RunLeg(journey, ticket, number));
  race.is_hedge_running = false;
  co_return leg;
}

}  // namespace dogwood
