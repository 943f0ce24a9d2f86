#include "Services/Entry/socket_io.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;

asio::awaitable<boost::system::error_code> WriteAll(
    asio::ip::tcp::socket& socket, std::span<asio::const_buffer> buffers,
    std::size_t& written) {
  written = 0;
  boost::system::error_code error;
  while (true) {
    while (!buffers.empty() && buffers.front().size() == 0)
      buffers = buffers.subspan(1);
    if (buffers.empty()) co_return boost::system::error_code();
    std::size_t count = socket.write_some(buffers, error);
    if (error == asio::error::would_block) {
      std::tie(error, count) = co_await socket.async_write_some(
          buffers, asio::as_tuple(asio::use_awaitable));
    }
    if (error) co_return error;
    written += count;
    for (asio::const_buffer& buffer : buffers) {
      const std::size_t taken = std::min(count, buffer.size());
      buffer += taken;
      count -= taken;
      if (count == 0) break;
    }
  }
}

}  // namespace dogwood
