#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "Libraries/Balancing/balancing.h"
#include "Services/Gateway/server_connection.h"

namespace dogwood {

// Keeps idle connections from this host to backend servers for reuse.
class ServerConnectionPool {
 public:
  static constexpr std::size_t kMaxIdleConnectionsPerServer = 2;
  // Connections are closed this long before the backend server's keep-alive
  // timeout, so that a request in transit does not meet a closing connection.
  static constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(600);
  // Idle timeout for backend servers that send no Keep-Alive timeout.
  static constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(4);
  // Longest idle time of a connection for a request that must not be retried:
  // such a request fails if the backend server has closed the connection.
  static constexpr Duration kMaxIdleTimeForNonRetryable =
      std::chrono::milliseconds(1500);

  ServerConnectionPool(boost::asio::any_io_executor executor,
                       std::size_t process_memory_bytes)
      : executor_(std::move(executor)),
        response_memory_(
            std::make_shared<ResponseMemory>(process_memory_bytes)) {}

  ResponseMemory& response_memory() { return *response_memory_; }
  // Returns an idle connection, or a new one that is not connected yet.
  std::unique_ptr<ServerConnection> Acquire(ServerKey server,
                                            RetrySafety retry_safety,
                                            TimePoint now);
  // Keeps a reusable connection for later requests; closes any other one.
  void Release(ServerKey server, std::unique_ptr<ServerConnection> connection,
               TimePoint now);
  // Closes connections that have been idle for longer than their timeout.
  void CloseExpired(TimePoint now);
  // Closes all idle connections to a backend server.
  void CloseAll(ServerKey server) { idle_connections_.erase(server); }

 private:
  static Duration IdleTimeout(const ServerConnection& connection);

  boost::asio::any_io_executor executor_;
  // Shared with the connections, see ResponseMemory::Reservation.
  std::shared_ptr<ResponseMemory> response_memory_;
  std::unordered_map<ServerKey, std::vector<std::unique_ptr<ServerConnection>>>
      idle_connections_;
};

}  // namespace dogwood
