#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Libraries/Balancing/backend_server_state.h"
#include "Libraries/Balancing/routing_configuration.h"

namespace dogwood {

// A request for a backend server, sent by the entry host that holds it to the
// dispatcher of its service in its availability zone.
struct DispatchRequest {
  std::string host;                  // entry host that holds the request
  std::uint64_t request_number = 0;  // unique per host and over its restarts
  ServiceId service;
  unsigned priority = 0;  // 0 is the most urgent
  Duration
      typical_service_time{};   // service time at a server that is not slowed
  Duration latency_goal{};      // the route's latency goal
  TimePoint latency_goal_at{};  // when the latency goal passes
  TimePoint deadline{};         // when the request times out
  TimePoint arrived_at{};       // at the dispatcher
  std::size_t body_bytes = 0;
  std::vector<ServerKey> excluded;  // servers already tried
  bool is_hedge = false;  // a second attempt while the first one still runs
  RetrySafety retry_safety = RetrySafety::kRetryable;
  std::uint64_t account = 0;  // hash of the client account's name, 0 for none
  // Share of scarce room that the account gets, relative to other accounts.
  double account_weight = 1;
};

}  // namespace dogwood
