#include "Libraries/Balancing/dispatcher.h"

#include <algorithm>
#include <map>

namespace dogwood {

std::optional<DispatchDecision> Dispatcher::Add(DispatchRequest request,
                                                TimePoint now) {
  ServiceQueuePass pass;
  // Requests that go after this one do not delay it. When there is too little
  // room for all, the next pass over the queue refuses those at its end.
  if (!queue_.empty()) {
    order_.Update(now);
    const auto rank = order_.RankOf(request, now);
    for (const DispatchRequest& other : queue_) {
      if (other.service == request.service &&
          !(rank < order_.RankOf(other, now)))
        pass.queued_work += other.typical_service_time;
    }
  }
  auto decision = Decide(request, pass, now);
  if (!decision) queue_.push_back(std::move(request));
  return decision;
}

void Dispatcher::Cancel(const std::string& host, std::uint64_t request_number,
                        TimePoint now) {
  std::erase_if(queue_, [&](const DispatchRequest& request) {
    return request.request_number == request_number && request.host == host;
  });
  OnEnded(host, request_number, AttemptOutcome::kAbandoned, now);
}

std::optional<std::uint64_t> Dispatcher::OnEnded(const std::string& host,
                                                 std::uint64_t request_number,
                                                 AttemptOutcome outcome,
                                                 TimePoint now) {
  const auto grant =
      std::find_if(grants_.begin(), grants_.end(), [&](const Grant& known) {
        return known.request_number == request_number && known.host == host;
      });
  if (grant == grants_.end()) return std::nullopt;
  const std::uint64_t request_kind = grant->request_kind;
  servers_.OnEnded(grant->server, outcome, now);
  *grant = std::move(grants_.back());
  grants_.pop_back();
  return request_kind;
}

void Dispatcher::ReclaimExpiredGrants(TimePoint now) {
  std::erase_if(grants_, [&](const Grant& grant) {
    if (now < grant.expires_at) return false;
    servers_.OnEnded(grant.server, AttemptOutcome::kAbandoned, now);
    return true;
  });
}

std::vector<DispatchDecision> Dispatcher::ProcessQueue(TimePoint now) {
  ReclaimExpiredGrants(now);
  std::vector<DispatchDecision> decisions;
  if (queue_.empty()) return decisions;
  order_.Update(now);
  SortQueue(now);
  std::map<ServiceId, ServiceQueuePass> passes;
  std::erase_if(queue_, [&](const DispatchRequest& request) {
    ServiceQueuePass& pass = passes[request.service];
    auto decision = Decide(request, pass, now);
    if (!decision) {
      pass.queued_work += request.typical_service_time;
      return false;
    }
    decisions.push_back(std::move(*decision));
    return true;
  });
  return decisions;
}

void Dispatcher::SortQueue(TimePoint now) {
  using Entry = std::pair<RequestOrder::Rank, std::size_t>;
  std::vector<Entry> ranks;
  ranks.reserve(queue_.size());
  for (std::size_t i = 0; i < queue_.size(); ++i)
    ranks.emplace_back(order_.RankOf(queue_[i], now), i);
  std::stable_sort(ranks.begin(), ranks.end(),
                   [](const Entry& left, const Entry& right) {
                     return left.first < right.first;
                   });
  std::vector<DispatchRequest> sorted;
  sorted.reserve(queue_.size());
  for (const auto& [rank, index] : ranks)
    sorted.push_back(std::move(queue_[index]));
  queue_ = std::move(sorted);
}

bool Dispatcher::ServiceQueuePass::is_full_for(
    const DispatchRequest& request) const {
  const std::vector<ServerKey>& excluded = request.excluded;
  return full_without &&
         std::all_of(
             full_without->begin(), full_without->end(), [&](ServerKey server) {
               return std::find(excluded.begin(), excluded.end(), server) !=
                      excluded.end();
             });
}

std::optional<DispatchDecision> Dispatcher::Decide(
    const DispatchRequest& request, ServiceQueuePass& pass, TimePoint now) {
  AdmissionControl::Input input{
      {request.service, request.typical_service_time, request.latency_goal,
       request.latency_goal_at - now, request.deadline - now,
       request.body_bytes, request.excluded, request.retry_safety}};
  if (!pass.is_full_for(request)) {
    input.selection = servers_.SelectServer(
        input.query,
        [&](const BackendServerState& server) {
          return peers_.has_exclusive_use(server, now);
        },
        random_, now);
    const bool is_wider = !pass.full_without ||
                          request.excluded.size() < pass.full_without->size();
    if (!input.selection && is_wider) pass.full_without = request.excluded;
  }
  input.queue_time = now - request.arrived_at;
  if (!pass.occupancy)
    pass.occupancy = servers_.OccupancyOf(request.service, now,
                                          request.typical_service_time);
  input.occupancy = *pass.occupancy;
  input.queued_work = pass.queued_work;
  input.is_hedge = request.is_hedge;
  if (!pass.dispatcher_count) pass.dispatcher_count = peers_.LiveZoneCount(now);
  input.dispatcher_count = *pass.dispatcher_count;
  DispatchDecision decision{request.host, request.request_number,
                            AdmissionControl::Decide(input), input.selection};
  if (decision.admission == AdmissionDecision::kWait) return std::nullopt;
  decision.occupancy = input.occupancy;
  order_.OnDecided(request, decision.admission == AdmissionDecision::kSend,
                   now);
  if (decision.admission == AdmissionDecision::kSend) {
    pass.occupancy.reset();
    servers_.OnSent(input.selection->server, now);
    grants_.push_back(
        {request.host, request.request_number, input.selection->server,
         request.deadline + kGrantExpiryMargin, RequestKindOf(request)});
  }
  return decision;
}

}  // namespace dogwood
