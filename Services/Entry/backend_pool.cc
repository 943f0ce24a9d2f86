#include "Services/Entry/backend_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace dogwood {

namespace asio = boost::asio;

struct BackendPool::Server {
  std::string key;
  unsigned open = 0;
  std::vector<std::vector<std::unique_ptr<BackendConnection>>> idle;
  // Shared with the tickets of the waiting requests.
  std::deque<std::shared_ptr<Ticket::State>> waiting;
};

namespace {

std::string KeyOf(const DispatchGrant& grant) {
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

BackendPool::BackendPool(unsigned workers) : workers_(workers) {}

BackendPool::~BackendPool() { Close(); }

void BackendPool::Close() {
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

void BackendPool::set_live_hosts(unsigned count) {
  const std::lock_guard lock(mutex_);
  cap_ = std::max(1U, kConnectionsPerServer / std::max(1U, count));
}

unsigned BackendPool::cap() const {
  const std::lock_guard lock(mutex_);
  return cap_;
}

BackendPool::Server& BackendPool::ServerOf(const std::string& key) {
  std::unique_ptr<Server>& server = servers_[key];
  if (!server) {
    server = std::make_unique<Server>();
    server->key = key;
    server->idle.resize(workers_);
  }
  return *server;
}

std::unique_ptr<BackendConnection> BackendPool::TakeLocked(
    unsigned worker, const asio::any_io_executor& executor, Server& server,
    std::vector<std::unique_ptr<BackendConnection>>& discarded) {
  auto& own = server.idle[worker];
  while (!own.empty()) {
    // The most recently used connection is the least likely to be closed.
    std::unique_ptr<BackendConnection> connection = std::move(own.back());
    own.pop_back();
    if (connection->is_reusable()) return connection;
    discarded.push_back(std::move(connection));
  }
  if (server.open >= cap_ + discarded.size()) {
    for (auto& idle : server.idle) {
      if (idle.empty()) continue;
      discarded.push_back(std::move(idle.front()));
      idle.erase(idle.begin());
      break;
    }
  }
  // Discarded connections are closed by the caller, before it connects.
  if (server.open >= cap_ + discarded.size()) return nullptr;
  ++server.open;
  return std::make_unique<BackendConnection>(
      executor, server.key, [this, &server] { GiveBackPlace(server); });
}

std::unique_ptr<BackendConnection> BackendPool::TryTake(
    unsigned worker, const asio::any_io_executor& executor,
    const DispatchGrant& grant) {
  // Destroyed after the lock is released: a connection's end takes the lock.
  std::vector<std::unique_ptr<BackendConnection>> discarded;
  const std::lock_guard lock(mutex_);
  return TakeLocked(worker, executor, ServerOf(KeyOf(grant)), discarded);
}

asio::awaitable<std::unique_ptr<BackendConnection>> BackendPool::Take(
    unsigned worker, asio::any_io_executor executor, const DispatchGrant& grant,
    Ticket& ticket) {
  Ticket::State& state = *ticket.state_;
  state.executor = executor;
  while (!state.is_cancelled) {
    {
      std::vector<std::unique_ptr<BackendConnection>> discarded;
      const std::lock_guard lock(mutex_);
      Server& server = ServerOf(KeyOf(grant));
      auto connection = TakeLocked(worker, executor, server, discarded);
      if (connection) co_return connection;
      server.waiting.push_back(ticket.state_);
    }
    co_await state.signal.Wait();
  }
  // A wake-up may have been spent on this wait.
  const std::lock_guard lock(mutex_);
  Server& server = ServerOf(KeyOf(grant));
  std::erase(server.waiting, ticket.state_);
  WakeOne(server);
  co_return nullptr;
}

void BackendPool::WakeOne(Server& server) {
  if (server.waiting.empty()) return;
  auto state = std::move(server.waiting.front());
  server.waiting.pop_front();
  const asio::any_io_executor executor = state->executor;
  asio::post(executor, [state = std::move(state)] { state->signal.Notify(); });
}

void BackendPool::Release(unsigned worker,
                          std::unique_ptr<BackendConnection> connection,
                          TimePoint now) {
  connection->idle_since = now;
  std::unique_ptr<BackendConnection> discarded;
  const std::lock_guard lock(mutex_);
  Server& server = ServerOf(connection->key());
  // A smaller cap takes effect as connections come back.
  if (is_closed_ || server.open > cap_) {
    discarded = std::move(connection);
    return;
  }
  server.idle[worker].push_back(std::move(connection));
  WakeOne(server);
}

void BackendPool::GiveBackPlace(Server& server) {
  const std::lock_guard lock(mutex_);
  VERIFY(server.open > 0);
  --server.open;
  WakeOne(server);
}

void BackendPool::CloseIdle(unsigned worker, TimePoint limit) {
  std::vector<std::unique_ptr<BackendConnection>> discarded;
  const std::lock_guard lock(mutex_);
  for (auto& [key, server] : servers_) {
    auto& idle = server->idle[worker];
    const auto fresh =
        std::find_if(idle.begin(), idle.end(), [&](const auto& connection) {
          return connection->idle_since >= limit && connection->is_reusable();
        });
    std::move(idle.begin(), fresh, std::back_inserter(discarded));
    idle.erase(idle.begin(), fresh);
  }
}

unsigned BackendPool::open_connections(const DispatchGrant& grant) const {
  const std::lock_guard lock(mutex_);
  const auto found = servers_.find(KeyOf(grant));
  return found == servers_.end() ? 0 : found->second->open;
}

void BackendPool::Ticket::Cancel() {
  state_->is_cancelled = true;
  // Posted, because the resumed request may end the caller of Cancel.
  if (state_->executor) {
    asio::post(state_->executor, [state = state_] { state->signal.Notify(); });
  }
}

}  // namespace dogwood
