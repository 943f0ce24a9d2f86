#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http_message.h"

namespace dogwood {

// "IP:PORT" or "[IP6]:PORT"; names are not resolved.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

// Sends whole requests to one address over one keep-alive connection, one at a
// time. Used on one io_context thread.
class HttpClient {
 public:
  HttpClient(boost::asio::any_io_executor executor,
             boost::asio::ip::tcp::endpoint endpoint);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  // Fails with kUnavailable when the connection could not be opened or the
  // request was not completely written, kOutcomeUnknown when the answer was
  // lost, truncated or late.
  boost::asio::awaitable<Result<HttpResponse>> Send(HttpRequest request,
                                                    Duration timeout);

 private:
  class Connection;
  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::unique_ptr<Connection> connection_;
};

}  // namespace dogwood
