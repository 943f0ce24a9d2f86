#include "Services/Gateway/caller_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

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

// A response that waited longer than this for the one in front is logged.
constexpr Duration kLoggedOrderWait = std::chrono::milliseconds(100);

}  // namespace

CallerConnection::CallerConnection(GatewayContext& context,
                                   RequestForwarder& forwarder,
                                   CallerConnectionTotals& totals,
                                   asio::ip::tcp::socket socket)
    : context_(context),
      request_forwarder_(forwarder),
      totals_(totals),
      socket_(std::move(socket)),
      input_(kInputBufferBytes),
      disconnect_signal_(socket_.get_executor()),
      progress_(socket_.get_executor(), TimePoint::max()) {}

void CallerConnection::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void CallerConnection::Abandon() {
  is_finished_ = true;
  disconnect_signal_.Set();
  progress_.cancel();
  Close();
}

void CallerConnection::CloseIfTimedOut(TimePoint now) {
  if (now >= write_deadline_) {
    Abandon();
  } else if (now >= read_deadline_ && exchanges_.empty()) {
    // While responses are due, the read may take longer.
    Close();
  }
}

std::optional<Duration> CallerConnection::WriteStall(TimePoint now) const {
  if (pending_write_ == nullptr ||
      pending_write_->progressed_at == TimePoint{} || is_finished_)
    return std::nullopt;
  return now - pending_write_->progressed_at;
}

void CallerConnection::AbandonStalledCaller() {
  context_.metrics.stalled_callers_abandoned.Add();
  context_.log->Record(
      EventId::kStalledCallerAbandoned,
      {{"request", exchanges_.front()->headers.id.value()},
       {"body_bytes",
        static_cast<std::int64_t>(exchanges_.front()->response.body.size())},
       {"written_bytes", static_cast<std::int64_t>(pending_write_->written)}});
  Abandon();
}

bool CallerConnection::is_busy() const {
  if (!exchanges_.empty()) return true;
  if (is_finished_) return false;
  boost::system::error_code ignored;
  return !is_idle_ || !input_.empty() || socket_.available(ignored) > 0;
}

void CallerConnection::CloseIfIdle() {
  if (!is_busy()) Close();
}

void CallerConnection::LogCutRequests(TimePoint stop_requested_at) const {
  for (const auto& exchange : exchanges_) {
    context_.log->Record(
        EventId::kRequestCutByStop,
        {{"request", exchange->headers.id.value()},
         {"arrived_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            exchange->arrived_at - stop_requested_at)
                            .count()},
         {"has_response", exchange->is_answered}});
  }
}

asio::awaitable<boost::system::error_code> CallerConnection::Fill() {
  const auto [error, count] =
      co_await socket_.async_read_some(input_.Prepare(), kUseAwaitableTuple);
  if (!error) input_.Commit(count);
  is_input_closed_ = is_input_closed_ || error;
  co_return error;
}

asio::awaitable<void> CallerConnection::AwaitProgress() {
  co_await progress_.async_wait(kUseAwaitableTuple);
}

asio::awaitable<void> CallerConnection::Run() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  ReadState state = ReadState::kReadable;
  while (state == ReadState::kReadable) state = co_await ReadRequest();
  co_await DiscardInput();
  disconnect_signal_.Set();
  while (running_count_ > 0) co_await AwaitProgress();
  Close();
}

asio::awaitable<void> CallerConnection::DiscardInput() {
  read_deadline_ = MonotonicNow() + kLingerTimeout;
  // Another read after the end of the input might never complete.
  while (!is_input_closed_) {
    input_.Clear();
    co_await Fill();
  }
}

bool CallerConnection::has_room_for_request() const {
  return exchanges_.size() < kMaxRequestsInFlight &&
         totals_.pipelined_requests < kMaxPipelinedRequests &&
         totals_.waiting_response_bytes <
             context_.settings.memory_bytes / kWaitingResponseMemoryDivisor;
}

asio::awaitable<CallerConnection::ReadState>
CallerConnection::AwaitRoomForRequest() {
  bool has_counted = false;
  while (!exchanges_.empty() && !is_finished_) {
    // The connection is closed after the last response before the shutdown.
    if (is_draining()) co_return ReadState::kFinished;
    if (has_room_for_request()) break;
    if (!has_counted) context_.metrics.pipelining_bound_reached.Add();
    has_counted = true;
    co_await AwaitProgress();
  }
  co_return is_finished_ ? ReadState::kFinished : ReadState::kReadable;
}

asio::awaitable<CallerConnection::ReadState>
CallerConnection::AwaitAllResponsesWritten() {
  while (!exchanges_.empty() && !is_finished_) co_await AwaitProgress();
  co_return is_finished_ ? ReadState::kFinished : ReadState::kReadable;
}

