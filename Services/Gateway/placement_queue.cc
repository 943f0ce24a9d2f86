#include "Services/Gateway/placement_queue.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <tuple>

namespace dogwood {

namespace asio = boost::asio;

void PlacementQueue::Start() {
  asio::co_spawn(context_.io, ReviewPeriodically(), asio::detached);
}

asio::awaitable<void> PlacementQueue::ReviewPeriodically() {
  asio::steady_timer timer(context_.io);
  for (;;) {
    timer.expires_after(kInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    Review();
  }
}

void PlacementQueue::Add(WaitingRequest& request) {
  const TimePoint now = MonotonicNow();
  const auto before = static_cast<std::size_t>(std::count_if(
      waiting_.begin(), waiting_.end(), [&](const WaitingRequest* other) {
        return other->service == request.service;
      }));
  request.decided.expires_at(TimePoint::max());
  if (Decide(request, before, now)) return;
  waiting_.push_back(&request);
  context_.metrics.waiting.Set(static_cast<std::int64_t>(waiting_.size()));
}

void PlacementQueue::Remove(WaitingRequest& request) {
  std::erase(waiting_, &request);
  context_.metrics.waiting.Set(static_cast<std::int64_t>(waiting_.size()));
}

void PlacementQueue::Review() {
  if (waiting_.empty()) return;
  const TimePoint now = MonotonicNow();
  const auto order = [now](const WaitingRequest* request) {
    const bool is_late = now + request->usual_work > request->goal_at;
    return std::tuple(is_late, request->route.priority, request->arrived_at);
  };
  std::sort(waiting_.begin(), waiting_.end(),
            [&](const WaitingRequest* left, const WaitingRequest* right) {
              return order(left) < order(right);
            });
  std::map<ServiceId, std::size_t> before;
  std::erase_if(waiting_, [&](WaitingRequest* request) {
    if (!Decide(*request, before[request->service], now)) {
      ++before[request->service];
      return false;
    }
    request->decided.cancel();
    return true;
  });
  context_.metrics.waiting.Set(static_cast<std::int64_t>(waiting_.size()));
}

bool PlacementQueue::Decide(WaitingRequest& request, std::size_t before,
                            TimePoint now) {
  Admission::Input input{request.QueryAt(now)};
  input.placement = context_.servers.Choose(
      input.query,
      [&](const ServerState& server) {
        return context_.peers.is_responsible(server, now);
      },
      context_.random, now);
  input.waited = now - request.arrived_at;
  input.occupancy = context_.servers.OccupancyOf(request.service, now);
  input.waiting_before = before;
  input.host_count = context_.peers.LiveCount(now);
  request.verdict = Admission::Decide(input);
  if (request.verdict == AdmissionVerdict::kWait) return false;
  request.placement = input.placement;
  if (request.verdict == AdmissionVerdict::kSend) {
    context_.servers.OnSent(input.placement->server, now);
  } else {
    std::uniform_real_distribution<double> draw(0, 1);
    request.retry_after = Admission::RetryAfter(input, draw(context_.random));
  }
  return true;
}

}  // namespace dogwood
