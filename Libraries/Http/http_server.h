#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http_message.h"

namespace dogwood {

// HTTP/1.1 server that buffers whole requests with bounded bodies. Serves
// control traffic and test stand-ins; the request path streams instead.
class HttpServer {
 public:
  // A response with status 0 closes the connection without sending a response;
  // test stand-ins simulate lost responses with it.
  using Handler =
      std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

  struct Options {
    std::uint64_t body_limit_bytes = 1U << 20U;
    // Limit for receiving a request, and for sending its response.
    Duration idle_timeout = std::chrono::seconds(60);
    // When there are more connections, the oldest one without a request in
    // work is closed. 0 is no limit.
    std::size_t max_connections = 0;
    // Bytes of a request that are received and not parsed yet. Chunk lines and
    // trailers are parsed whole.
    std::size_t max_buffer_bytes = std::size_t{64} << 10U;
  };

  // Binds, listens and starts to accept connections. Fails with kIo when the
  // endpoint cannot be bound.
  static Result<HttpServer> Listen(
      const boost::asio::any_io_executor& executor,
      const boost::asio::ip::tcp::endpoint& endpoint, Options options,
      Handler handler);
  ~HttpServer();
  HttpServer(HttpServer&&) noexcept;
  HttpServer& operator=(HttpServer&&) noexcept;

  boost::asio::ip::tcp::endpoint local_endpoint() const;
  // Stops accepting connections. An open connection closes after the request
  // that it serves or waits for.
  void Stop();

 private:
  struct State;

  explicit HttpServer(std::shared_ptr<State> state);

  // Shared with the connections, which outlive the server object when requests
  // are in flight.
  std::shared_ptr<State> state_;
};

}  // namespace dogwood
