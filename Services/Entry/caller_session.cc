#include "Services/Entry/caller_session.h"

#include "Libraries/Http/socket_io.h"

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration kIdleLimit = std::chrono::seconds(75);
// A caller that sends its head slower than this is refused.
constexpr Duration kHeadLimit = std::chrono::seconds(10);
// How long the bytes of a refused request are read and dropped: closing with
// unread bytes would reset the connection before the caller reads the response.
constexpr Duration kLingerLimit = std::chrono::seconds(2);

unsigned StatusOf(FramingFault fault) {
  return fault == FramingFault::kHeadTooLarge ? 431 : 400;
}

}  // namespace

CallerSession::CallerSession(RelayContext& context, tcp::socket socket)
    : context_(context), caller_(std::move(socket)) {}

CallerSession::~CallerSession() = default;

asio::awaitable<void> CallerSession::Run() {
  const std::shared_ptr<CallerSession> owner = shared_from_this();
  while (true) {
    const HeadResult head = co_await ReadHead();
    if (head == HeadResult::kEnded) break;
    if (head == HeadResult::kFaulty) {
      co_await Refuse(fault_);
      co_await Linger();
      break;
    }
    RequestExchange::After after = RequestExchange::After::kClose;
    {
      RequestExchange exchange(context_, caller_, parser_, memory_, owner);
      exchange_ = &exchange;
      after = co_await exchange.Run();
      exchange_ = nullptr;
    }
    if (after == RequestExchange::After::kKeepAlive) continue;
    if (after == RequestExchange::After::kLinger) co_await Linger();
    if (after == RequestExchange::After::kReset) {
      boost::system::error_code ignored;
      caller_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
    break;
  }
  caller_.Close();
}

asio::awaitable<CallerSession::HeadResult> CallerSession::ReadHead() {
  const auto faulty = [this](unsigned status, std::string_view reason,
                             std::string message) {
    fault_ = OwnAnswer{
        .status = status, .reason = reason, .message = std::move(message)};
    return HeadResult::kFaulty;
  };
  parser_.Reset();
  has_head_begun_ = false;
  bool needs_more = caller_.input().empty();
  if (needs_more) limit_ = MonotonicNow() + kIdleLimit;
  while (!parser_.is_head_complete()) {
    if (needs_more) {
      const auto error = co_await caller_.Fill();
      if (is_late_) co_return faulty(408, "slow-head", "the header came late");
      if (error) co_return HeadResult::kEnded;
    }
    const MessageParser::Step step = parser_.Feed(caller_.input().data());
    caller_.input().Consume(step.consumed);
    if (step.fault) {
      co_return faulty(StatusOf(*step.fault), "malformed-request",
                       std::string(TextOf(*step.fault)));
    }
    needs_more = step.needs_more || caller_.input().empty();
    if (!has_head_begun_ && !parser_.is_head_complete()) {
      has_head_begun_ = true;
      limit_ = MonotonicNow() + kHeadLimit;
    }
  }
  limit_ = TimePoint::max();
  const MessageHead& head = parser_.head();
  if (head.version >= 11 && !head.has("Host")) {
    co_return faulty(400, "malformed-request", "the Host field is required");
  }
  if (head.version < 11 && parser_.framing() == BodyFraming::kChunked) {
    co_return faulty(400, "malformed-request", "HTTP/1.0 knows no chunks");
  }
  if (head.method == "CONNECT" || head.method == "TRACE")
    co_return faulty(501, "unsupported-method", "the method is not supported");
  co_return HeadResult::kComplete;
}

// Answers a request whose end cannot be found; the connection closes after it.
asio::awaitable<void> CallerSession::Refuse(OwnAnswer answer) {
  const RequestId id = context_.NextRequestId();
  context_.shared.metrics.malformed.Add();
  context_.shared.metrics.not_run.Add();
  context_.shared.log.Record(
      EventId::kRequestMalformed,
      {{"request", id.value()},
       {"status", static_cast<std::int64_t>(answer.status)},
       {"error", answer.message}});
  WriteOwnAnswer(memory_.head, answer, id, ConnectionUse::kClose, 11,
                 parser_.head().method == "HEAD");
  std::array buffers{asio::const_buffer(asio::buffer(memory_.head))};
  PendingWrite write{.buffers = buffers};
  co_await WriteAll(caller_.socket(), write);
}

asio::awaitable<void> CallerSession::Linger() {
  limit_ = MonotonicNow() + kLingerLimit;
  has_head_begun_ = false;
  is_late_ = false;
  boost::system::error_code error;
  caller_.socket().shutdown(tcp::socket::shutdown_send, error);
  while (!error) {
    caller_.input().Clear();
    error = co_await caller_.Fill();
  }
}

void CallerSession::Tick(TimePoint now) {
  if (exchange_ != nullptr) {
    exchange_->Tick(now);
    return;
  }
  if (now < limit_) return;
  limit_ = TimePoint::max();
  if (has_head_begun_) {
    is_late_ = true;
    caller_.CancelReading();
  } else {
    caller_.Close();
  }
}

bool CallerSession::Cut() {
  const bool has_request = exchange_ != nullptr;
  if (has_request) exchange_->Abort(RequestExchange::Cause::kForced);
  caller_.Close();
  return has_request;
}

}  // namespace dogwood
