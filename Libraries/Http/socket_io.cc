#include "Libraries/Http/socket_io.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;

namespace {

// Records `count` written bytes and drops the buffers that are fully written.
void ConsumeWritten(PendingWrite& write, std::size_t count) {
  write.written += count;
  while (!write.buffers.empty()) {
    asio::const_buffer& first = write.buffers.front();
    const std::size_t consumed = std::min(count, first.size());
    first += consumed;
    count -= consumed;
    if (first.size() > 0) return;
    write.buffers = write.buffers.subspan(1);
  }
}

}  // namespace

bool TryWriteAll(asio::ip::tcp::socket& socket, PendingWrite& write) {
  ConsumeWritten(write, 0);
  while (!write.buffers.empty()) {
    boost::system::error_code error;
    const std::size_t count = socket.write_some(write.buffers, error);
    if (error == asio::error::would_block) return false;
    if (error) {
      write.error = error;
      return true;
    }
    ConsumeWritten(write, count);
  }
  return true;
}

asio::awaitable<void> WriteAll(asio::ip::tcp::socket& socket,
                               PendingWrite& write) {
  while (!TryWriteAll(socket, write)) {
    write.progressed_at = std::chrono::steady_clock::now();
    const auto [error, count] = co_await socket.async_write_some(
        write.buffers, asio::as_tuple(asio::use_awaitable));
    ConsumeWritten(write, count);
    if (error) {
      write.error = error;
      co_return;
    }
  }
}

}  // namespace dogwood
