#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <span>

namespace dogwood {

// A gather write that may take several system calls.
struct PendingWrite {
  std::span<boost::asio::const_buffer> buffers;  // bytes not yet written
  std::size_t written = 0;  // bytes accepted by the kernel, also on failure
  boost::system::error_code error;
  // When the last bytes were accepted that did not fit the send buffer at once.
  std::chrono::steady_clock::time_point progressed_at{};
};

// Writes without waiting and returns false when the send buffer is full. A
// message that fits the send buffer needs no pass through the event loop. Sets
// `write.error` and returns true on failure. The socket must be in non-blocking
// mode.
bool TryWriteAll(boost::asio::ip::tcp::socket& socket, PendingWrite& write);

// Writes all bytes without a timeout. Sets `write.error` on failure.
boost::asio::awaitable<void> WriteAll(boost::asio::ip::tcp::socket& socket,
                                      PendingWrite& write);

}  // namespace dogwood
