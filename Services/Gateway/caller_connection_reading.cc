// Reads requests of callers, within the memory for them.
#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "Services/Gateway/caller_connection.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);

constexpr unsigned kBadRequest = 400;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeadTooLarge = 431;
constexpr unsigned kUnavailable = 503;

}  // namespace

asio::awaitable<boost::system::error_code> CallerConnection::Fill() {
  const auto [error, count] =
      co_await socket_.async_read_some(input_.Prepare(), kUseAwaitableTuple);
  if (!error) input_.Commit(count);
  read_bytes_ += count;
  is_input_closed_ = is_input_closed_ || error;
  co_return error;
}

std::optional<double> CallerConnection::ReadRate(TimePoint now) const {
  if (reading_exchange_ == nullptr || is_idle_ || is_finished_ ||
      !exchanges_.empty() || now - reading_since_ < kMinReadTime) {
    return std::nullopt;
  }
  return static_cast<double>(read_bytes_) /
         std::chrono::duration<double>(now - reading_since_).count();
}

std::optional<Duration> CallerConnection::IdleTime(TimePoint now) const {
  if (!is_idle_ || is_finished_ || !exchanges_.empty()) return std::nullopt;
  return now - idle_since_;
}

std::size_t CallerConnection::reserved_bytes(RequestMemory::Part part) const {
  if (reading_exchange_ == nullptr) return 0;
  return part == RequestMemory::Part::kBody
             ? reading_exchange_->reserved_body_bytes
             : reading_exchange_->reserved_head_bytes;
}

void CallerConnection::GiveUpRequest(std::string_view reason) {
  context_.metrics.slow_requests_given_up.Add();
  context_.log->Record(
      EventId::kSlowRequestGivenUp,
      {{"reason", reason},
       {"read_bytes", static_cast<std::int64_t>(read_bytes_)},
       {"read_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                       MonotonicNow() - reading_since_)
                       .count()}});
  if (reading_exchange_ != nullptr) ReleaseRequestMemory(*reading_exchange_);
  Abandon();
}

bool CallerConnection::try_reserve_head(Exchange& exchange) {
  const std::size_t size =
      exchange.parser.head().memory_bytes() + input_.data().size();
  const std::size_t covered =
      RequestMemory::kFreeHeadBytes + exchange.reserved_head_bytes;
  if (!try_reserve_input()) return false;
  if (size <= covered) return true;
  if (!memory_.try_reserve(RequestMemory::Part::kLargeHead, size - covered))
    return false;
  exchange.reserved_head_bytes += size - covered;
  return true;
}

bool CallerConnection::try_reserve_input() {
  const std::size_t size = input_.touched_bytes();
  const std::size_t covered = kFreeInputBytes + reserved_input_bytes_;
  if (size <= covered) return true;
  if (!memory_.try_reserve(RequestMemory::Part::kBody, size - covered))
    return false;
  reserved_input_bytes_ += size - covered;
  return true;
}

void CallerConnection::ReleaseInputMemory() {
  if (reserved_input_bytes_ == 0) return;
  input_ = ReceiveBuffer(kInputBufferBytes);
  memory_.Release(RequestMemory::Part::kBody,
                  std::exchange(reserved_input_bytes_, 0));
}

bool CallerConnection::try_append_body(Exchange& exchange,
                                       std::string_view bytes,
                                       std::size_t body_limit) {
  std::string& body = exchange.body;
  if (!try_reserve_input()) return false;
  if (!memory_.try_reserve(RequestMemory::Part::kBody, bytes.size()))
    return false;
  exchange.reserved_body_bytes += bytes.size();
  if (body.size() + bytes.size() > body.capacity()) {
    // The body is copied when its memory grows.
    const std::size_t copied_bytes = body.size();
    if (!memory_.try_reserve(RequestMemory::Part::kBody, copied_bytes))
      return false;
    const std::size_t needed = body.size() + bytes.size();
    body.reserve(std::max(needed, std::min(2 * body.capacity(), body_limit)));
    memory_.Release(RequestMemory::Part::kBody, copied_bytes);
  }
  body.append(bytes);
  return true;
}

