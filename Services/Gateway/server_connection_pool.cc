#include "Services/Gateway/server_connection_pool.h"

#include <algorithm>

namespace dogwood {

Duration ServerConnectionPool::IdleTimeout(const ServerConnection& connection) {
  if (!connection.keep_alive_timeout) return kDefaultIdleTimeout;
  return std::max(Duration::zero(),
                  *connection.keep_alive_timeout - kIdleTimeoutMargin);
}

std::unique_ptr<ServerConnection> ServerConnectionPool::Acquire(
    ServerKey server, RetrySafety retry_safety, TimePoint now) {
  auto& connections = idle_connections_[server];
  while (!connections.empty()) {
    std::unique_ptr<ServerConnection> connection =
        std::move(connections.back());
    connections.pop_back();
    const Duration idle_time = now - connection->idle_since;
    const bool is_fresh = retry_safety == RetrySafety::kRetryable ||
                          idle_time <= kMaxIdleTimeForNonRetryable;
    if (is_fresh && idle_time <= IdleTimeout(*connection) &&
        connection->is_healthy()) {
      return connection;
    }
  }
  return std::make_unique<ServerConnection>(executor_, response_memory_);
}

void ServerConnectionPool::Release(ServerKey server,
                                   std::unique_ptr<ServerConnection> connection,
                                   TimePoint now) {
  if (!connection->is_reusable()) return;
  auto& connections = idle_connections_[server];
  if (connections.size() >= kMaxIdleConnectionsPerServer) return;
  connection->idle_since = now;
  connections.push_back(std::move(connection));
}

void ServerConnectionPool::CloseExpired(TimePoint now) {
  for (auto& [server, connections] : idle_connections_) {
    std::erase_if(connections, [&](const auto& connection) {
      return now - connection->idle_since > IdleTimeout(*connection);
    });
  }
  std::erase_if(idle_connections_,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace dogwood
