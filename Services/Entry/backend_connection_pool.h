#pragma once

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Libraries/Core/core.h"
#include "Services/Entry/async_notification.h"
#include "Services/Entry/backend_connection.h"
#include "Services/Entry/request_dispatcher.h"

namespace dogwood {

// Pool of keep-alive connections to backend servers, with a limit on the
// connections of this host to each backend server. An idle connection is reused
// only by the worker that opened it. When the limit is reached, an idle
// connection of another worker is closed to make room for a new one. The pool
// must outlive its connections.
class BackendConnectionPool {
 public:
  // Connections that a backend server accepts from all hosts together.
  static constexpr unsigned kConnectionsPerServer = 260;

  // Allows the waiting worker to cancel an Acquire.
  class WaitHandle;

  explicit BackendConnectionPool(unsigned workers);
  ~BackendConnectionPool();

  // Divides each backend server's connections equally among the live hosts.
  void set_live_hosts(unsigned count);
  // Connections of this host to each backend server.
  unsigned cap() const;

  // Returns an idle connection that is still open, or a new one that is not yet
  // connected. Null when the connection limit is reached.
  std::unique_ptr<BackendConnection> TryAcquire(
      unsigned worker, const boost::asio::any_io_executor& executor,
      const DispatchGrant& grant);

  // As TryAcquire, but waits while the connection limit is reached. Null after
  // WaitHandle::Cancel.
  boost::asio::awaitable<std::unique_ptr<BackendConnection>> Acquire(
      unsigned worker, boost::asio::any_io_executor executor,
      const DispatchGrant& grant, WaitHandle& wait_handle);

  // Returns a connection without a request in flight to the pool.
  void Release(unsigned worker, std::unique_ptr<BackendConnection> connection,
               TimePoint now);

  // Closes the worker's connections that have been idle since before `cutoff`.
  void CloseIdleSince(unsigned worker, TimePoint cutoff);

  // Closes all idle connections, and from now on each connection that is
  // released. Must be called before the workers' io_contexts are destroyed.
  void Close();

  unsigned open_connections(const DispatchGrant& grant) const;

 private:
  struct Server;

  Server& FindOrCreateServer(const std::string& key);
  std::unique_ptr<BackendConnection> AcquireLocked(
      unsigned worker, const boost::asio::any_io_executor& executor,
      Server& server,
      std::vector<std::unique_ptr<BackendConnection>>& discarded);
  void ReleaseConnectionSlot(Server& server);
  static void NotifyFirstWaiter(Server& server);

  const unsigned workers_;
  mutable RankedMutex mutex_{LockRank::kConnections};
  bool is_closed_ = false;
  unsigned connection_limit_ = kConnectionsPerServer;
  std::unordered_map<std::string, std::unique_ptr<Server>> servers_;
};

class BackendConnectionPool::WaitHandle {
 public:
  // Ends the wait. Must be called on the waiting worker's thread.
  void Cancel();

 private:
  friend class BackendConnectionPool;
  // Shared with the notification that another worker posts.
  struct State {
    AsyncNotification notification;
    boost::asio::any_io_executor executor;
    bool is_cancelled = false;
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace dogwood
