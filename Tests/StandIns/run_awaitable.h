#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

namespace dogwood {

// Runs `context` until the coroutine completes and returns its result.
template <typename T>
T RunAwaitable(boost::asio::io_context& context,
               boost::asio::awaitable<T> work) {
  std::optional<T> value;
  boost::asio::co_spawn(
      context,
      [&value,
       work = std::move(work)]() mutable -> boost::asio::awaitable<void> {
        value.emplace(co_await std::move(work));
      },
      boost::asio::detached);
  context.restart();
  while (!value && context.run_one() > 0) {
  }
  return std::move(value).value();
}

}  // namespace dogwood
