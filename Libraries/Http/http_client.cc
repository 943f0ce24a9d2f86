#include "Libraries/Http/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

#include "Libraries/Http/message_head.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttpVersion = 11;  // HTTP/1.1 as Beast encodes it

http::request<http::string_body> ToBeastRequest(HttpRequest request,
                                                const std::string& host) {
  http::request<http::string_body> message;
  message.version(kHttpVersion);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, host);
  for (const auto& [name, value] : request.headers) message.set(name, value);
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

HttpResponse FromBeastResponse(http::response<http::string_body> message) {
  HttpResponse response;
  response.status = message.result_int();
  for (const auto& field : message) {
    response.headers.emplace_back(std::string(field.name_string()),
                                  std::string(field.value()));
  }
  response.body = std::move(message.body());
  return response;
}

}  // namespace

Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  unsigned short port = 0;
  boost::system::error_code error;
  if (colon != std::string_view::npos) {
    std::string_view ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
      ip = ip.substr(1, ip.size() - 2);
    const char* text_end = text.data() + text.size();
    const auto address = asio::ip::make_address(std::string(ip), error);
    // from_chars consumes all digits of a number that is out of range.
    const auto [port_end, port_error] =
        std::from_chars(text.data() + colon + 1, text_end, port);
    if (!error && port_error == std::errc() && port_end == text_end) {
      return asio::ip::tcp::endpoint(address, port);
    }
  }
  return Fail(ErrorCode::kInvalidArgument, "address \"" + std::string(text) +
                                               "\" is not of the form IP:PORT");
}

class HttpClient::Connection {
 public:
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {}

  beast::tcp_stream stream;
  // Bytes that are not parsed yet; chunk lines and trailers are parsed whole.
  static constexpr std::size_t kMaxBufferBytes = std::size_t{64} << 10U;
  beast::flat_buffer buffer{kMaxBufferBytes};
};

HttpClient::HttpClient(asio::any_io_executor executor,
                       asio::ip::tcp::endpoint endpoint,
                       std::uint64_t max_response_body_bytes)
    : executor_(std::move(executor)),
      endpoint_(std::move(endpoint)),
      max_response_body_bytes_(max_response_body_bytes) {}
HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

asio::awaitable<Result<HttpResponse>> HttpClient::Send(HttpRequest request,
                                                       Duration timeout) {
  const TimePoint deadline = MonotonicNow() + timeout;
  const std::string host =
      endpoint_.address().to_string() + ":" + std::to_string(endpoint_.port());
  const http::request<http::string_body> message =
      ToBeastRequest(std::move(request), host);
  std::unique_ptr<Connection> connection = std::move(connection_);
  if (!connection) {
    connection = std::make_unique<Connection>(executor_);
    connection->stream.expires_at(deadline);
    const auto [error] = co_await connection->stream.async_connect(
        endpoint_, kUseAwaitableTuple);
    if (error)
      co_return Fail(ErrorCode::kUnavailable,
                     host + ": connect: " + error.message());
  }
  connection->stream.expires_at(deadline);
  const auto [write_error, written] = co_await http::async_write(
      connection->stream, message, kUseAwaitableTuple);
  // The timeout can expire after the kernel has accepted the last bytes, so the
  // request may have been sent.
  if (write_error == beast::error::timeout) {
    co_return Fail(ErrorCode::kOutcomeUnknown,
                   host + ": write: " + write_error.message());
  }
  if (write_error) {
    co_return Fail(ErrorCode::kUnavailable,
                   host + ": write: " + write_error.message());
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(max_response_body_bytes_);
  for (std::uint64_t received_bytes = 0; !parser.is_done();) {
    const auto [read_error, read_bytes] = co_await http::async_read_some(
        connection->stream, connection->buffer, parser, kUseAwaitableTuple);
    if (read_error) {
      co_return Fail(ErrorCode::kOutcomeUnknown,
                     host + ": read: " + read_error.message());
    }
    received_bytes += read_bytes;
    if (received_bytes > max_response_body_bytes_ + kMaxOverheadBytes) {
      co_return Fail(ErrorCode::kOutcomeUnknown,
                     host + ": read: too many chunk lines");
    }
  }
  // Requests without Expect get no interim response.
  constexpr unsigned kFirstFinalStatus = 200;
  const unsigned status = parser.get().result_int();
  if (status < kFirstFinalStatus || !IsValidStatus(static_cast<int>(status))) {
    co_return Fail(ErrorCode::kOutcomeUnknown,
                   host + ": read: status " + std::to_string(status));
  }
  if (parser.get().keep_alive() && connection->buffer.size() == 0) {
    connection->stream.expires_never();
    connection_ = std::move(connection);
  }
  co_return FromBeastResponse(parser.release());
}

}  // namespace dogwood
