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

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kInputBytes = std::size_t{16} * 1024;

// Waits until it is cancelled.
asio::awaitable<void> WaitForever() {
  asio::steady_timer never(co_await asio::this_coro::executor,
                           asio::steady_timer::time_point::max());
  co_await never.async_wait(kUseTuple);
}

}  // namespace

ServerConnection::ServerConnection(const asio::any_io_executor& executor)
    : socket_(executor), input_(kInputBytes) {}

asio::awaitable<boost::system::error_code> ServerConnection::Connect(
    asio::ip::tcp::endpoint endpoint) {
  const auto [error] = co_await socket_.async_connect(endpoint, kUseTuple);
  if (error) co_return error;
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  co_return error;
}

asio::awaitable<boost::system::error_code> ServerConnection::Fill() {
  const auto [error, count] =
      co_await socket_.async_read_some(input_.Prepare(), kUseTuple);
  if (!error) input_.Commit(count);
  co_return error;
}

asio::awaitable<ExchangeEnd> ServerConnection::Exchange(
    std::string_view head, std::string_view body, std::string_view request_id,
    bool is_head_request) {
  using asio::experimental::awaitable_operators::operator||;
  is_reusable_ = false;
  is_written_ = false;
  std::array<asio::const_buffer, 2> buffers = {asio::buffer(head),
                                               asio::buffer(body)};
  PendingWrite write{buffers, 0, {}};
  if (TryWriteAll(socket_, write)) {
    if (write.error) {
      co_return write.written == 0 && !has_served ? ExchangeEnd::kUnsent
                                                  : ExchangeEnd::kLost;
    }
    is_written_ = true;
    co_return co_await Receive(request_id, is_head_request);
  }
  // A server may answer before it has read a long body.
  const auto write_rest = [this, &write]() -> asio::awaitable<void> {
    co_await WriteAll(socket_, write);
    is_written_ = !write.error;
    co_await WaitForever();
  };
  const auto ended =
      co_await (Receive(request_id, is_head_request) || write_rest());
  co_return ended.index() == 0 ? std::get<0>(ended) : ExchangeEnd::kLost;
}

asio::awaitable<ExchangeEnd> ServerConnection::Receive(
    std::string_view request_id, bool is_head_request) {
  // More answers to other requests than this mean a broken server.
  constexpr int kMostSkipped = 4;
  for (int skipped = 0; skipped <= kMostSkipped; ++skipped) {
    const ExchangeEnd end = co_await ReceiveOne(is_head_request);
    if (end != ExchangeEnd::kAnswered) co_return end;
    const auto headers = platform::ReadServerHeaders(parser_.head());
    if (headers.request_id == request_id) {
      is_reusable_ = is_reusable_ && is_written_;
      has_served = true;
      co_return ExchangeEnd::kAnswered;
    }
    if (!is_reusable_) co_return ExchangeEnd::kMalformed;
    ++skipped_;
  }
  co_return ExchangeEnd::kMalformed;
}

asio::awaitable<ExchangeEnd> ServerConnection::ReceiveOne(
    bool is_head_request) {
  constexpr unsigned kFirstFinalStatus = 200;
  is_reusable_ = false;
  bool has_read = !input_.empty();
  parser_.Reset(is_head_request);
  body_.clear();
  for (;;) {
    while (!parser_.is_head_complete()) {
      if (input_.empty()) {
        if (co_await Fill())
          co_return has_read ? ExchangeEnd::kMalformed : ExchangeEnd::kLost;
        has_read = true;
      }
      const MessageParser::Step step = parser_.Feed(input_.data());
      input_.Consume(step.consumed);
      if (step.fault) co_return ExchangeEnd::kMalformed;
      if (!step.needs_more || parser_.is_head_complete()) continue;
      if (const auto error = co_await Fill()) co_return ExchangeEnd::kMalformed;
    }
    if (parser_.head().status >= kFirstFinalStatus) break;
    parser_.Reset(is_head_request);  // an interim answer
  }
  BodyReader reader(*this, parser_);
  while (!parser_.is_complete()) {
    const auto piece = co_await reader.Next();
    for (std::size_t i = 0; i < piece.slice_count; ++i)
      body_.append(piece.slices[i]);
    if (piece.fault || body_.size() > kBodyLimitBytes)
      co_return ExchangeEnd::kMalformed;
    if (!piece.error) continue;
    // Only an orderly close ends a body without a length.
    const bool is_whole = parser_.framing() == BodyFraming::kUntilClose &&
                          piece.error == asio::error::eof;
    co_return is_whole ? ExchangeEnd::kAnswered : ExchangeEnd::kMalformed;
  }
  reader.Release();
  is_reusable_ = parser_.is_keep_alive();
  co_return ExchangeEnd::kAnswered;
}

bool ServerConnection::is_sound() {
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
