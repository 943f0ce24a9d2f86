#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace dogwood {

// Whether the caller has closed its connection; bytes that wait to be read
// count as an open one.
bool HasLeft(boost::asio::ip::tcp::socket& socket);

// Returns when the caller closes its connection. Meant to run beside the work
// for the caller and to be cancelled with its end.
boost::asio::awaitable<void> AwaitLeaving(boost::asio::ip::tcp::socket& socket);

// Returns at the time point given, or when cancelled.
boost::asio::awaitable<void> AwaitTime(
    std::chrono::steady_clock::time_point time);

}  // namespace dogwood
