#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <vector>

#include "Libraries/Http/http_client.h"

namespace dogwood {

// Pool of keep-alive connections to one endpoint of the platform, each with at
// most one request in flight. Must be used on one thread.
class HttpClientPool {
 public:
  HttpClientPool(boost::asio::any_io_executor executor,
                 boost::asio::ip::tcp::endpoint endpoint);

  // Fails as HttpClient::Send().
  boost::asio::awaitable<Result<HttpResponse>> Send(HttpRequest request,
                                                    Duration timeout);

  // Sends a GET request. Retries once on a new connection, since the platform
  // may have closed an idle one. Fails with kUnavailable or kDeadlineExceeded;
  // any status other than 200 and 404 is kUnavailable.
  boost::asio::awaitable<Result<HttpResponse>> SendGetWithRetry(
      std::string target, Duration timeout);

 private:
  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::vector<HttpClient> idle_clients_;
};

}  // namespace dogwood
