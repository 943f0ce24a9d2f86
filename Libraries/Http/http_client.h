#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http_message.h"

namespace dogwood {

// Parses "IPv4:PORT" or "[IPv6]:PORT". Host names are not resolved.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

// Sends buffered requests to one endpoint over one keep-alive connection, one
// request at a time. Must be used on one io_context thread.
class HttpClient {
 public:
  static constexpr std::uint64_t kDefaultMaxResponseBodyBytes = 64U << 20U;
  // Greatest total size of the head, chunk lines and trailers of a response.
  static constexpr std::uint64_t kMaxOverheadBytes = 256U << 10U;

  // A response with a body of more than `max_response_body_bytes`, or with more
  // overhead than kMaxOverheadBytes beside that, counts as lost.
  HttpClient(
      boost::asio::any_io_executor executor,
      boost::asio::ip::tcp::endpoint endpoint,
      std::uint64_t max_response_body_bytes = kDefaultMaxResponseBodyBytes);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  // Fails with kUnavailable when the connection could not be opened or the
  // request was not completely written, and with kOutcomeUnknown when the write
  // timed out or the response was lost, truncated or late.
  boost::asio::awaitable<Result<HttpResponse>> Send(HttpRequest request,
                                                    Duration timeout);

 private:
  class Connection;
  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::uint64_t max_response_body_bytes_;
  // Idle keep-alive connection, null when none is open.
  std::unique_ptr<Connection> connection_;
};

}  // namespace dogwood
