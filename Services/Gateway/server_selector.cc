#include "Services/Gateway/server_selector.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);

// The time of day alone would not do: it may be set back between two starts.
std::uint64_t DrawFirstRequestNumber(GatewayContext& context) {
  const auto started_at =
      static_cast<std::uint64_t>(WallClockNow().time_since_epoch().count());
  return CombineHashes(started_at, context.random_engine());
}

}  // namespace

ServerSelector::ServerSelector(GatewayContext& context, SendFunction send)
    : context_(context),
      send_(std::move(send)),
      local_dispatcher_(context.server_table, context.peer_table,
                        context.random_engine),
      last_request_number_(DrawFirstRequestNumber(context)) {}

ServerSelector::~ServerSelector() {
  for (const auto& [request_number, pending_selection] : pending_selections_)
    pending_selection->selector_ = nullptr;
}

std::optional<DispatchDecision> ServerSelector::AddToLocalDispatcher(
    DispatchRequest request, TimePoint now) {
  auto decision = local_dispatcher_.Add(std::move(request), now);
  if (!decision && !is_queue_processing_running_) {
    is_queue_processing_running_ = true;
    asio::co_spawn(context_.io_context, RunQueueProcessing(), asio::detached);
  }
  return decision;
}

asio::awaitable<void> ServerSelector::RunQueueProcessing() {
  asio::steady_timer timer(context_.io_context);
  while (local_dispatcher_.queue_length() > 0) {
    timer.expires_after(kQueueProcessingInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
    ProcessQueue();
  }
  is_queue_processing_running_ = false;
}

void ServerSelector::ProcessQueue() {
  for (DispatchDecision& decision :
       local_dispatcher_.ProcessQueue(MonotonicNow()))
    Deliver(std::move(decision));
  context_.metrics.requests_queued.Set(
      static_cast<std::int64_t>(local_dispatcher_.queue_length()));
}

void ServerSelector::Deliver(DispatchDecision decision) {
  if (decision.host != context_.settings.ip) {
    send_(decision.host,
          SelectionResponse{decision.request_number, decision.admission,
                            decision.selection});
    return;
  }
  const auto pending_selection =
      pending_selections_.find(decision.request_number);
  if (pending_selection != pending_selections_.end())
    pending_selection->second->SetDecision(std::move(decision));
}

std::string ServerSelector::SelectDispatcher(const ServiceId& service,
                                             TimePoint now) {
  std::string selected =
      context_.peer_table.DispatcherFor(service, context_.settings.zone, now);
  const auto bypassed = bypassed_until_.find(selected);
  if (bypassed != bypassed_until_.end() && now < bypassed->second)
    return context_.settings.ip;
  return selected;
}

void ServerSelector::RefuseLateSelections(const ShutdownSchedule& schedule,
                                          TimePoint now) {
  for (const auto& [request_number, pending_selection] : pending_selections_) {
    const DispatchRequest& request = pending_selection->request_;
    if (pending_selection->decision_ ||
        schedule.ends_in_time(request.deadline, request.typical_service_time,
                              now)) {
      continue;
    }
    pending_selection->Cancel();
    pending_selection->SetDecision(
        {request.host, request_number, AdmissionDecision::kRefuse, {}});
  }
}

void ServerSelector::OnSelectionRequest(const std::string& ip,
                                        const SelectionRequest& message) {
  const TimePoint now = MonotonicNow();
  DispatchRequest request;
  request.host = ip;
  request.request_number = message.request_number;
  request.service = message.service;
  request.priority = message.priority;
  request.typical_service_time = message.typical_service_time;
  request.latency_goal = message.latency_goal;
  request.latency_goal_at = now + message.latency_goal_time_left;
  request.deadline = now + message.time_left;
  request.arrived_at = now;
  request.body_bytes = message.body_bytes;
  request.excluded = message.excluded;
  request.is_hedge = message.is_hedge;
  request.retry_safety = message.retry_safety;
  request.account = message.account;
  request.account_weight = context_.AccountWeight(message.account);
  if (auto decision = AddToLocalDispatcher(std::move(request), now)) {
    Deliver(std::move(*decision));
    return;
  }
  // Confirms that the request is queued here.
  send_(ip, SelectionResponse{
                message.request_number, AdmissionDecision::kWait, {}});
}

void ServerSelector::OnSelectionResponse(const std::string& ip,
                                         const SelectionResponse& response) {
  const auto found = pending_selections_.find(response.request_number);
  PendingSelection* pending_selection =
      found == pending_selections_.end() ? nullptr : found->second;
  const bool is_pending = pending_selection != nullptr &&
                          !pending_selection->decision_ &&
                          pending_selection->dispatcher_ip_ == ip;
  if (!is_pending) {
    // The request was decided elsewhere or cancelled: release the grant.
    if (response.admission == AdmissionDecision::kSend)
      send_(ip, SelectionCancellation{response.request_number});
    return;
  }
  if (response.admission == AdmissionDecision::kWait) {
    pending_selection->is_confirmed_ = true;
    return;
  }
  pending_selection->SetDecision({context_.settings.ip, response.request_number,
                                  response.admission, response.selection});
}

void ServerSelector::OnSelectionCompleted(
    const std::string& ip, const SelectionCompletion& completion) {
  FinishSelection(ip, completion, MonotonicNow());
}

void ServerSelector::FinishSelection(const std::string& host,
                                     const SelectionCompletion& completion,
                                     TimePoint now) {
  if (completion.load) {
    context_.server_table.OnReport(completion.server, ReportSource::kResponse,
                                   *completion.load, {}, now);
  }
  if (completion.directives)
    context_.ApplyDirectives(completion.server, *completion.directives,
                             ReportSource::kResponse, host);
  context_.server_table.OnServiceTimeRatio(completion.server,
                                           completion.service_time_ratio,
                                           completion.was_above_knee);
  const auto request_kind = local_dispatcher_.OnEnded(
      host, completion.request_number, completion.outcome, now);
  if (request_kind && on_attempt_ended_) {
    on_attempt_ended_(completion.server, *request_kind, completion.outcome,
                      completion.service_time_ratio);
  }
  ProcessQueue();
}

void ServerSelector::OnSelectionCancelled(
    const std::string& ip, const SelectionCancellation& message) {
  local_dispatcher_.Cancel(ip, message.request_number, MonotonicNow());
}

ServerSelector::PendingSelection::PendingSelection(ServerSelector& selector,
                                                   DispatchRequest request)
    : selector_(&selector),
      request_(std::move(request)),
      dispatcher_ip_(
          selector.SelectDispatcher(request_.service, MonotonicNow())),
      decision_timer_(selector.context_.io_context) {
  selector_->pending_selections_[request_.request_number] = this;
}

ServerSelector::PendingSelection::~PendingSelection() {
  if (selector_ == nullptr) return;
  selector_->pending_selections_.erase(request_.request_number);
  const bool is_granted =
      decision_ && decision_->admission == AdmissionDecision::kSend;
  if (decision_ && (!is_granted || has_ended_)) return;
  Cancel();
}

void ServerSelector::PendingSelection::Cancel() {
  if (dispatcher_ip_ == selector_->context_.settings.ip) {
    selector_->local_dispatcher_.Cancel(request_.host, request_.request_number,
                                        MonotonicNow());
  } else {
    selector_->send_(dispatcher_ip_,
                     SelectionCancellation{request_.request_number});
  }
}

void ServerSelector::PendingSelection::SetDecision(DispatchDecision decision) {
  decision_ = std::move(decision);
  decision_timer_.cancel();
}

asio::awaitable<void> ServerSelector::PendingSelection::AwaitDecision() {
  if (dispatcher_ip_ != selector_->context_.settings.ip) {
    co_await AwaitDispatcher();
    if (decision_) co_return;
    // The dispatcher did not respond in time: decide on this host.
    selector_->send_(dispatcher_ip_,
                     SelectionCancellation{request_.request_number});
    selector_->bypassed_until_[dispatcher_ip_] =
        MonotonicNow() + kDispatcherBypassTime;
    selector_->context_.metrics.dispatcher_timeouts.Add();
    dispatcher_ip_ = selector_->context_.settings.ip;
  }
  decision_timer_.expires_at(TimePoint::max());
  if (auto decision =
          selector_->AddToLocalDispatcher(request_, MonotonicNow())) {
    decision_ = std::move(decision);
    co_return;
  }
  co_await decision_timer_.async_wait(kUseAwaitableTuple);
}

asio::awaitable<void> ServerSelector::PendingSelection::AwaitDispatcher() {
  const TimePoint now = MonotonicNow();
  selector_->send_(
      dispatcher_ip_,
      SelectionRequest{request_.request_number, request_.service,
                       request_.priority, request_.typical_service_time,
                       request_.latency_goal, request_.latency_goal_at - now,
                       request_.deadline - now, request_.body_bytes,
                       request_.excluded, request_.is_hedge,
                       request_.retry_safety, request_.account});
  decision_timer_.expires_at(now + kDispatcherTimeout);
  co_await decision_timer_.async_wait(kUseAwaitableTuple);
  if (decision_ || !is_confirmed_) co_return;
  const TimePoint latest_decision_at = std::min(
      request_.deadline,
      std::max(request_.latency_goal_at,
               MonotonicNow() + request_.latency_goal / kLateGoalDivisor));
  decision_timer_.expires_at(latest_decision_at + kDecisionTimeoutMargin);
  co_await decision_timer_.async_wait(kUseAwaitableTuple);
}

void ServerSelector::PendingSelection::ReportEnd(
    const SelectionCompletion& completion) {
  has_ended_ = true;
  if (dispatcher_ip_ == selector_->context_.settings.ip) {
    selector_->FinishSelection(request_.host, completion, MonotonicNow());
  } else {
    selector_->send_(dispatcher_ip_, completion);
  }
}

}  // namespace dogwood
