#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Libraries/Core/core.h"

namespace dogwood {

// Clock and timer of the control thread. Tests substitute virtual time.
class ControlClock {
 public:
  virtual ~ControlClock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime Wall() const = 0;
  virtual boost::asio::awaitable<void> Sleep(Duration duration) = 0;
};

class SystemControlClock final : public ControlClock {
 public:
  TimePoint Now() const override { return MonotonicNow(); }
  WallTime Wall() const override { return WallClockNow(); }
  boost::asio::awaitable<void> Sleep(Duration duration) override {
    boost::asio::steady_timer timer(
        co_await boost::asio::this_coro::executor,
        std::chrono::duration_cast<boost::asio::steady_timer::duration>(
            duration));
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
};

}  // namespace dogwood
