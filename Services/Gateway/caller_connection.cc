#include "Services/Gateway/caller_connection.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Services/Gateway/reply_writer.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kInputBufferBytes = std::size_t{18} * 1024;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeadTooLarge = 431;
constexpr unsigned kUnavailable = 503;

}  // namespace

CallerConnection::CallerConnection(GatewayContext& context, RequestRelay& relay,
                                   CallerLoad& load,
                                   asio::ip::tcp::socket socket)
    : context_(context),
      relay_(relay),
      load_(load),
      socket_(std::move(socket)),
      input_(kInputBufferBytes) {}

void CallerConnection::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void CallerConnection::CheckTime(TimePoint now) {
  if (now >= overdue_at_) Close();
}

void CallerConnection::CloseIfIdle() {
  if (is_idle_ && input_.empty()) Close();
}

asio::awaitable<boost::system::error_code> CallerConnection::Fill() {
  const auto [error, count] =
      co_await socket_.async_read_some(input_.Prepare(), kUseTuple);
  if (!error) input_.Commit(count);
  co_return error;
}

asio::awaitable<void> CallerConnection::Run() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  while (co_await ServeOne()) {
  }
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Close();
}

asio::awaitable<CallerConnection::HeadEnd> CallerConnection::ReadHead() {
  const CallerLimits limits =
      context_.routes ? context_.routes->limits() : CallerLimits{};
  parser_.Reset();
  is_idle_ = input_.empty();
  overdue_at_ =
      MonotonicNow() + (is_idle_ ? limits.idle_timeout : limits.header_timeout);
  while (!parser_.is_head_complete()) {
    if (input_.empty()) {
      if (co_await Fill()) co_return HeadEnd::kClosed;
      if (is_idle_) overdue_at_ = MonotonicNow() + limits.header_timeout;
      is_idle_ = false;
    }
    const MessageParser::Step step = parser_.Feed(input_.data());
    input_.Consume(step.consumed);
    if (step.fault) {
      co_return step.fault == FramingFault::kHeadTooLarge ? HeadEnd::kTooLarge
                                                          : HeadEnd::kMalformed;
    }
    if (step.needs_more && !parser_.is_head_complete()) {
      if (input_.Prepare().size() == 0) co_return HeadEnd::kTooLarge;
      if (co_await Fill()) co_return HeadEnd::kClosed;
    }
  }
  co_return parser_.head().size_bytes() > limits.header_bytes
      ? HeadEnd::kTooLarge
      : HeadEnd::kRead;
}

asio::awaitable<CallerConnection::BodyEnd> CallerConnection::ReadBody() {
  body_.clear();
  if (parser_.is_complete()) co_return BodyEnd::kRead;
  const std::size_t limit = context_.routes
                                ? context_.routes->limits().body_bytes
                                : CallerLimits{}.body_bytes;
  const std::size_t memory = context_.settings.memory_bytes / kBodyMemoryPart;
  if (parser_.content_length() > limit) co_return BodyEnd::kTooLarge;
  if (load_.body_bytes + parser_.content_length() > memory)
    co_return BodyEnd::kNoMemory;
  if (parser_.head().has("expect")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    std::array<asio::const_buffer, 1> buffers = {asio::buffer(kContinue)};
    PendingWrite write{buffers, 0, {}};
    co_await WriteAll(socket_, write);
  }
  body_.reserve(parser_.content_length());
  BodyReader reader(*this, parser_);
  while (!parser_.is_complete()) {
    overdue_at_ = MonotonicNow() + kBodySilence;
    const auto piece = co_await reader.Next();
    for (std::size_t i = 0; i < piece.slice_count; ++i)
      body_.append(piece.slices[i]);
    load_.body_bytes += piece.size_bytes;
    if (piece.fault) co_return BodyEnd::kMalformed;
    if (piece.error) co_return BodyEnd::kClosed;
    if (body_.size() > limit) co_return BodyEnd::kTooLarge;
    if (load_.body_bytes > memory) co_return BodyEnd::kNoMemory;
  }
  reader.Release();
  co_return BodyEnd::kRead;
}

asio::awaitable<bool> CallerConnection::ServeOne() {
  switch (co_await ReadHead()) {
    case HeadEnd::kRead:
      break;
    case HeadEnd::kClosed:
      co_return false;
    case HeadEnd::kMalformed:
      co_await Reject(kBadRequest, "the request is malformed");
      co_return false;
    case HeadEnd::kTooLarge:
      co_await Reject(kHeadTooLarge, "the request head is too large");
      co_return false;
  }
  const TimePoint arrived_at = MonotonicNow();
  auto headers = platform::ReadCallerHeaders(parser_.head());
  if (!headers) {
    co_await Reject(kBadRequest, headers.error().message);
    co_return false;
  }
  const BodyEnd body_end = co_await ReadBody();
  bool should_go_on = false;
  if (body_end == BodyEnd::kRead) {
    overdue_at_ = TimePoint::max();
    ++load_.requests;
    const CallerRequest request{
        parser_.head(), body_, std::move(headers).value(), arrived_at, socket_};
    Reply reply = co_await relay_.Serve(request);
    const bool should_close = !parser_.is_keep_alive() ||
                              context_.phase == ServingPhase::kLeaving ||
                              reply.outcome == ReplyOutcome::kCallerLeft;
    should_go_on = reply.outcome != ReplyOutcome::kCallerLeft &&
                   co_await Write(reply, should_close) && !should_close;
    --load_.requests;
  } else if (body_end == BodyEnd::kTooLarge) {
    co_await Reject(kContentTooLarge, "the request body is too large");
  } else if (body_end == BodyEnd::kNoMemory) {
    co_await Reject(kUnavailable, "no memory for the request body");
  } else if (body_end == BodyEnd::kMalformed) {
    co_await Reject(kBadRequest, "the request body is malformed");
  }
  load_.body_bytes -= std::min(load_.body_bytes, body_.size());
  body_.clear();
  // Large bodies are rare; their memory is given back.
  constexpr std::size_t kKeptBodyBytes = std::size_t{64} * 1024;
  if (body_.capacity() > kKeptBodyBytes) body_.shrink_to_fit();
  co_return should_go_on;
}

asio::awaitable<bool> CallerConnection::Write(const Reply& reply,
                                              bool should_close) {
  std::string head = reply.head;
  head.append("Content-Length: ").append(std::to_string(reply.body.size()));
  head.append(should_close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n");
  const bool is_head = parser_.head().method == "HEAD";
  std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head),
      asio::buffer(reply.body.data(), is_head ? 0 : reply.body.size())};
  PendingWrite write{buffers, 0, {}};
  overdue_at_ = MonotonicNow() + kWriteTimeout;
  co_await WriteAll(socket_, write);
  co_return !write.error;
}

asio::awaitable<void> CallerConnection::Reject(unsigned status,
                                               std::string_view reason) {
  // Log texts of callers are bounded by the head's limit.
  context_.log->Record(
      EventId::kRequestMalformed,
      {{"status", static_cast<std::int64_t>(status)}, {"reason", reason}});
  const RequestId id;
  co_await Write(OwnReply(ReplyOutcome::kNotRun, status, id, reason),
                 /*should_close=*/true);
}

}  // namespace dogwood
