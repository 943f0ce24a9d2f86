#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <vector>

#include "Libraries/Http/http_client.h"

namespace dogwood {

// Keep-alive connections to the platform, one per request in flight. Used on
// one thread.
class HttpClientPool {
 public:
  HttpClientPool(boost::asio::any_io_executor executor,
                 boost::asio::ip::tcp::endpoint endpoint);

  // As HttpClient::Send.
  boost::asio::awaitable<Result<HttpResponse>> Send(HttpRequest request,
                                                    Duration timeout);

  // For requests without effect. Sends once more on a new connection when the
  // platform closed an idle one; fails with kUnavailable or kDeadlineExceeded,
  // also for any status but 200 and 404.
  boost::asio::awaitable<Result<HttpResponse>> Get(std::string target,
                                                   Duration timeout);

 private:
  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::vector<HttpClient> idle_;
};

}  // namespace dogwood