bool CallerConnection::try_reserve_head(Exchange& exchange) {
  const std::size_t size =
      exchange.parser.head().size_bytes() + input_.data().size();
  if (size <= kFreeHeadBytes + exchange.reserved_head_bytes) return true;
  const std::size_t missing =
      size - kFreeHeadBytes - exchange.reserved_head_bytes;
  exchange.reserved_head_bytes += missing;
  totals_.large_head_bytes += missing;
  return totals_.large_head_bytes <=
         context_.settings.memory_bytes / kLargeHeadMemoryDivisor;
}

void CallerConnection::ReleaseRequestMemory(Exchange& exchange) {
  totals_.buffered_body_bytes -= std::exchange(exchange.reserved_body_bytes, 0);
  totals_.large_head_bytes -= std::exchange(exchange.reserved_head_bytes, 0);
}

asio::awaitable<CallerConnection::HeadReadResult> CallerConnection::ReadHead(
    Exchange& exchange) {
  const RequestLimits limits =
      context_.route_table ? context_.route_table->limits() : RequestLimits{};
  MessageParser& parser = exchange.parser;
  is_idle_ = input_.empty();
  read_deadline_ =
      MonotonicNow() + (is_idle_ ? limits.idle_timeout : limits.header_timeout);
  while (!parser.is_head_complete()) {
    if (input_.empty()) {
      const auto error = co_await Fill();
      if (error) co_return HeadReadResult::kClosed;
      if (is_idle_) read_deadline_ = MonotonicNow() + limits.header_timeout;
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
  std::string& body = exchange.body;
  if (parser.is_complete()) co_return BodyReadResult::kRead;
  const std::size_t body_limit = context_.route_table
                                     ? context_.route_table->limits().body_bytes
                                     : RequestLimits{}.body_bytes;
  const std::size_t memory_limit =
      context_.settings.memory_bytes / kBodyMemoryDivisor;
  if (parser.content_length() > body_limit) co_return BodyReadResult::kTooLarge;
  if (totals_.buffered_body_bytes + parser.content_length() > memory_limit)
    co_return BodyReadResult::kMemoryExhausted;
  if (parser.head().has_field("expect")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    std::array<asio::const_buffer, 1> buffers = {asio::buffer(kContinue)};
    PendingWrite write{buffers, 0, {}};
    co_await WriteAll(socket_, write);
  }
  body.reserve(parser.content_length());
  const TimePoint deadline =
      exchange.arrived_at +
      exchange.headers.timeout.value_or(RequestForwarder::kDefaultTimeout);
  BodyReader reader(*this, parser);
  while (!parser.is_complete()) {
    // A request that is not complete by its deadline cannot be served.
    read_deadline_ = std::min(MonotonicNow() + kBodyReadTimeout, deadline);
    const auto piece = co_await reader.ReadSome();
    for (std::size_t i = 0; i < piece.slice_count; ++i)
      body.append(piece.slices[i]);
    exchange.reserved_body_bytes += piece.size_bytes;
    totals_.buffered_body_bytes += piece.size_bytes;
    if (piece.parse_error) co_return BodyReadResult::kMalformed;
    if (piece.error) co_return BodyReadResult::kClosed;
    if (body.size() > body_limit) co_return BodyReadResult::kTooLarge;
    if (totals_.buffered_body_bytes > memory_limit)
      co_return BodyReadResult::kMemoryExhausted;
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
  read_deadline_ = TimePoint::max();
  exchange->is_last = !exchange->parser.is_keep_alive();
  const bool is_last = exchange->is_last;
  Exchange& enqueued = Enqueue(std::move(exchange));
  ++running_count_;
  asio::co_spawn(socket_.get_executor(), Serve(enqueued), asio::detached);
  co_return is_last ? ReadState::kFinished : ReadState::kReadable;
}

CallerConnection::Exchange& CallerConnection::Enqueue(
    std::unique_ptr<Exchange> exchange) {
  if (!exchanges_.empty()) {
    ++totals_.pipelined_requests;
    context_.metrics.requests_pipelined.Add();
  }
  ++totals_.requests;
  exchanges_.push_back(std::move(exchange));
  return *exchanges_.back();
}

void CallerConnection::RemoveFrontExchange() {
  spare_exchange_ = std::move(exchanges_.front());
  exchanges_.pop_front();
  --totals_.requests;
  if (!exchanges_.empty()) --totals_.pipelined_requests;
  ReleaseRequestMemory(*spare_exchange_);
  // Large bodies are rare, so their memory is not kept for the next request.
  constexpr std::size_t kMaxRetainedBodyBytes = std::size_t{64} * 1024;
  if (spare_exchange_->body.capacity() > kMaxRetainedBodyBytes) {
    spare_exchange_.reset();
  } else {
    spare_exchange_->parser.Reset();
    spare_exchange_->body.clear();
    spare_exchange_->response = {};
    spare_exchange_->is_answered = false;
    spare_exchange_->waits_since.reset();
    spare_exchange_->is_last = false;
    spare_exchange_->is_rejected = false;
  }
  progress_.cancel();
}

asio::awaitable<void> CallerConnection::Serve(Exchange& exchange) {
  const CallerRequest request{exchange.parser.head(), exchange.body,
                              exchange.headers, exchange.arrived_at,
                              disconnect_signal_};
  exchange.response = co_await request_forwarder_.Serve(request);
  exchange.is_answered = true;
  if (is_writing_ || exchanges_.front().get() != &exchange)
    BeginOrderWait(exchange);
  co_await WriteReadyResponses();
  --running_count_;
  progress_.cancel();
}

asio::awaitable<void> CallerConnection::Reject(
    std::unique_ptr<Exchange> exchange, unsigned status,
    std::string_view reason) {
  // `reason` may quote the caller, bounded by the size limit of the head.
  context_.log->Record(
      EventId::kRequestMalformed,
      {{"status", static_cast<std::int64_t>(status)}, {"reason", reason}});
  exchange->response =
      BuildLocalResponse(ResponseOutcome::kNotRun, status, RequestId(), reason);
  exchange->is_answered = true;
  exchange->is_last = true;
  exchange->is_rejected = true;
  Enqueue(std::move(exchange));
  co_await WriteReadyResponses();
}

asio::awaitable<void> CallerConnection::WriteReadyResponses() {
  if (is_writing_) co_return;
  is_writing_ = true;
  while (!exchanges_.empty() && exchanges_.front()->is_answered) {
    const Exchange& exchange = *exchanges_.front();
    const bool should_close =
        exchange.is_last || (is_draining() && exchanges_.size() == 1);
    EndOrderWait(exchange);
    if (!is_finished_) {
      bool is_written =
          exchange.response.outcome != ResponseOutcome::kCallerDisconnected;
      if (is_written)
        is_written = co_await WriteResponse(exchange, should_close);
      if (!is_written) {
        Abandon();
      } else if (should_close) {
        FinishWriting(exchange.is_last && !exchange.is_rejected);
      }
    }
    RemoveFrontExchange();
  }
  is_writing_ = false;
  if (exchanges_.empty() && !is_finished_ && is_idle_) {
    const RequestLimits limits =
        context_.route_table ? context_.route_table->limits() : RequestLimits{};
    read_deadline_ = MonotonicNow() + limits.idle_timeout;
  }
}

void CallerConnection::BeginOrderWait(Exchange& exchange) {
  exchange.waits_since = MonotonicNow();
  totals_.waiting_response_bytes += exchange.response.body.size();
}

void CallerConnection::EndOrderWait(const Exchange& exchange) {
  if (!exchange.waits_since) return;
  totals_.waiting_response_bytes -= exchange.response.body.size();
  const Duration waited = MonotonicNow() - *exchange.waits_since;
  context_.metrics.response_order_wait_duration.Record(waited);
  if (waited < kLoggedOrderWait) return;
  context_.log->Record(
      EventId::kResponseWaitedForOrder,
      {{"request", exchange.headers.id.value()},
       {"waited_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(waited).count()},
       {"behind", static_cast<std::int64_t>(exchanges_.size() - 1)}});
}

asio::awaitable<bool> CallerConnection::WriteResponse(const Exchange& exchange,
                                                      bool should_close) {
  const CallerResponse& response = exchange.response;
  std::string head = response.head;
  head.append("Content-Length: ").append(std::to_string(response.body.size()));
  head.append(should_close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n");
  const bool is_head_request = exchange.parser.head().method == "HEAD";
  std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head),
      asio::buffer(response.body.data(),
                   is_head_request ? 0 : response.body.size())};
  PendingWrite write{buffers, 0, {}};
  write_deadline_ = MonotonicNow() + kWriteTimeout;
  pending_write_ = &write;
  co_await WriteAll(socket_, write);
  pending_write_ = nullptr;
  write_deadline_ = TimePoint::max();
  co_return !write.error;
}

void CallerConnection::FinishWriting(bool has_caller_announced_close) {
  is_finished_ = true;
  progress_.cancel();
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  read_deadline_ = MonotonicNow() + kLingerTimeout;
  if (has_caller_announced_close && input_.empty()) Close();
}

}  // namespace dogwood
