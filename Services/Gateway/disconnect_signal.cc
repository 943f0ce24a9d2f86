#include "Services/Gateway/disconnect_signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

DisconnectSignal::DisconnectSignal(const asio::any_io_executor& executor)
    : timer_(executor, std::chrono::steady_clock::time_point::max()) {}

void DisconnectSignal::Set() {
  is_set_ = true;
  timer_.cancel();
}

asio::awaitable<void> DisconnectSignal::Wait() {
  if (is_set_) co_return;
  co_await timer_.async_wait(kUseAwaitableTuple);
}

asio::awaitable<void> WaitUntil(std::chrono::steady_clock::time_point time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(kUseAwaitableTuple);
}

}  // namespace dogwood
