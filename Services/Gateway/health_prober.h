#pragma once

#include <boost/asio/awaitable.hpp>
#include <set>

#include "Services/Gateway/gateway_context.h"

namespace dogwood {

// Asks the backend servers that this host is responsible for about their load.
// Answers to requests count as well, so busy servers are seldom asked.
class HealthProber {
 public:
  // A report older than this is renewed: the load of neighbours on a server's
  // machine changes about twice a second.
  static constexpr Duration kRenewAfter = std::chrono::milliseconds(100);
  static constexpr Duration kScanInterval = std::chrono::milliseconds(25);
  // A host that watches nothing looks this often whether that has changed.
  static constexpr Duration kIdleScanInterval = std::chrono::milliseconds(150);
  // Evacuated and draining servers are asked this seldom.
  static constexpr Duration kIdleRenewAfter = std::chrono::milliseconds(500);
  // Without an answer for this long the server counts as unreachable.
  static constexpr Duration kTimeout = std::chrono::milliseconds(400);

  explicit HealthProber(GatewayContext& context) : context_(context) {}

  void Start();

 private:
  boost::asio::awaitable<void> Scan();
  void FindDuties(TimePoint now);
  boost::asio::awaitable<void> Ask(ServerKey server);
  bool is_due(const ServerState& server, TimePoint now) const;
  void TakeAnswer(ServerKey server, const HttpResponse& response);

  GatewayContext& context_;
  std::vector<ServerKey> duties_;  // servers that this host watches
  TimePoint duties_at_{};
  bool has_duty_ = false;
  std::set<ServerKey> asking_;
  std::unordered_map<ServerKey, std::unique_ptr<HttpClient>> clients_;
  std::unordered_map<ServerKey, TimePoint> asked_at_;
};

}  // namespace dogwood
