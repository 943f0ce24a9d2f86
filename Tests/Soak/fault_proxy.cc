#include "Tests/Soak/fault_proxy.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBufferBytes = 16384;

}  // namespace

FaultProxy::FaultProxy(asio::io_context& io, tcp::endpoint target)
    : io_(io),
      target_(std::move(target)),
      acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
  asio::co_spawn(io_, Accept(), asio::detached);
}

std::string FaultProxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void FaultProxy::SetFault(LinkFault fault) {
  // Connections whose bytes were discarded cannot continue after the fault.
  const bool has_discarded_bytes =
      fault_ == LinkFault::kCutToServer || fault_ == LinkFault::kCutToCaller;
  fault_ = fault;
  if (fault != LinkFault::kReset && !has_discarded_bytes) return;
  for (const auto& connection : connections_) Reset(*connection);
  connections_.clear();
}

void FaultProxy::Reset(ProxiedConnection& connection) {
  boost::system::error_code ignored;
  for (Socket* socket : {&connection.caller, &connection.server}) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

asio::awaitable<void> FaultProxy::Accept() {
  for (;;) {
    auto connection = std::make_shared<ProxiedConnection>(io_);
    const auto [error] =
        co_await acceptor_.async_accept(connection->caller, kUseAwaitableTuple);
    if (error) co_return;
    if (fault_ == LinkFault::kReset) {
      Reset(*connection);
      continue;
    }
    connections_.insert(connection);
    asio::co_spawn(io_, ConnectToServer(std::move(connection)), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::ConnectToServer(
    std::shared_ptr<ProxiedConnection> connection) {
  const auto [error] =
      co_await connection->server.async_connect(target_, kUseAwaitableTuple);
  if (error) {
    Reset(*connection);
    connections_.erase(connection);
    co_return;
  }
  asio::co_spawn(io_,
                 Forward(connection, connection->caller, connection->server,
                         LinkFault::kCutToServer),
                 asio::detached);
  asio::co_spawn(io_,
                 Forward(connection, connection->server, connection->caller,
                         LinkFault::kCutToCaller),
                 asio::detached);
}

asio::awaitable<void> FaultProxy::Forward(
    std::shared_ptr<ProxiedConnection> connection, Socket& from, Socket& to,
    LinkFault cut) {
  constexpr Duration kPollInterval = std::chrono::milliseconds(20);
  std::array<char, kBufferBytes> buffer{};
  asio::steady_timer timer(io_);
  for (;;) {
    const auto [error, count] =
        co_await from.async_read_some(asio::buffer(buffer), kUseAwaitableTuple);
    if (error) break;
    while (fault_ == LinkFault::kSilent && from.is_open()) {
      timer.expires_after(kPollInterval);
      co_await timer.async_wait(kUseAwaitableTuple);
    }
    if (fault_ == cut) continue;
    if (fault_ == LinkFault::kDelay) {
      timer.expires_after(kDelay);
      co_await timer.async_wait(kUseAwaitableTuple);
    }
    const auto [failed, written] = co_await asio::async_write(
        to, asio::buffer(buffer.data(), count), kUseAwaitableTuple);
    if (failed) break;
  }
  boost::system::error_code ignored;
  to.shutdown(tcp::socket::shutdown_send, ignored);
  connections_.erase(connection);
}

}  // namespace dogwood
