#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "Services/Gateway/gateway_context.h"
#include "Services/Gateway/request_forwarder.h"

namespace dogwood {

// Totals over all caller connections of a gateway.
struct CallerConnectionTotals {
  std::size_t connections = 0;
  std::size_t requests = 0;  // read completely and not yet responded to
  std::size_t buffered_body_bytes = 0;
};

// HTTP/1.1 server connection to a caller. Reads one request after another, has
// it served by the forwarder and writes the response.
class CallerConnection {
 public:
  // Buffered request bodies of all connections may take this fraction of the
  // process's memory limit: one third.
  static constexpr std::size_t kBodyMemoryDivisor = 3;
  // Longest time without progress while a request body is read.
  static constexpr Duration kBodyReadTimeout = std::chrono::seconds(10);
  // Longest time to write a response to a caller.
  static constexpr Duration kWriteTimeout = std::chrono::seconds(10);

  CallerConnection(GatewayContext& context, RequestForwarder& forwarder,
                   CallerConnectionTotals& load,
                   boost::asio::ip::tcp::socket socket);
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  boost::asio::awaitable<void> Run();

  // Closes the connection when its current read or write has timed out.
  void CloseIfTimedOut(TimePoint now);
  // Closes the connection when no request is being read or served.
  void CloseIfIdle();

  // ByteSource interface of BodyReader.
  boost::asio::awaitable<boost::system::error_code> Fill();
  ReceiveBuffer& input() { return input_; }

 private:
  enum class HeadReadResult { kRead, kClosed, kMalformed, kTooLarge };
  enum class BodyReadResult {
    kRead,
    kClosed,
    kMalformed,
    kTooLarge,
    kMemoryExhausted
  };

  boost::asio::awaitable<HeadReadResult> ReadHead();
  boost::asio::awaitable<BodyReadResult> ReadBody();
  // Returns whether the connection is kept alive for another request.
  boost::asio::awaitable<bool> ServeNextRequest();
  // Returns whether the whole response was written.
  boost::asio::awaitable<bool> WriteResponse(const CallerResponse& response,
                                             bool should_close);
  // Logs a request that cannot be read and writes an error response with
  // "Connection: close".
  boost::asio::awaitable<void> RespondAndClose(unsigned status,
                                               std::string_view reason);
  void Close();

  GatewayContext& context_;
  RequestForwarder& request_forwarder_;
  CallerConnectionTotals& load_;
  boost::asio::ip::tcp::socket socket_;
  ReceiveBuffer input_;
  MessageParser parser_{MessageKind::kRequest};
  std::string body_;
  // Deadline of the current read or write; none while a request is served.
  TimePoint io_deadline_ = TimePoint::max();
  bool is_idle_ = true;  // no byte of the next request has arrived
};

}  // namespace dogwood
