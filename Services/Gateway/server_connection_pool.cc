#include "Services/Gateway/server_connection_pool.h"

#include <algorithm>

namespace dogwood {

Duration ServerConnectionPool::LimitOf(const ServerConnection& connection) {
  if (!connection.idle_limit) return kDefaultIdleLimit;
  return std::max(Duration::zero(), *connection.idle_limit - kIdleMargin);
}

std::unique_ptr<ServerConnection> ServerConnectionPool::Take(
    ServerKey server, Repeatability repeatability, TimePoint now) {
  auto& idle = idle_[server];
  while (!idle.empty()) {
    std::unique_ptr<ServerConnection> connection = std::move(idle.back());
    idle.pop_back();
    const Duration age = now - connection->idle_since;
    const bool is_fresh =
        repeatability == Repeatability::kRepeatable || age <= kFreshIdle;
    if (is_fresh && age <= LimitOf(*connection) && connection->is_sound())
      return connection;
  }
  return std::make_unique<ServerConnection>(executor_);
}

void ServerConnectionPool::Return(ServerKey server,
                                  std::unique_ptr<ServerConnection> connection,
                                  TimePoint now) {
  if (!connection->is_reusable()) return;
  auto& idle = idle_[server];
  if (idle.size() >= kMostIdle) return;
  connection->idle_since = now;
  idle.push_back(std::move(connection));
}

void ServerConnectionPool::CloseIdle(TimePoint now) {
  for (auto& [server, idle] : idle_) {
    std::erase_if(idle, [&](const auto& connection) {
      return now - connection->idle_since > LimitOf(*connection);
    });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace dogwood
