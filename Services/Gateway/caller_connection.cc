#include "Services/Gateway/caller_connection.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Services/Gateway/message_builder.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kInputBufferBytes = std::size_t{18} * 1024;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeadTooLarge = 431;
constexpr unsigned kUnavailable = 503;

}  // namespace

CallerConnection::CallerConnection(GatewayContext& context,
                                   RequestForwarder& forwarder,
                                   CallerConnectionTotals& load,
                                   asio::ip::tcp::socket socket)
    : context_(context),
      request_forwarder_(forwarder),
      load_(load),
      socket_(std::move(socket)),
      input_(kInputBufferBytes) {}

void CallerConnection::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void CallerConnection::CloseIfTimedOut(TimePoint now) {
  if (now >= io_deadline_) Close();
}

void CallerConnection::CloseIfIdle() {
  if (is_idle_ && input_.empty()) Close();
}

asio::awaitable<boost::system::error_code> CallerConnection::Fill() {
  const auto [error, count] =
      co_await socket_.async_read_some(input_.Prepare(), kUseAwaitableTuple);
  if (!error) input_.Commit(count);
  co_return error;
}

asio::awaitable<void> CallerConnection::Run() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  while (co_await ServeNextRequest()) {
  }
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Close();
}

asio::awaitable<CallerConnection::HeadReadResult> CallerConnection::ReadHead() {
  const RequestLimits limits =
      context_.route_table ? context_.route_table->limits() : RequestLimits{};
  parser_.Reset();
  is_idle_ = input_.empty();
  io_deadline_ =
      MonotonicNow() + (is_idle_ ? limits.idle_timeout : limits.header_timeout);
  while (!parser_.is_head_complete()) {
    if (input_.empty()) {
      if (co_await Fill()) co_return HeadReadResult::kClosed;
      if (is_idle_) io_deadline_ = MonotonicNow() + limits.header_timeout;
      is_idle_ = false;
    }
    const MessageParser::FeedResult step = parser_.Feed(input_.data());
    input_.Consume(step.consumed_bytes);
    if (step.parse_error) {
      co_return step.parse_error == MessageParseError::kHeadTooLarge
          ? HeadReadResult::kTooLarge
          : HeadReadResult::kMalformed;
    }
    if (step.needs_more && !parser_.is_head_complete()) {
      if (input_.Prepare().size() == 0) co_return HeadReadResult::kTooLarge;
      if (co_await Fill()) co_return HeadReadResult::kClosed;
    }
  }
  co_return parser_.head().size_bytes() > limits.header_bytes
      ? HeadReadResult::kTooLarge
      : HeadReadResult::kRead;
}

asio::awaitable<CallerConnection::BodyReadResult> CallerConnection::ReadBody() {
  body_.clear();
  if (parser_.is_complete()) co_return BodyReadResult::kRead;
  const std::size_t body_limit = context_.route_table
                                     ? context_.route_table->limits().body_bytes
                                     : RequestLimits{}.body_bytes;
  const std::size_t memory_limit =
      context_.settings.memory_bytes / kBodyMemoryDivisor;
  if (parser_.content_length() > body_limit)
    co_return BodyReadResult::kTooLarge;
  if (load_.buffered_body_bytes + parser_.content_length() > memory_limit)
    co_return BodyReadResult::kMemoryExhausted;
  if (parser_.head().has_field("expect")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    std::array<asio::const_buffer, 1> buffers = {asio::buffer(kContinue)};
    PendingWrite write{buffers, 0, {}};
    co_await WriteAll(socket_, write);
  }
  body_.reserve(parser_.content_length());
  BodyReader reader(*this, parser_);
  while (!parser_.is_complete()) {
    io_deadline_ = MonotonicNow() + kBodyReadTimeout;
    const auto piece = co_await reader.ReadSome();
    for (std::size_t i = 0; i < piece.slice_count; ++i)
      body_.append(piece.slices[i]);
    load_.buffered_body_bytes += piece.size_bytes;
    if (piece.parse_error) co_return BodyReadResult::kMalformed;
    if (piece.error) co_return BodyReadResult::kClosed;
    if (body_.size() > body_limit) co_return BodyReadResult::kTooLarge;
    if (load_.buffered_body_bytes > memory_limit)
      co_return BodyReadResult::kMemoryExhausted;
  }
  reader.Release();
  co_return BodyReadResult::kRead;
}

