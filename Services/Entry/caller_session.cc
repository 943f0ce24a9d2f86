#include "Services/Entry/caller_session.h"

#include "Libraries/Http/socket_io.h"

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Between two requests of a caller.
constexpr Duration kIdleTimeout = std::chrono::seconds(75);
// For the complete request head, from its first byte.
constexpr Duration kHeadTimeout = std::chrono::seconds(10);
// How long input is read and discarded after the last response. Closing a
// socket with unread bytes would reset the connection before the caller has
// read the response.
constexpr Duration kLingeringCloseTimeout = std::chrono::seconds(2);

unsigned StatusForParseError(MessageParseError error) {
  return error == MessageParseError::kHeadTooLarge ? 431 : 400;
}

}  // namespace

CallerSession::CallerSession(WorkerContext& context, tcp::socket socket)
    : context_(context), caller_(std::move(socket)) {}

CallerSession::~CallerSession() = default;

asio::awaitable<void> CallerSession::Run() {
  const std::shared_ptr<CallerSession> owner = shared_from_this();
  while (true) {
    const HeadReadResult head = co_await ReadHead();
    if (head == HeadReadResult::kConnectionClosed) break;
    if (head == HeadReadResult::kInvalid) {
      co_await RejectRequest(rejection_);
      co_await LingeringClose();
      break;
    }
    RequestExchange::ConnectionDisposition disposition =
        RequestExchange::ConnectionDisposition::kClose;
    {
      RequestExchange exchange(context_, caller_, parser_, scratch_, owner);
      exchange_ = &exchange;
      disposition = co_await exchange.Run();
      exchange_ = nullptr;
    }
    if (disposition == RequestExchange::ConnectionDisposition::kKeepAlive)
      continue;
    if (disposition == RequestExchange::ConnectionDisposition::kLingeringClose)
      co_await LingeringClose();
    if (disposition == RequestExchange::ConnectionDisposition::kReset) {
      boost::system::error_code ignored;
      caller_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
    break;
  }
  caller_.Close();
}

asio::awaitable<CallerSession::HeadReadResult> CallerSession::ReadHead() {
  const auto reject = [this](unsigned status, std::string_view reason,
                             std::string message) {
    rejection_ = LocalResponse{
        .status = status, .reason = reason, .message = std::move(message)};
    return HeadReadResult::kInvalid;
  };
  parser_.Reset();
  has_head_started_ = false;
  bool needs_more = caller_.input().empty();
  if (needs_more) wait_deadline_ = MonotonicNow() + kIdleTimeout;
  while (!parser_.is_head_complete()) {
    if (needs_more) {
      const auto error = co_await caller_.Fill();
      if (has_head_timed_out_)
        co_return reject(408, "slow-head", "the header came late");
      if (error) co_return HeadReadResult::kConnectionClosed;
    }
    const MessageParser::FeedResult step = parser_.Feed(caller_.input().data());
    caller_.input().Consume(step.consumed_bytes);
    if (step.parse_error) {
      co_return reject(StatusForParseError(*step.parse_error),
                       "malformed-request",
                       std::string(DescribeParseError(*step.parse_error)));
    }
    needs_more = step.needs_more || caller_.input().empty();
    if (!has_head_started_ && !parser_.is_head_complete()) {
      has_head_started_ = true;
      wait_deadline_ = MonotonicNow() + kHeadTimeout;
    }
  }
  wait_deadline_ = TimePoint::max();
  const MessageHead& head = parser_.head();
  if (head.version >= 11 && !head.has_field("Host")) {
    co_return reject(400, "malformed-request", "the Host field is required");
  }
  if (head.version < 11 && parser_.framing() == BodyFraming::kChunked) {
    co_return reject(400, "malformed-request", "HTTP/1.0 knows no chunks");
  }
  if (head.method == "CONNECT" || head.method == "TRACE")
    co_return reject(501, "unsupported-method", "the method is not supported");
  co_return HeadReadResult::kComplete;
}

// Sends the error response to a request whose head is invalid. The end of such
// a request is unknown, so the connection cannot be reused.
asio::awaitable<void> CallerSession::RejectRequest(LocalResponse response) {
  const RequestId id = context_.MakeRequestId();
  context_.shared.metrics.malformed_requests.Add();
  context_.shared.metrics.not_run.Add();
  context_.shared.log.Record(
      EventId::kRequestMalformed,
      {{"request", id.value()},
       {"status", static_cast<std::int64_t>(response.status)},
       {"error", response.message}});
  WriteLocalResponse(scratch_.head, response, id, ConnectionPersistence::kClose,
                     11, parser_.head().method == "HEAD");
  std::array buffers{asio::const_buffer(asio::buffer(scratch_.head))};
  PendingWrite write{.buffers = buffers};
  co_await WriteAll(caller_.socket(), write);
}

asio::awaitable<void> CallerSession::LingeringClose() {
  wait_deadline_ = MonotonicNow() + kLingeringCloseTimeout;
  has_head_started_ = false;
  has_head_timed_out_ = false;
  boost::system::error_code error;
  caller_.socket().shutdown(tcp::socket::shutdown_send, error);
  while (!error) {
    caller_.input().Clear();
    error = co_await caller_.Fill();
  }
}

void CallerSession::EnforceTimeouts(TimePoint now) {
  if (exchange_ != nullptr) {
    exchange_->EnforceTimeouts(now);
    return;
  }
  if (now < wait_deadline_) return;
  wait_deadline_ = TimePoint::max();
  if (has_head_started_) {
    has_head_timed_out_ = true;
    caller_.CancelRead();
  } else {
    caller_.Close();
  }
}

bool CallerSession::Abort() {
  const bool has_request = exchange_ != nullptr;
  if (has_request) exchange_->Abort(RequestExchange::AbortReason::kForcedStop);
  caller_.Close();
  return has_request;
}

}  // namespace dogwood
