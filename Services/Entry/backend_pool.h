#pragma once

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Libraries/Core/core.h"
#include "Services/Entry/backend_connection.h"
#include "Services/Entry/request_dispatcher.h"
#include "Services/Entry/signal.h"

namespace dogwood {

// Keep-alive connections to backend servers, shared by the workers of a host
// and capped for each backend server. Idle connections stay with the worker
// that opened them; at the cap, an idle connection of another worker is closed
// in favour of a new one. The pool outlives all its connections.
class BackendPool {
 public:
  // Connections a backend server can hold, over all hosts.
  static constexpr unsigned kConnectionsPerServer = 260;

  // A wait for a place at the cap; ended by Cancel from the waiting worker.
  class Ticket;

  explicit BackendPool(unsigned workers);
  ~BackendPool();

  // Divides the backend server's connections among the live hosts.
  void set_live_hosts(unsigned count);
  unsigned cap() const;

  // A usable connection: idle and still open, or new and not yet connected.
  // Null when the connections are at the cap.
  std::unique_ptr<BackendConnection> TryTake(
      unsigned worker, const boost::asio::any_io_executor& executor,
      const DispatchGrant& grant);

  // Like TryTake, but waits at the cap; null after Cancel.
  boost::asio::awaitable<std::unique_ptr<BackendConnection>> Take(
      unsigned worker, boost::asio::any_io_executor executor,
      const DispatchGrant& grant, Ticket& ticket);

  // Takes back a connection that has no request in flight.
  void Release(unsigned worker, std::unique_ptr<BackendConnection> connection,
               TimePoint now);

  // Closes connections that have been idle since before `limit`.
  void CloseIdle(unsigned worker, TimePoint limit);

  // Closes all idle connections and keeps none from now on. Must precede the
  // end of the workers' io_contexts.
  void Close();

  unsigned open_connections(const DispatchGrant& grant) const;

 private:
  struct Server;

  Server& ServerOf(const std::string& key);
  std::unique_ptr<BackendConnection> TakeLocked(
      unsigned worker, const boost::asio::any_io_executor& executor,
      Server& server,
      std::vector<std::unique_ptr<BackendConnection>>& discarded);
  void GiveBackPlace(Server& server);
  static void WakeOne(Server& server);

  const unsigned workers_;
  mutable RankedMutex mutex_{LockRank::kConnections};
  bool is_closed_ = false;
  unsigned cap_ = kConnectionsPerServer;
  std::unordered_map<std::string, std::unique_ptr<Server>> servers_;
};

class BackendPool::Ticket {
 public:
  // Ends the wait; called on the waiting worker's thread.
  void Cancel();

 private:
  friend class BackendPool;
  // Shared with the wake-up that another worker posts.
  struct State {
    Signal signal;
    boost::asio::any_io_executor executor;
    bool is_cancelled = false;
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace dogwood
