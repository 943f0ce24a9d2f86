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

PlacementService::PlacementService(GatewayContext& context, SendFunction send)
    : context_(context),
      send_(std::move(send)),
      local_dispatcher_(context.servers, context.peers, context.random) {}

PlacementService::~PlacementService() {
  for (const auto& [number, ticket] : tickets_) ticket->service_ = nullptr;
}

std::optional<DispatchDecision> PlacementService::AddToLocalDispatcher(
    DispatchRequest request, TimePoint now) {
  auto decision = local_dispatcher_.Add(std::move(request), now);
  if (!decision && !is_review_running_) {
    is_review_running_ = true;
    asio::co_spawn(context_.io, RunQueueReview(), asio::detached);
  }
  return decision;
}

asio::awaitable<void> PlacementService::RunQueueReview() {
  asio::steady_timer timer(context_.io);
  while (local_dispatcher_.waiting_count() > 0) {
    timer.expires_after(kQueueReviewInterval);
    co_await timer.async_wait(kUseTuple);
    ReviewQueue();
  }
  is_review_running_ = false;
}

void PlacementService::ReviewQueue() {
  for (DispatchDecision& decision : local_dispatcher_.Review(MonotonicNow()))
    Deliver(std::move(decision));
  context_.metrics.waiting.Set(
      static_cast<std::int64_t>(local_dispatcher_.waiting_count()));
}

void PlacementService::Deliver(DispatchDecision decision) {
  if (decision.host != context_.settings.ip) {
    send_(decision.host, PlacementAnswer{decision.number, decision.verdict,
                                         decision.placement});
    return;
  }
  const auto ticket = tickets_.find(decision.number);
  if (ticket != tickets_.end())
    ticket->second->SetDecision(std::move(decision));
}

std::string PlacementService::ChooseDispatcher(const ServiceId& service,
                                               TimePoint now) {
  std::string chosen =
      context_.peers.DispatcherFor(service, context_.settings.zone, now);
  const auto bypassed = bypassed_until_.find(chosen);
  if (bypassed != bypassed_until_.end() && now < bypassed->second)
    return context_.settings.ip;
  return chosen;
}

void PlacementService::OnPlacementRequest(const std::string& ip,
                                          const PlacementAsk& message) {
  const TimePoint now = MonotonicNow();
  DispatchRequest request;
  request.host = ip;
  request.number = message.number;
  request.service = message.service;
  request.priority = message.priority;
  request.usual_work = message.usual_work;
  request.goal = message.goal;
  request.goal_at = now + message.goal_left;
  request.deadline = now + message.time_left;
  request.arrived_at = now;
  request.body_bytes = message.body_bytes;
  request.excluded = message.excluded;
  request.is_hedge = message.is_hedge;
  request.repeatability = message.repeatability;
  if (auto decision = AddToLocalDispatcher(std::move(request), now)) {
    Deliver(std::move(*decision));
    return;
  }
  // Confirms that the request is queued here.
  send_(ip, PlacementAnswer{message.number, AdmissionVerdict::kWait, {}});
}

void PlacementService::OnPlacementResponse(const std::string& ip,
                                           const PlacementAnswer& answer) {
  const auto found = tickets_.find(answer.number);
  Ticket* ticket = found == tickets_.end() ? nullptr : found->second;
  const bool is_pending =
      ticket != nullptr && !ticket->decision_ && ticket->dispatcher_ip_ == ip;
  if (!is_pending) {
    // The request was decided elsewhere or cancelled: release the grant.
    if (answer.verdict == AdmissionVerdict::kSend)
      send_(ip, PlacementWithdrawal{answer.number});
    return;
  }
  if (answer.verdict == AdmissionVerdict::kWait) {
    ticket->is_confirmed_ = true;
    return;
  }
  ticket->SetDecision(
      {context_.settings.ip, answer.number, answer.verdict, answer.placement});
}

void PlacementService::OnPlacementEnded(const std::string& ip,
                                        const PlacementEnd& end) {
  FinishPlacement(ip, end, MonotonicNow());
}