void CallerConnection::ReleaseRequestMemory(Exchange& exchange) {
  memory_.Release(RequestMemory::Part::kBody,
                  std::exchange(exchange.reserved_body_bytes, 0));
  memory_.Release(RequestMemory::Part::kLargeHead,
                  std::exchange(exchange.reserved_head_bytes, 0));
}

asio::awaitable<CallerConnection::HeadReadResult> CallerConnection::ReadHead(
    Exchange& exchange) {
  const RequestLimits limits =
      context_.route_table ? context_.route_table->limits() : RequestLimits{};
  MessageParser& parser = exchange.parser;
  is_idle_ = input_.empty();
  if (is_idle_) ReleaseInputMemory();
  idle_since_ = reading_since_ = MonotonicNow();
  read_bytes_ = input_.data().size();
  read_deadline_ =
      MonotonicNow() + (is_idle_ ? limits.idle_timeout : limits.header_timeout);
  while (!parser.is_head_complete()) {
    if (input_.empty()) {
      const auto error = co_await Fill();
      if (error) co_return HeadReadResult::kClosed;
      if (is_idle_) {
        reading_since_ = MonotonicNow();
        read_deadline_ = reading_since_ + limits.header_timeout;
      }
      is_idle_ = false;
    }
    const MessageParser::FeedResult step = parser.Feed(input_.data());
    input_.Consume(step.consumed_bytes);
    if (step.parse_error) {
      co_return step.parse_error == MessageParseError::kHeadTooLarge
          ? HeadReadResult::kTooLarge
          : HeadReadResult::kMalformed;
    }
    if (!try_reserve_head(exchange)) co_return HeadReadResult::kMemoryExhausted;
    if (step.needs_more && !parser.is_head_complete()) {
      if (input_.is_full()) co_return HeadReadResult::kTooLarge;
      const auto error = co_await Fill();
      if (error) co_return HeadReadResult::kClosed;
    }
  }
  co_return parser.head().size_bytes() > limits.header_bytes
      ? HeadReadResult::kTooLarge
      : HeadReadResult::kRead;
}

asio::awaitable<CallerConnection::BodyReadResult> CallerConnection::ReadBody(
    Exchange& exchange) {
  MessageParser& parser = exchange.parser;
  if (parser.is_complete()) co_return BodyReadResult::kRead;
  const std::size_t body_limit = context_.route_table
                                     ? context_.route_table->limits().body_bytes
                                     : RequestLimits{}.body_bytes;
  if (parser.content_length() > body_limit) co_return BodyReadResult::kTooLarge;
  // Makes room for the whole body, so that it is refused before it is sent.
  if (!memory_.try_reserve(RequestMemory::Part::kBody, parser.content_length()))
    co_return BodyReadResult::kMemoryExhausted;
  memory_.Release(RequestMemory::Part::kBody, parser.content_length());
  if (parser.head().has_field("expect")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    std::array<asio::const_buffer, 1> buffers = {asio::buffer(kContinue)};
    PendingWrite write{buffers, 0, {}};
    co_await WriteAll(socket_, write);
  }
  exchange.body.reserve(parser.content_length());
  const TimePoint deadline =
      exchange.arrived_at +
      exchange.headers.timeout.value_or(RequestForwarder::kDefaultTimeout);
  BodyReader reader(*this, parser);
  while (!parser.is_complete()) {
    // A request that is not complete by its deadline cannot be served.
    read_deadline_ = std::min(MonotonicNow() + kBodyReadTimeout, deadline);
    const auto piece = co_await reader.ReadSome();
    if (piece.parse_error) co_return BodyReadResult::kMalformed;
    if (piece.error) co_return BodyReadResult::kClosed;
    if (exchange.body.size() + piece.size_bytes > body_limit)
      co_return BodyReadResult::kTooLarge;
    for (std::size_t i = 0; i < piece.slice_count; ++i) {
      if (!try_append_body(exchange, piece.slices[i], body_limit))
        co_return BodyReadResult::kMemoryExhausted;
    }
  }
  reader.Release();
  co_return BodyReadResult::kRead;
}

