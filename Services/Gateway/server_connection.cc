#include "Services/Gateway/server_connection.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "platform/platform.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kInputBufferBytes = std::size_t{16} * 1024;

// Suspends the coroutine until it is cancelled.
asio::awaitable<void> WaitUntilCancelled() {
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           asio::steady_timer::time_point::max());
  co_await timer.async_wait(kUseAwaitableTuple);
}

}  // namespace

ServerConnection::ServerConnection(
    const asio::any_io_executor& executor,
    std::shared_ptr<ResponseMemory> response_memory)
    : socket_(executor),
      response_memory_(std::move(response_memory)),
      input_(kInputBufferBytes) {}

asio::awaitable<boost::system::error_code> ServerConnection::Connect(
    asio::ip::tcp::endpoint endpoint) {
  const auto [error] =
      co_await socket_.async_connect(endpoint, kUseAwaitableTuple);
  if (error) co_return error;
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  co_return error;
}

asio::awaitable<boost::system::error_code> ServerConnection::Fill() {
  const auto [error, count] =
      co_await socket_.async_read_some(input_.Prepare(), kUseAwaitableTuple);
  if (!error) input_.Commit(count);
  co_return error;
}

asio::awaitable<ExchangeResult> ServerConnection::Exchange(
    std::string_view head, std::string_view body, std::string_view request_id,
    bool is_head_request) {
  using asio::experimental::awaitable_operators::operator||;
  is_reusable_ = false;
  is_request_written_ = false;
  std::array<asio::const_buffer, 2> buffers = {asio::buffer(head),
                                               asio::buffer(body)};
  PendingWrite write{buffers, 0, {}};
  if (TryWriteAll(socket_, write)) {
    if (write.error) {
      co_return write.written == 0 && !has_completed_exchange
          ? ExchangeResult::kNotSent
          : ExchangeResult::kConnectionLost;
    }
    is_request_written_ = true;
    co_return co_await ReceiveResponse(request_id, is_head_request);
  }
  // A backend server may respond before it has read the whole body.
  const auto write_rest = [this, &write]() -> asio::awaitable<void> {
    co_await WriteAll(socket_, write);
    is_request_written_ = !write.error;
    co_await WaitUntilCancelled();
  };
  const auto completed =
      co_await (ReceiveResponse(request_id, is_head_request) || write_rest());
  co_return completed.index() == 0 ? std::get<0>(completed)
                                   : ExchangeResult::kConnectionLost;
}

asio::awaitable<ExchangeResult> ServerConnection::ReceiveResponse(
    std::string_view request_id, bool is_head_request) {
  // More responses to other requests than this are an invalid response.
  constexpr int kMaxSkippedResponses = 4;
  for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    const ExchangeResult result = co_await ReadResponse(is_head_request);
    if (result != ExchangeResult::kCompleted) co_return result;
    const auto headers = platform::ParseServerHeaders(parser_.head());
    if (headers.request_id == request_id) {
      is_reusable_ = is_reusable_ && is_request_written_;
      has_completed_exchange = true;
      co_return ExchangeResult::kCompleted;
    }
    if (!is_reusable_) co_return ExchangeResult::kInvalidResponse;
    ++skipped_response_count_;
  }
  co_return ExchangeResult::kInvalidResponse;
}

asio::awaitable<ExchangeResult> ServerConnection::ReadResponse(
    bool is_head_request) {
  constexpr unsigned kSwitchingProtocols = 101;  // never requested
  constexpr unsigned kFirstFinalStatus = 200;
  // More interim responses than this are an invalid response.
  constexpr int kMaxInterimResponses = 16;
  int interim_response_count = 0;
  is_reusable_ = false;
  bool has_read = !input_.empty();
  parser_.Reset(is_head_request);
  body_.clear();
  reservation_ = ResponseMemory::Reservation(response_memory_);
  Duration memory_wait_left = kMaxMemoryWait;
  for (;;) {
    while (!parser_.is_head_complete()) {
      if (input_.empty()) {
        if (co_await Fill())
          co_return has_read ? ExchangeResult::kResponseTruncated
                             : ExchangeResult::kConnectionLost;
        has_read = true;
      }
      const MessageParser::FeedResult step = parser_.Feed(input_.data());
      input_.Consume(step.consumed_bytes);
      if (step.parse_error) co_return ExchangeResult::kInvalidResponse;
      if (!step.needs_more || parser_.is_head_complete()) continue;
      if (input_.is_full()) co_return ExchangeResult::kInvalidResponse;
      if (const auto error = co_await Fill())
        co_return ExchangeResult::kResponseTruncated;
    }
    if (parser_.head().status >= kFirstFinalStatus) break;
    if (parser_.head().status == kSwitchingProtocols ||
        ++interim_response_count > kMaxInterimResponses)
      co_return ExchangeResult::kInvalidResponse;
    parser_.Reset(is_head_request);  // skips a 1xx interim response
  }
  if (!parser_.is_complete() && parser_.framing() == BodyFraming::kLength) {
    if (parser_.content_length() > kMaxResponseBodyBytes)
      co_return ExchangeResult::kInvalidResponse;
    // Responses that each hold a part of the memory would wait for each other.
    const std::size_t length = parser_.content_length();
    bool has_room = response_memory_->has_room(length, length);
    if (!has_room) {
      has_room = co_await AwaitMemory(
          [&] { return response_memory_->has_room(length, length); },
          memory_wait_left);
    }
    if (!has_room) co_return ExchangeResult::kInvalidResponse;
    body_.reserve(length);
  }
  BodyReader reader(*this, parser_);
  while (!parser_.is_complete()) {
    const auto piece = co_await reader.ReadSome();
    bool has_memory = reservation_.try_reserve(piece.size_bytes);
    if (!has_memory) {
      has_memory = co_await AwaitMemory(
          [&] { return reservation_.try_reserve(piece.size_bytes); },
          memory_wait_left);
    }
    if (!has_memory) co_return ExchangeResult::kInvalidResponse;
    for (std::size_t i = 0; i < piece.slice_count; ++i)
      body_.append(piece.slices[i]);
    if (piece.parse_error || body_.size() > kMaxResponseBodyBytes)
      co_return ExchangeResult::kInvalidResponse;
    if (!piece.error) continue;
    // A close-delimited body is complete only after an orderly close, not after
    // a reset. While the request is still being written, its writer may have
    // consumed the reset, so that the end of the input proves nothing.
    const bool is_body_complete =
        parser_.framing() == BodyFraming::kUntilClose &&
        piece.error == asio::error::eof && is_request_written_;
    co_return is_body_complete ? ExchangeResult::kCompleted
                               : ExchangeResult::kResponseTruncated;
  }
  reader.Release();
  is_reusable_ = parser_.is_keep_alive();
  co_return ExchangeResult::kCompleted;
}

asio::awaitable<bool> ServerConnection::AwaitMemory(
    std::function<bool()> has_memory, Duration& time_left) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (time_left > Duration::zero()) {
    response_memory_->OnExhausted();
    const TimePoint polled_at = MonotonicNow();
    timer.expires_after(kMemoryPollInterval);
    const auto [error] = co_await timer.async_wait(kUseAwaitableTuple);
    if (error) co_return false;
    // On a busy machine a poll takes much longer than its interval.
    time_left -= MonotonicNow() - polled_at;
    if (has_memory()) co_return true;
  }
  co_return false;
}

bool ServerConnection::is_healthy() {
  if (!socket_.is_open() || !input_.empty()) return false;
  char byte = 0;
  const auto count =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ServerConnection::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace dogwood
