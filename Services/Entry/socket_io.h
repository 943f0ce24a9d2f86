#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <span>

namespace dogwood {

// Writes all bytes. Tries without waiting first, which spares a round through
// the scheduler for every message that fits the socket's buffer. `written`
// counts the bytes given to the kernel, also on failure.
boost::asio::awaitable<boost::system::error_code> WriteAll(
    boost::asio::ip::tcp::socket& socket,
    std::span<boost::asio::const_buffer> buffers, std::size_t& written);

}  // namespace dogwood
