#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <span>

namespace dogwood {

// A gather write in progress.
struct PendingWrite {
  std::span<boost::asio::const_buffer> buffers;  // not yet written
  std::size_t written = 0;  // bytes given to the kernel, also on failure
  boost::system::error_code error;
};

// Writes without waiting; false when the socket's buffer is full. Spares a
// round through the scheduler for every message that fits the socket's buffer.
// The socket must be in non-blocking mode.
bool TryWriteAll(boost::asio::ip::tcp::socket& socket, PendingWrite& write);

// Writes all bytes, waiting as long as it takes.
boost::asio::awaitable<void> WriteAll(boost::asio::ip::tcp::socket& socket,
                                      PendingWrite& write);

}  // namespace dogwood
