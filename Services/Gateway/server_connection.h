#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http.h"
#include "Services/Gateway/response_memory.h"

namespace dogwood {

// Result of sending a request to a backend server and reading its response.
enum class ExchangeResult {
  kCompleted,          // the complete response to this request was read
  kNotSent,            // no byte was written, on a connection not used before
  kConnectionLost,     // write failed, or closed before any response byte
  kResponseTruncated,  // closed after the first byte of the response
  kInvalidResponse,    // malformed, too large or never matching
};

inline constexpr EnumNames<ExchangeResult, 5> kExchangeResultNames{{{
    {ExchangeResult::kCompleted, "answered"},
    {ExchangeResult::kNotSent, "unsent"},
    {ExchangeResult::kConnectionLost, "connection-lost"},
    {ExchangeResult::kResponseTruncated, "answer-truncated"},
    {ExchangeResult::kInvalidResponse, "answer-broken"},
}}};

// HTTP/1.1 client connection to a backend server. Carries one request at a
// time, without pipelining.
class ServerConnection {
 public:
  // A larger response body is treated as an invalid response.
  static constexpr std::size_t kMaxResponseBodyBytes = std::size_t{32} << 20U;
  // How long a response waits in all until others release memory.
  static constexpr Duration kMaxMemoryWait = std::chrono::seconds(1);
  static constexpr Duration kMemoryPollInterval = std::chrono::milliseconds(10);

  ServerConnection(const boost::asio::any_io_executor& executor,
                   std::shared_ptr<ResponseMemory> response_memory);

  boost::asio::awaitable<boost::system::error_code> Connect(
      boost::asio::ip::tcp::endpoint endpoint);

  // Sends a request and reads responses until one carries the request's ID;
  // responses with other IDs are skipped. A response that arrives before the
  // whole request is written makes the connection non-reusable, because the
  // backend server would read the next request as the rest of this body.
  boost::asio::awaitable<ExchangeResult> Exchange(std::string_view head,
                                                  std::string_view body,
                                                  std::string_view request_id,
                                                  bool is_head_request);

  // Valid after kCompleted, until the next exchange.
  const MessageHead& response_head() const { return parser_.head(); }
  std::string& response_body() { return body_; }
  // Memory of the body; it belongs to whoever takes the body.
  ResponseMemory::Reservation& response_memory() { return reservation_; }
  std::uint64_t skipped_response_count() const {
    return skipped_response_count_;
  }

  // Whether another request may be sent on the connection.
  bool is_reusable() const { return is_reusable_; }
  // Whether the idle connection is still open and has no unexpected bytes to
  // read.
  bool is_healthy();
  void Close();

  TimePoint idle_since{};
  // From the Keep-Alive field of the last response, if present.
  std::optional<Duration> keep_alive_timeout;
  bool has_completed_exchange = false;

  // ByteSource interface of BodyReader.
  boost::asio::awaitable<boost::system::error_code> Fill();
  ReceiveBuffer& input() { return input_; }

 private:
  boost::asio::awaitable<ExchangeResult> Send(std::string_view head,
                                              std::string_view body);
  boost::asio::awaitable<ExchangeResult> ReceiveResponse(
      std::string_view request_id, bool is_head_request);
  boost::asio::awaitable<ExchangeResult> ReadResponse(bool is_head_request);
  // Waits until `has_memory` returns true, at most for `time_left`, which it
  // reduces. Returns what it returned last.
  boost::asio::awaitable<bool> AwaitMemory(std::function<bool()> has_memory,
                                           Duration& time_left);

  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<ResponseMemory> response_memory_;
  ReceiveBuffer input_;
  MessageParser parser_{MessageKind::kResponse};
  std::string body_;
  ResponseMemory::Reservation reservation_;  // for `body_`
  bool is_request_written_ = false;
  bool is_reusable_ = false;
  std::uint64_t skipped_response_count_ = 0;
};

}  // namespace dogwood
