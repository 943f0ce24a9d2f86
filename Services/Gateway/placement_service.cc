#include "Services/Gateway/placement_service.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

PlacementService::PlacementService(GatewayContext& context, Sender send)
    : context_(context),
      send_(std::move(send)),
      dispatcher_(context.servers, context.peers, context.random) {}

PlacementService::~PlacementService() {
  for (const auto& [number, ticket] : tickets_) ticket->service_ = nullptr;
}

std::optional<DispatchDecision> PlacementService::Add(DispatchRequest request,
                                                      TimePoint now) {
  auto decision = dispatcher_.Add(std::move(request), now);
  if (!decision && !is_reviewing_) {
    is_reviewing_ = true;
    asio::co_spawn(context_.io, ReviewWhileWaiting(), asio::detached);
  }
  return decision;
}

asio::awaitable<void> PlacementService::ReviewWhileWaiting() {
  asio::steady_timer timer(context_.io);
  while (dispatcher_.waiting_count() > 0) {
    timer.expires_after(kReviewInterval);
    co_await timer.async_wait(kUseTuple);
    Review();
  }
  is_reviewing_ = false;
}

void PlacementService::Review() {
  for (DispatchDecision& decision : dispatcher_.Review(MonotonicNow()))
    Deliver(std::move(decision));
  context_.metrics.waiting.Set(
      static_cast<std::int64_t>(dispatcher_.waiting_count()));
}

void PlacementService::Deliver(DispatchDecision decision) {
  if (decision.host != context_.settings.ip) {
    send_(decision.host, PlacementAnswer{decision.number, decision.verdict,
                                         decision.placement});
    return;
  }
  const auto ticket = tickets_.find(decision.number);
  if (ticket != tickets_.end()) ticket->second->Decide(std::move(decision));
}

std::string PlacementService::ChooseDispatcher(const ServiceId& service,
                                               TimePoint now) {
  std::string chosen =
      context_.peers.DispatcherFor(service, context_.settings.zone, now);
  const auto distrusted = distrusted_until_.find(chosen);
  if (distrusted != distrusted_until_.end() && now < distrusted->second)
    return context_.settings.ip;
  return chosen;
}

void PlacementService::OnAsk(const std::string& ip, const PlacementAsk& ask) {
  const TimePoint now = MonotonicNow();
  DispatchRequest request;
  request.host = ip;
  request.number = ask.number;
  request.service = ask.service;
  request.priority = ask.priority;
  request.usual_work = ask.usual_work;
  request.goal = ask.goal;
  request.goal_at = now + ask.goal_left;
  request.deadline = now + ask.time_left;
  request.arrived_at = now;
  request.body_bytes = ask.body_bytes;
  request.excluded = ask.excluded;
  request.is_hedge = ask.is_hedge;
  request.repeatability = ask.repeatability;
  if (auto decision = Add(std::move(request), now)) {
    Deliver(std::move(*decision));
    return;
  }
  // Confirms that the request waits here.
  send_(ip, PlacementAnswer{ask.number, AdmissionVerdict::kWait, {}});
}

void PlacementService::OnAnswer(const std::string& ip,
                                const PlacementAnswer& answer) {
  const auto found = tickets_.find(answer.number);
  Ticket* ticket = found == tickets_.end() ? nullptr : found->second;
  const bool is_awaited =
      ticket != nullptr && !ticket->decision_ && ticket->dispatcher_ == ip;
  if (!is_awaited) {
    // The request was placed otherwise or its caller left meanwhile.
    if (answer.verdict == AdmissionVerdict::kSend)
      send_(ip, PlacementWithdrawal{answer.number});
    return;
  }
  if (answer.verdict == AdmissionVerdict::kWait) {
    ticket->is_confirmed_ = true;
    return;
  }
  ticket->Decide(
      {context_.settings.ip, answer.number, answer.verdict, answer.placement});
}

void PlacementService::OnEnd(const std::string& ip, const PlacementEnd& end) {
  TakeEnd(ip, end, MonotonicNow());
}

void PlacementService::TakeEnd(const std::string& host, const PlacementEnd& end,
                               TimePoint now) {
  if (end.load) {
    context_.servers.OnReport(end.server, ReportSource::kAnswer, *end.load, {},
                              now);
  }
  context_.servers.OnWorkRatio(end.server, end.work_ratio, end.was_above_knee);
  dispatcher_.OnEnded(host, end.number, end.outcome, now);
  Review();
}

void PlacementService::OnWithdrawal(const std::string& ip,
                                    const PlacementWithdrawal& message) {
  dispatcher_.Withdraw(ip, message.number, MonotonicNow());
}

PlacementService::Ticket::Ticket(PlacementService& service,
                                 DispatchRequest request)
    : service_(&service),
      request_(std::move(request)),
      dispatcher_(service.ChooseDispatcher(request_.service, MonotonicNow())),
      decided_(service.context_.io) {
  service_->tickets_[request_.number] = this;
}

PlacementService::Ticket::~Ticket() {
  if (service_ == nullptr) return;
  service_->tickets_.erase(request_.number);
  const bool is_granted =
      decision_ && decision_->verdict == AdmissionVerdict::kSend;
  if (decision_ && (!is_granted || has_ended_)) return;
  if (dispatcher_ == service_->context_.settings.ip) {
    service_->dispatcher_.Withdraw(request_.host, request_.number,
                                   MonotonicNow());
  } else {
    service_->send_(dispatcher_, PlacementWithdrawal{request_.number});
  }
}

void PlacementService::Ticket::Decide(DispatchDecision decision) {
  decision_ = std::move(decision);
  decided_.cancel();
}

asio::awaitable<void> PlacementService::Ticket::Await() {
  if (dispatcher_ != service_->context_.settings.ip) {
    co_await AwaitRemote();
    if (decision_) co_return;
    // The dispatcher is silent: this host decides itself.
    service_->send_(dispatcher_, PlacementWithdrawal{request_.number});
    service_->distrusted_until_[dispatcher_] = MonotonicNow() + kDistrust;
    service_->context_.metrics.silent_dispatchers.Add();
    dispatcher_ = service_->context_.settings.ip;
  }
  decided_.expires_at(TimePoint::max());
  if (auto decision = service_->Add(request_, MonotonicNow())) {
    decision_ = std::move(decision);
    co_return;
  }
  co_await decided_.async_wait(kUseTuple);
}

asio::awaitable<void> PlacementService::Ticket::AwaitRemote() {
  const TimePoint now = MonotonicNow();
  service_->send_(
      dispatcher_,
      PlacementAsk{request_.number, request_.service, request_.priority,
                   request_.usual_work, request_.goal, request_.goal_at - now,
                   request_.deadline - now, request_.body_bytes,
                   request_.excluded, request_.is_hedge,
                   request_.repeatability});
  decided_.expires_at(now + kAnswerTimeout);
  co_await decided_.async_wait(kUseTuple);
  if (decision_ || !is_confirmed_) co_return;
  const TimePoint latest =
      std::min(request_.deadline,
               std::max(request_.goal_at, MonotonicNow() + request_.goal / 4));
  decided_.expires_at(latest + kDecisionMargin);
  co_await decided_.async_wait(kUseTuple);
}

void PlacementService::Ticket::End(const PlacementEnd& end) {
  has_ended_ = true;
  if (dispatcher_ == service_->context_.settings.ip) {
    service_->TakeEnd(request_.host, end, MonotonicNow());
  } else {
    service_->send_(dispatcher_, end);
  }
}

}  // namespace dogwood
