#include "Services/Gateway/disconnect_detection.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

bool IsDisconnected(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto count =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

asio::awaitable<void> WaitForDisconnect(asio::ip::tcp::socket& socket) {
  const auto [error] = co_await socket.async_wait(
      asio::ip::tcp::socket::wait_read, kUseAwaitableTuple);
  if (!error && IsDisconnected(socket)) co_return;
  // Either more bytes have arrived, such as a pipelined request, and a later
  // disconnect is not detected, or the wait was cancelled.
  co_await WaitUntil(std::chrono::steady_clock::time_point::max());
}

asio::awaitable<void> WaitUntil(std::chrono::steady_clock::time_point time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(kUseAwaitableTuple);
}

}  // namespace dogwood
