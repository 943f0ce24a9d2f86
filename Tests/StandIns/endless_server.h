#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace dogwood {

// Server that answers each connection's first bytes with a text and then with
// others again and again until the peer closes.
class EndlessServer {
 public:
  EndlessServer(boost::asio::io_context& io, std::string start,
                std::string piece)
      : acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        start_(std::move(start)),
        piece_(std::move(piece)) {
    boost::asio::co_spawn(io, Accept(), boost::asio::detached);
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }
  // Bytes that the peers' connections have accepted.
  std::size_t written_bytes() const { return written_bytes_; }

 private:
  static constexpr auto kUseAwaitableTuple =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  boost::asio::awaitable<void> Accept() {
    for (;;) {
      auto [error, socket] =
          co_await acceptor_.async_accept(kUseAwaitableTuple);
      if (error) co_return;
      boost::asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket) {
    std::array<char, 4096> request{};
    co_await socket.async_read_some(boost::asio::buffer(request),
                                    kUseAwaitableTuple);
    for (const std::string* bytes = &start_;; bytes = &piece_) {
      const auto [error, count] = co_await boost::asio::async_write(
          socket, boost::asio::buffer(*bytes), kUseAwaitableTuple);
      written_bytes_ += count;
      if (error) co_return;
    }
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::string start_;
  std::string piece_;
  std::size_t written_bytes_ = 0;
};

}  // namespace dogwood
