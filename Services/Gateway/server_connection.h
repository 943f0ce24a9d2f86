#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http.h"

namespace dogwood {

// How an exchange with a backend server ended.
enum class ExchangeEnd {
  kAnswered,   // a whole answer to this request
  kUnsent,     // no byte of the request was written
  kLost,       // the connection ended or broke without an answer
  kMalformed,  // bytes that are no answer in the protocol, or a cut body
};

inline constexpr NameTable<ExchangeEnd, 4> kExchangeEndNames{{{
    {ExchangeEnd::kAnswered, "answered"},
    {ExchangeEnd::kUnsent, "unsent"},
    {ExchangeEnd::kLost, "connection-lost"},
    {ExchangeEnd::kMalformed, "answer-broken"},
}}};

// One connection to a backend server, for one request at a time.
class ServerConnection {
 public:
  // Answers beyond this are taken for broken.
  static constexpr std::size_t kBodyLimitBytes = std::size_t{32} << 20U;

  explicit ServerConnection(const boost::asio::any_io_executor& executor);

  boost::asio::awaitable<boost::system::error_code> Connect(
      boost::asio::ip::tcp::endpoint endpoint);

  // Sends a request and reads its answer: the first one whose id is the
  // request's. Answers to other requests are skipped. An answer that comes
  // before the whole request is written leaves the connection unusable.
  boost::asio::awaitable<ExchangeEnd> Exchange(std::string_view head,
                                               std::string_view body,
                                               std::string_view request_id,
                                               bool is_head_request);

  // Valid after kAnswered, until the next exchange.
  const MessageHead& answer() const { return parser_.head(); }
  std::string& body() { return body_; }
  std::uint64_t skipped_answers() const { return skipped_; }

  // Whether another request may follow on the connection.
  bool is_reusable() const { return is_reusable_; }
  // Whether the idle connection is still open and silent.
  bool is_sound();
  void Close();

  TimePoint idle_since{};
  std::optional<Duration> idle_limit;  // what the server announced
  bool has_served = false;             // completed an exchange before

  // For BodyReader.
  boost::asio::awaitable<boost::system::error_code> Fill();
  ByteBuffer& input() { return input_; }

 private:
  boost::asio::awaitable<ExchangeEnd> Send(std::string_view head,
                                           std::string_view body);
  boost::asio::awaitable<ExchangeEnd> Receive(std::string_view request_id,
                                              bool is_head_request);
  boost::asio::awaitable<ExchangeEnd> ReceiveOne(bool is_head_request);

  boost::asio::ip::tcp::socket socket_;
  ByteBuffer input_;
  MessageParser parser_{MessageKind::kResponse};
  std::string body_;
  bool is_written_ = false;
  bool is_reusable_ = false;
  std::uint64_t skipped_ = 0;
};

}  // namespace dogwood
