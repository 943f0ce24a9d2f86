#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace dogwood {

// Tells the requests of a caller connection that the caller has disconnected.
class DisconnectSignal {
 public:
  explicit DisconnectSignal(const boost::asio::any_io_executor& executor);

  bool is_set() const { return is_set_; }
  // Wakes all coroutines that wait.
  void Set();
  // Returns when the signal is set. May be cancelled.
  boost::asio::awaitable<void> Wait();

 private:
  boost::asio::steady_timer timer_;  // never expires; cancelled by Set()
  bool is_set_ = false;
};

// Returns at `time` or when cancelled.
boost::asio::awaitable<void> WaitUntil(
    std::chrono::steady_clock::time_point time);

}  // namespace dogwood
