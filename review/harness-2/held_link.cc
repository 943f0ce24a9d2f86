#include "review/harness-2/held_link.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>

#include "review/harness-2/gateway_host.h"

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBufferBytes = std::size_t{16} << 10U;

// Whether the peer has reset the connection.
bool IsReset(tcp::socket& socket) {
  char byte = 0;
  const auto count =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
}

}  // namespace

struct HeldLink::Connection {
  explicit Connection(tcp::socket socket)
      : sender(std::move(socket)), server(sender.get_executor()) {}

  tcp::socket sender;
  tcp::socket server;
};

HeldLink::HeldLink(asio::io_context& io, tcp::endpoint server)
    : io_(io),
      server_(std::move(server)),
      endpoint_(asio::ip::make_address("127.0.0.1"), 0),
      acceptor_(io) {
  Listen();
}

void HeldLink::Listen() {
  acceptor_ = tcp::acceptor(io_, endpoint_);
  endpoint_ = acceptor_.local_endpoint();
  asio::co_spawn(io_, Accept(), asio::detached);
}

std::string HeldLink::address() const {
  return "127.0.0.1:" + std::to_string(endpoint_.port());
}

void HeldLink::Cut() {
  is_cut_ = true;
  acceptor_.close();
}

void HeldLink::Heal() {
  is_cut_ = false;
  Listen();
}

asio::awaitable<void> HeldLink::Accept() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kUseAwaitableTuple);
    if (error) co_return;
    auto connection = std::make_shared<Connection>(std::move(socket));
    const auto [connect_error] =
        co_await connection->server.async_connect(server_, kUseAwaitableTuple);
    if (connect_error) continue;
    asio::co_spawn(io_, Forward(connection), asio::detached);
    asio::co_spawn(io_, Return(connection), asio::detached);
  }
}

asio::awaitable<void> HeldLink::AwaitArrival() {
  TimePoint next = MonotonicNow();
  Duration interval = kFirstRetransmission;
  while (is_cut_) {
    next += interval;
    interval *= 2;
    co_await SleepUntil(next);
  }
}

asio::awaitable<void> HeldLink::Forward(
    std::shared_ptr<Connection> connection) {
  std::array<char, kBufferBytes> buffer{};
  boost::system::error_code ignored;
  for (;;) {
    const auto [error, count] = co_await connection->sender.async_read_some(
        asio::buffer(buffer), kUseAwaitableTuple);
    co_await AwaitArrival();
    if (error == asio::error::eof) {
      connection->server.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    // A reset that came while the bytes were held has taken them away.
    if (error || IsReset(connection->sender)) {
      connection->server.close(ignored);
      co_return;
    }
    const auto [write_error, written] = co_await asio::async_write(
        connection->server, asio::buffer(buffer.data(), count),
        kUseAwaitableTuple);
    if (write_error) co_return;
  }
}

asio::awaitable<void> HeldLink::Return(std::shared_ptr<Connection> connection) {
  std::array<char, kBufferBytes> buffer{};
  boost::system::error_code ignored;
  for (;;) {
    const auto [error, count] = co_await connection->server.async_read_some(
        asio::buffer(buffer), kUseAwaitableTuple);
    co_await AwaitArrival();
    if (error) {
      connection->sender.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    const auto [write_error, written] = co_await asio::async_write(
        connection->sender, asio::buffer(buffer.data(), count),
        kUseAwaitableTuple);
    if (write_error) co_return;
  }
}

}  // namespace dogwood
