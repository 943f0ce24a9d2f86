#pragma once

#include <boost/asio/awaitable.hpp>
#include <set>

#include "Services/Gateway/gateway_context.h"

namespace dogwood {

// Sends HTTP health checks to the backend servers that this host monitors, and
// records their availability and reported load. Responses to requests carry
// load reports too, so busy servers are rarely checked.
class HealthChecker {
 public:
  // An older load report is renewed. The load of other processes on a backend
  // server's host changes about twice per second.
  static constexpr Duration kLoadReportMaxAge = std::chrono::milliseconds(100);
  // Between passes over the servers in search of due checks.
  static constexpr Duration kScheduleInterval = std::chrono::milliseconds(25);
  // Between updates of the servers that this host monitors.
  static constexpr Duration kAssignmentInterval =
      std::chrono::milliseconds(150);
  // Shortest interval between checks of a server in an evacuated zone.
  static constexpr Duration kInactiveCheckInterval =
      std::chrono::milliseconds(500);
  // A server that does not respond within this time counts as unreachable.
  // A longer response to a health check counts as lost.
  static constexpr std::uint64_t kMaxCheckResponseBytes = 64U << 10U;
  static constexpr Duration kCheckTimeout = std::chrono::milliseconds(400);

  explicit HealthChecker(GatewayContext& context) : context_(context) {}

  void Start();

 private:
  boost::asio::awaitable<void> RunSchedule();
  void UpdateAssignments(TimePoint now);
  boost::asio::awaitable<void> CheckServer(ServerKey server);
  bool is_check_due(const BackendServerState& server, TimePoint now) const;
  void HandleResponse(ServerKey server, const HttpResponse& response);

  GatewayContext& context_;
  std::vector<ServerKey> assigned_servers_;
  TimePoint assigned_at_{};
  bool has_assigned_servers_ = false;
  std::set<ServerKey> checks_in_flight_;
  std::unordered_map<ServerKey, std::unique_ptr<HttpClient>> clients_;
  std::unordered_map<ServerKey, TimePoint> checked_at_;
};

}  // namespace dogwood