void PlacementService::FinishPlacement(const std::string& host,
                                       const PlacementEnd& end, TimePoint now) {
  if (end.load) {
    context_.servers.OnReport(end.server, ReportSource::kAnswer, *end.load, {},
                              now);
  }
  context_.servers.OnWorkRatio(end.server, end.work_ratio, end.was_above_knee);
  local_dispatcher_.OnEnded(host, end.number, end.outcome, now);
  ReviewQueue();
}

void PlacementService::OnPlacementWithdrawn(
    const std::string& ip, const PlacementWithdrawal& message) {
  local_dispatcher_.Withdraw(ip, message.number, MonotonicNow());
}

PlacementService::Ticket::Ticket(PlacementService& service,
                                 DispatchRequest request)
    : service_(&service),
      request_(std::move(request)),
      dispatcher_ip_(
          service.ChooseDispatcher(request_.service, MonotonicNow())),
      decision_timer_(service.context_.io) {
  service_->tickets_[request_.number] = this;
}

PlacementService::Ticket::~Ticket() {
  if (service_ == nullptr) return;
  service_->tickets_.erase(request_.number);
  const bool is_granted =
      decision_ && decision_->verdict == AdmissionVerdict::kSend;
  if (decision_ && (!is_granted || has_ended_)) return;
  if (dispatcher_ip_ == service_->context_.settings.ip) {
    service_->local_dispatcher_.Withdraw(request_.host, request_.number,
                                         MonotonicNow());
  } else {
    service_->send_(dispatcher_ip_, PlacementWithdrawal{request_.number});
  }
}

void PlacementService::Ticket::SetDecision(DispatchDecision decision) {
  decision_ = std::move(decision);
  decision_timer_.cancel();
}

asio::awaitable<void> PlacementService::Ticket::Await() {
  if (dispatcher_ip_ != service_->context_.settings.ip) {
    co_await AwaitDispatcher();
    if (decision_) co_return;
    // The dispatcher did not respond in time: decide on this host.
    service_->send_(dispatcher_ip_, PlacementWithdrawal{request_.number});
    service_->bypassed_until_[dispatcher_ip_] =
        MonotonicNow() + kDispatcherBypassTime;
    service_->context_.metrics.dispatcher_timeouts.Add();
    dispatcher_ip_ = service_->context_.settings.ip;
  }
  decision_timer_.expires_at(TimePoint::max());
  if (auto decision =
          service_->AddToLocalDispatcher(request_, MonotonicNow())) {
    decision_ = std::move(decision);
    co_return;
  }
  co_await decision_timer_.async_wait(kUseTuple);
}

asio::awaitable<void> PlacementService::Ticket::AwaitDispatcher() {
  const TimePoint now = MonotonicNow();
  service_->send_(
      dispatcher_ip_,
      PlacementAsk{request_.number, request_.service, request_.priority,
                   request_.usual_work, request_.goal, request_.goal_at - now,
                   request_.deadline - now, request_.body_bytes,
                   request_.excluded, request_.is_hedge,
                   request_.repeatability});
  decision_timer_.expires_at(now + kDispatcherTimeout);
  co_await decision_timer_.async_wait(kUseTuple);
  if (decision_ || !is_confirmed_) co_return;
  const TimePoint latest_decision_at =
      std::min(request_.deadline,
               std::max(request_.goal_at,
                        MonotonicNow() + request_.goal / kLateGoalDivisor));
  decision_timer_.expires_at(latest_decision_at + kDecisionTimeoutMargin);
  co_await decision_timer_.async_wait(kUseTuple);
}

void PlacementService::Ticket::End(const PlacementEnd& end) {
  has_ended_ = true;
  if (dispatcher_ip_ == service_->context_.settings.ip) {
    service_->FinishPlacement(request_.host, end, MonotonicNow());
  } else {
    service_->send_(dispatcher_ip_, end);
  }
}

}  // namespace dogwood
