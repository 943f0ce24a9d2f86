#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http_message.h"

namespace dogwood {

// Serves whole requests with bounded bodies; for control traffic and stand-ins,
// not for the request path, which streams.
class HttpServer {
 public:
  // A response with status 0 closes the connection without an answer, which
  // stand-ins use to lose answers.
  using Handler =
      std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

  struct Options {
    std::uint64_t body_limit_bytes = 1U << 20U;
    Duration idle_timeout = std::chrono::seconds(60);
  };

  // Binds and listens; fails with kIo when the address is taken.
  static Result<HttpServer> Listen(
      const boost::asio::any_io_executor& executor,
      const boost::asio::ip::tcp::endpoint& endpoint, Options options,
      Handler handler);
  ~HttpServer();
  HttpServer(HttpServer&&) noexcept;
  HttpServer& operator=(HttpServer&&) noexcept;

  boost::asio::ip::tcp::endpoint local_endpoint() const;
  // Accepts no more connections; open ones end after their current request.
  void Stop();

 private:
  struct State;
  // Sessions outlive the server object when it is stopped with requests in
  // flight.
  explicit HttpServer(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

}  // namespace dogwood
