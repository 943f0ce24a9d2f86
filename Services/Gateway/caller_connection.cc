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
// A response that waited longer than this for the one in front is logged.
constexpr Duration kLoggedOrderWait = std::chrono::milliseconds(100);

}  // namespace

CallerConnection::CallerConnection(GatewayContext& context,
                                   RequestForwarder& forwarder,
                                   CallerConnectionTotals& totals,
                                   RequestMemory& memory,
                                   asio::ip::tcp::socket socket)
    : context_(context),
      request_forwarder_(forwarder),
      totals_(totals),
      memory_(memory),
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
  ReleaseInputMemory();
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
  // Large messages are rare, so their memory is not kept for the next request.
  constexpr std::size_t kMaxRetainedBodyBytes = std::size_t{64} * 1024;
  if (spare_exchange_->body.capacity() > kMaxRetainedBodyBytes ||
      spare_exchange_->parser.head().memory_bytes() >
          RequestMemory::kFreeHeadBytes) {
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