asio::awaitable<bool> CallerConnection::ServeNextRequest() {
  switch (co_await ReadHead()) {
    case HeadReadResult::kRead:
      break;
    case HeadReadResult::kClosed:
      co_return false;
    case HeadReadResult::kMalformed:
      co_await RespondAndClose(kBadRequest, "the request is malformed");
      co_return false;
    case HeadReadResult::kTooLarge:
      co_await RespondAndClose(kHeadTooLarge, "the request head is too large");
      co_return false;
  }
  const TimePoint arrived_at = MonotonicNow();
  auto headers = platform::ParseCallerHeaders(parser_.head());
  if (!headers) {
    co_await RespondAndClose(kBadRequest, headers.error().message);
    co_return false;
  }
  const BodyReadResult body_result = co_await ReadBody();
  bool should_keep_alive = false;
  if (body_result == BodyReadResult::kRead) {
    io_deadline_ = TimePoint::max();
    ++load_.requests;
    const CallerRequest request{
        parser_.head(), body_, std::move(headers).value(), arrived_at, socket_};
    CallerResponse response = co_await request_forwarder_.Serve(request);
    const bool should_close =
        !parser_.is_keep_alive() ||
        context_.serving_state == ServingState::kDraining ||
        response.outcome == ResponseOutcome::kCallerDisconnected;
    should_keep_alive =
        response.outcome != ResponseOutcome::kCallerDisconnected &&
        co_await WriteResponse(response, should_close) && !should_close;
    --load_.requests;
  } else if (body_result == BodyReadResult::kTooLarge) {
    co_await RespondAndClose(kContentTooLarge, "the request body is too large");
  } else if (body_result == BodyReadResult::kMemoryExhausted) {
    co_await RespondAndClose(kUnavailable, "no memory for the request body");
  } else if (body_result == BodyReadResult::kMalformed) {
    co_await RespondAndClose(kBadRequest, "the request body is malformed");
  }
  load_.buffered_body_bytes -=
      std::min(load_.buffered_body_bytes, body_.size());
  body_.clear();
  // Large bodies are rare, so their memory is not kept for the next request.
  constexpr std::size_t kMaxRetainedBodyBytes = std::size_t{64} * 1024;
  if (body_.capacity() > kMaxRetainedBodyBytes) body_.shrink_to_fit();
  co_return should_keep_alive;
}

asio::awaitable<bool> CallerConnection::WriteResponse(
    const CallerResponse& response, bool should_close) {
  std::string head = response.head;
  head.append("Content-Length: ").append(std::to_string(response.body.size()));
  head.append(should_close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n");
  const bool is_head_request = parser_.head().method == "HEAD";
  std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head),
      asio::buffer(response.body.data(),
                   is_head_request ? 0 : response.body.size())};
  PendingWrite write{buffers, 0, {}};
  io_deadline_ = MonotonicNow() + kWriteTimeout;
  co_await WriteAll(socket_, write);
  co_return !write.error;
}

asio::awaitable<void> CallerConnection::RespondAndClose(
    unsigned status, std::string_view reason) {
  // `reason` may quote the caller, bounded by the size limit of the head.
  context_.log->Record(
      EventId::kRequestMalformed,
      {{"status", static_cast<std::int64_t>(status)}, {"reason", reason}});
  const RequestId id;
  co_await WriteResponse(
      BuildLocalResponse(ResponseOutcome::kNotRun, status, id, reason),
      /*should_close=*/true);
}

}  // namespace dogwood
