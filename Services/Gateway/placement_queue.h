#pragma once

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <vector>

#include "Services/Gateway/gateway_context.h"

namespace dogwood {

// A request that waits for a backend server; lives in its coroutine's frame.
struct WaitingRequest {
  WaitingRequest(const boost::asio::any_io_executor& executor,
                 const RouteEntry& given_route, const ServiceId& given_service)
      : route(given_route), service(given_service), decided(executor) {}

  // Time-dependent fields are as of `now`.
  PlacementQuery QueryAt(TimePoint now) const {
    return {service,       usual_work,     route.latency_goal,
            goal_at - now, deadline - now, body_bytes,
            excluded};
  }

  const RouteEntry& route;
  const ServiceId& service;
  Duration usual_work{};
  TimePoint goal_at{};
  TimePoint deadline{};
  TimePoint arrived_at{};
  std::size_t body_bytes = 0;
  std::vector<ServerKey> excluded;

  // Set by the queue.
  AdmissionVerdict verdict = AdmissionVerdict::kWait;
  std::optional<Placement> placement;
  Duration retry_after{};
  boost::asio::steady_timer decided;  // cancelled by the decision
};

// Decides for the requests of this host which backend server they go to, in the
// order: those that can still meet their goal, by priority, then by arrival. A
// placement counts as sent at once.
class PlacementQueue {
 public:
  // Waiting requests are looked at again this often; reports of backend servers
  // arrive at about the same rate.
  static constexpr Duration kInterval = std::chrono::milliseconds(12);

  explicit PlacementQueue(GatewayContext& context) : context_(context) {}

  void Start();

  // Decides at once where possible; otherwise the request waits in the queue
  // until `decided` is cancelled or Remove is called.
  void Add(WaitingRequest& request);
  void Remove(WaitingRequest& request);
  // Room may have become free.
  void Review();
  std::size_t size() const { return waiting_.size(); }

 private:
  boost::asio::awaitable<void> ReviewPeriodically();
  bool Decide(WaitingRequest& request, std::size_t before, TimePoint now);

  GatewayContext& context_;
  std::vector<WaitingRequest*> waiting_;
};

}  // namespace dogwood
