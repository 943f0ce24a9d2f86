#include "Services/Entry/backend_connection_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace dogwood {

namespace asio = boost::asio;

struct BackendConnectionPool::Server {
  std::string key;
  unsigned open_count = 0;
  std::vector<std::vector<std::unique_ptr<BackendConnection>>> idle;
  // Shared with the wait handles of the waiting requests.
  std::deque<std::shared_ptr<WaitHandle::State>> waiters;
};

namespace {

std::string MakePoolKey(const DispatchGrant& grant) {
  const auto& endpoint = grant.endpoint;
  std::string key = grant.server.value();
  key += '@';
  if (endpoint.address().is_v4()) {
    const auto bytes = endpoint.address().to_v4().to_bytes();
    key.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  } else {
    const auto bytes = endpoint.address().to_v6().to_bytes();
    key.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  }
  const std::uint16_t port = endpoint.port();
  key += static_cast<char>(port >> 8U);
  key += static_cast<char>(port & 0xFFU);
  return key;
}

}  // namespace

BackendConnectionPool::BackendConnectionPool(unsigned workers)
    : workers_(workers) {}

BackendConnectionPool::~BackendConnectionPool() { Close(); }

void BackendConnectionPool::Close() {
  std::vector<std::unique_ptr<BackendConnection>> discarded;
  const std::lock_guard lock(mutex_);
  is_closed_ = true;
  for (auto& [key, server] : servers_) {
    for (auto& idle : server->idle) {
      std::move(idle.begin(), idle.end(), std::back_inserter(discarded));
      idle.clear();
    }
  }
}

void BackendConnectionPool::set_live_hosts(unsigned count) {
  const std::lock_guard lock(mutex_);
  connection_limit_ = std::max(1U, kConnectionsPerServer / std::max(1U, count));
}

unsigned BackendConnectionPool::cap() const {
  const std::lock_guard lock(mutex_);
  return connection_limit_;
}

BackendConnectionPool::Server& BackendConnectionPool::FindOrCreateServer(
    const std::string& key) {
  std::unique_ptr<Server>& server = servers_[key];
  if (!server) {
    server = std::make_unique<Server>();
    server->key = key;
    server->idle.resize(workers_);
  }
  return *server;
}

std::unique_ptr<BackendConnection> BackendConnectionPool::AcquireLocked(
    unsigned worker, const asio::any_io_executor& executor, Server& server,
    std::vector<std::unique_ptr<BackendConnection>>& discarded) {
  auto& own_idle = server.idle[worker];
  while (!own_idle.empty()) {
    // The backend server is least likely to have closed the most recently used
    // connection.
    std::unique_ptr<BackendConnection> connection = std::move(own_idle.back());
    own_idle.pop_back();
    if (connection->is_reusable()) return connection;
    discarded.push_back(std::move(connection));
  }
  if (server.open_count >= connection_limit_ + discarded.size()) {
    for (auto& idle : server.idle) {
      if (idle.empty()) continue;
      discarded.push_back(std::move(idle.front()));
      idle.erase(idle.begin());
      break;
    }
  }
  // The discarded connections still count as open here. They are destroyed
  // before the new connection is established.
  if (server.open_count >= connection_limit_ + discarded.size()) return nullptr;
  ++server.open_count;
  return std::make_unique<BackendConnection>(
      executor, server.key, [this, &server] { ReleaseConnectionSlot(server); });
}

std::unique_ptr<BackendConnection> BackendConnectionPool::TryAcquire(
    unsigned worker, const asio::any_io_executor& executor,
    const DispatchGrant& grant) {
  // Declared before the lock, so that it is destroyed after the lock is
  // released: the destructor of a connection takes the lock.
  std::vector<std::unique_ptr<BackendConnection>> discarded;
  const std::lock_guard lock(mutex_);
  return AcquireLocked(worker, executor, FindOrCreateServer(MakePoolKey(grant)),
                       discarded);
}

asio::awaitable<std::unique_ptr<BackendConnection>>
BackendConnectionPool::Acquire(unsigned worker, asio::any_io_executor executor,
                               const DispatchGrant& grant,
                               WaitHandle& wait_handle) {
  WaitHandle::State& state = *wait_handle.state_;
  state.executor = executor;
  while (!state.is_cancelled) {
    {
      std::vector<std::unique_ptr<BackendConnection>> discarded;
      const std::lock_guard lock(mutex_);
      Server& server = FindOrCreateServer(MakePoolKey(grant));
      auto connection = AcquireLocked(worker, executor, server, discarded);
      if (connection) co_return connection;
      server.waiters.push_back(wait_handle.state_);
    }
    co_await state.notification.Wait();
  }
  // This wait may have consumed a notification that another waiter needs.
  const std::lock_guard lock(mutex_);
  Server& server = FindOrCreateServer(MakePoolKey(grant));
  std::erase(server.waiters, wait_handle.state_);
  NotifyFirstWaiter(server);
  co_return nullptr;
}

void BackendConnectionPool::NotifyFirstWaiter(Server& server) {
  if (server.waiters.empty()) return;
  auto state = std::move(server.waiters.front());
  server.waiters.pop_front();
  const asio::any_io_executor executor = state->executor;
  asio::post(executor,
             [state = std::move(state)] { state->notification.Notify(); });
}

void BackendConnectionPool::Release(
    unsigned worker, std::unique_ptr<BackendConnection> connection,
    TimePoint now) {
  connection->idle_since = now;
  std::unique_ptr<BackendConnection> discarded;
  const std::lock_guard lock(mutex_);
  Server& server = FindOrCreateServer(connection->pool_key());
  // A lowered limit takes effect as connections are released.
  if (is_closed_ || server.open_count > connection_limit_) {
    discarded = std::move(connection);
    return;
  }
  server.idle[worker].push_back(std::move(connection));
  NotifyFirstWaiter(server);
}

void BackendConnectionPool::ReleaseConnectionSlot(Server& server) {
  const std::lock_guard lock(mutex_);
  VERIFY(server.open_count > 0);
  --server.open_count;
  NotifyFirstWaiter(server);
}

void BackendConnectionPool::CloseIdleSince(unsigned worker, TimePoint cutoff) {
  std::vector<std::unique_ptr<BackendConnection>> discarded;
  const std::lock_guard lock(mutex_);
  for (auto& [key, server] : servers_) {
    auto& idle = server->idle[worker];
    const auto first_kept =
        std::find_if(idle.begin(), idle.end(), [&](const auto& connection) {
          return connection->idle_since >= cutoff && connection->is_reusable();
        });
    std::move(idle.begin(), first_kept, std::back_inserter(discarded));
    idle.erase(idle.begin(), first_kept);
  }
}

unsigned BackendConnectionPool::open_connections(
    const DispatchGrant& grant) const {
  const std::lock_guard lock(mutex_);
  const auto found = servers_.find(MakePoolKey(grant));
  return found == servers_.end() ? 0 : found->second->open_count;
}

void BackendConnectionPool::WaitHandle::Cancel() {
  state_->is_cancelled = true;
  // Posted, because the resumed coroutine may destroy the object that called
  // Cancel.
  if (state_->executor) {
    asio::post(state_->executor,
               [state = state_] { state->notification.Notify(); });
  }
}

}  // namespace dogwood