asio::awaitable<CallerConnection::ReadState> CallerConnection::ReadRequest() {
  // No co_await below is part of a condition: g++ 12 miscompiles accesses to
  // the coroutine frame if several conditions of a coroutine contain co_await.
  const ReadState room = co_await AwaitRoomForRequest();
  if (room == ReadState::kFinished) co_return room;
  std::unique_ptr<Exchange> exchange = std::move(spare_exchange_);
  if (!exchange) exchange = std::make_unique<Exchange>();
  reading_exchange_ = exchange.get();
  const ReadState state = co_await ReadRequest(std::move(exchange));
  reading_exchange_ = nullptr;
  co_return state;
}

asio::awaitable<CallerConnection::ReadState> CallerConnection::ReadRequest(
    std::unique_ptr<Exchange> exchange) {
  const HeadReadResult head_result = co_await ReadHead(*exchange);
  // The bytes that were read may follow the last response.
  if (head_result == HeadReadResult::kClosed || is_finished_ ||
      (is_draining() && !exchanges_.empty())) {
    ReleaseRequestMemory(*exchange);
    co_return ReadState::kFinished;
  }
  if (head_result == HeadReadResult::kMemoryExhausted) {
    co_await Reject(std::move(exchange), kUnavailable,
                    "no memory for the request head");
    co_return ReadState::kFinished;
  }
  if (head_result == HeadReadResult::kMalformed) {
    co_await Reject(std::move(exchange), kBadRequest,
                    "the request is malformed");
    co_return ReadState::kFinished;
  }
  if (head_result == HeadReadResult::kTooLarge) {
    co_await Reject(std::move(exchange), kHeadTooLarge,
                    "the request head is too large");
    co_return ReadState::kFinished;
  }
  exchange->arrived_at = MonotonicNow();
  auto headers = platform::ParseCallerHeaders(exchange->parser.head());
  if (!headers) {
    co_await Reject(std::move(exchange), kBadRequest, headers.error().message);
    co_return ReadState::kFinished;
  }
  exchange->headers = std::move(headers).value();
  const bool may_start =
      exchanges_.empty() ||
      (exchange->parser.is_complete() &&
       request_forwarder_.is_retryable(exchange->parser.head()));
  if (!may_start) {
    const ReadState state = co_await AwaitAllResponsesWritten();
    if (state == ReadState::kFinished) {
      ReleaseRequestMemory(*exchange);
      co_return state;
    }
  }
  const BodyReadResult body_result = co_await ReadBody(*exchange);
  switch (body_result) {
    case BodyReadResult::kRead:
      // The request was given up while its last bytes arrived.
      if (is_finished_) {
        ReleaseRequestMemory(*exchange);
        co_return ReadState::kFinished;
      }
      break;
    case BodyReadResult::kClosed:
      ReleaseRequestMemory(*exchange);
      co_return ReadState::kFinished;
    case BodyReadResult::kMalformed:
      co_await Reject(std::move(exchange), kBadRequest,
                      "the request body is malformed");
      co_return ReadState::kFinished;
    case BodyReadResult::kTooLarge:
      co_await Reject(std::move(exchange), kContentTooLarge,
                      "the request body is too large");
      co_return ReadState::kFinished;
    case BodyReadResult::kMemoryExhausted:
      co_await Reject(std::move(exchange), kUnavailable,
                      "no memory for the request body");
      co_return ReadState::kFinished;
  }
  reading_exchange_ = nullptr;
  read_deadline_ = TimePoint::max();
  exchange->is_last = !exchange->parser.is_keep_alive();
  const bool is_last = exchange->is_last;
  Exchange& enqueued = Enqueue(std::move(exchange));
  ++running_count_;
  asio::co_spawn(socket_.get_executor(), Serve(enqueued), asio::detached);
  co_return is_last ? ReadState::kFinished : ReadState::kReadable;
}

}  // namespace dogwood
