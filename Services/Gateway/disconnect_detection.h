#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace dogwood {

// Whether the remote end has closed or reset the connection. A connection with
// unread bytes counts as open.
bool IsDisconnected(boost::asio::ip::tcp::socket& socket);

// Returns when the remote end closes the connection. Runs in parallel with the
// request of that connection and is cancelled when the request ends.
boost::asio::awaitable<void> WaitForDisconnect(
    boost::asio::ip::tcp::socket& socket);

// Returns at `time` or when cancelled.
boost::asio::awaitable<void> WaitUntil(
    std::chrono::steady_clock::time_point time);

}  // namespace dogwood
