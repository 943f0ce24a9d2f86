#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "Libraries/Balancing/balancing.h"
#include "Services/Gateway/server_connection.h"

namespace dogwood {

// Idle connections of one host to all backend servers.
class ServerConnectionPool {
 public:
  // Idle connections kept to one backend server.
  static constexpr std::size_t kMostIdle = 2;
  // Backend servers close idle connections; this host is first, with a margin
  // for a request that is on its way.
  static constexpr Duration kIdleMargin = std::chrono::milliseconds(600);
  // Used when a server does not announce its limit.
  static constexpr Duration kDefaultIdleLimit = std::chrono::seconds(4);
  // A request that must not be repeated is lost with a stale connection, so it
  // only takes one that was in use just now.
  static constexpr Duration kFreshIdle = std::chrono::milliseconds(1500);

  explicit ServerConnectionPool(boost::asio::any_io_executor executor)
      : executor_(std::move(executor)) {}

  // An idle connection, or a new one that is not connected yet.
  std::unique_ptr<ServerConnection> Take(ServerKey server,
                                         Repeatability repeatability,
                                         TimePoint now);
  void Return(ServerKey server, std::unique_ptr<ServerConnection> connection,
              TimePoint now);
  // Closes what has been idle for too long.
  void CloseIdle(TimePoint now);
  // Closes all idle connections to a server.
  void Drop(ServerKey server) { idle_.erase(server); }

 private:
  static Duration LimitOf(const ServerConnection& connection);

  boost::asio::any_io_executor executor_;
  std::unordered_map<ServerKey, std::vector<std::unique_ptr<ServerConnection>>>
      idle_;
};

}  // namespace dogwood
