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

// HTTP interface for operators, on an address of its own. All requests need the
// bearer token. Runs on the control thread.
class OperatorListener {
 public:
  using Handler = std::function<boost::asio::awaitable<HttpResponse>(
      const HttpRequest& request)>;

  // Without a token nobody is let in. Call before Listen.
  void set_token(std::string token) { token_ = std::move(token); }

  // Serves `method` on `path`; a path that ends with "/*" serves all paths
  // below it, unless a longer route fits. Call before Listen.
  void Route(std::string method, std::string path, Handler handler);

  Result<void> Listen(const boost::asio::any_io_executor& executor,
                      const boost::asio::ip::tcp::endpoint& endpoint);
  void Stop();
  boost::asio::ip::tcp::endpoint local_endpoint() const;

  boost::asio::awaitable<HttpResponse> Respond(
      const HttpRequest& request) const;

 private:
  struct RouteEntry {
    std::string method;
    std::string path;
    Handler handler;
  };

  bool is_authorized(const HttpRequest& request) const;

  std::string token_;
  std::vector<RouteEntry> routes_;
  std::optional<HttpServer> server_;
};

}  // namespace dogwood
