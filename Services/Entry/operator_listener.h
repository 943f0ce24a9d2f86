#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Http/http.h"

namespace dogwood {

// HTTP server for operators, on a separate address. Authenticates each request
// by bearer token and routes it to a handler. Runs on the control thread.
class OperatorListener {
 public:
  using Handler = std::function<boost::asio::awaitable<HttpResponse>(
      const HttpRequest& request)>;

  // Without a token every request is answered 401. Call before Listen.
  void set_token(std::string token) { token_ = std::move(token); }

  // Routes `method` on `path` to `handler`. A path that ends with "/*" matches
  // all paths below it; the longest match wins. Call before Listen.
  void AddRoute(std::string method, std::string path, Handler handler);

  Result<void> Listen(const boost::asio::any_io_executor& executor,
                      const boost::asio::ip::tcp::endpoint& endpoint);
  void Stop();
  boost::asio::ip::tcp::endpoint local_endpoint() const;

  boost::asio::awaitable<HttpResponse> HandleRequest(
      const HttpRequest& request) const;

 private:
  struct Route {
    std::string method;
    std::string path;
    Handler handler;
  };

  bool is_authorized(const HttpRequest& request) const;

  std::string token_;
  std::vector<Route> routes_;
  std::optional<HttpServer> server_;
};

}  // namespace dogwood
