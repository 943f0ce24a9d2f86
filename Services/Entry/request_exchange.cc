#include "Services/Entry/request_exchange.h"

#include "Libraries/Http/socket_io.h"
#include "Services/Entry/message_writer.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

// Request bodies up to this size are buffered, so that they can be resent.
constexpr std::size_t kMaxReplayBodyBytes = std::size_t{64} * 1024;
// More attempts would only add load to a failing service.
constexpr int kMaxAttempts = 3;
// A backend server that does not accept a connection within this time counts as
// unreachable.
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

}  // namespace

RequestExchange::RequestExchange(WorkerContext& context, CallerStream& caller,
                                 MessageParser& parser,
                                 ExchangeScratch& scratch,
                                 std::shared_ptr<void> owner)
    : context_(context),
      caller_(caller),
      parser_(parser),
      scratch_(scratch),
      owner_(std::move(owner)) {
  context_.in_flight_requests.fetch_add(1);
  context_.shared.metrics.in_flight.Add(1);
}

RequestExchange::~RequestExchange() {
  caller_.StopDisconnectWatch();
  StopCountingInFlight();
}

void RequestExchange::StopCountingInFlight() {
  if (!is_counted_in_flight_) return;
  is_counted_in_flight_ = false;
  context_.shared.metrics.in_flight.Add(-1);
  context_.in_flight_requests.fetch_sub(1);
}

ConnectionPersistence RequestExchange::caller_persistence() const {
  const bool can_keep = parser_.is_keep_alive() && parser_.is_complete() &&
                        !context_.shared.is_leaving.load();
  return can_keep ? ConnectionPersistence::kKeepAlive
                  : ConnectionPersistence::kClose;
}

asio::awaitable<RequestExchange::ConnectionDisposition> RequestExchange::Run() {
  const TimePoint arrival = MonotonicNow();
  arrival_wall_time_ = WallClockNow();
  id_ = context_.MakeRequestId();
  scratch_.body.clear();
  // The constructor counts the request as in flight before this check, so a
  // graceful stop either waits for the request or refuses it. Refusals do not
  // delay the stop.
  if (context_.shared.is_leaving.load()) {
    StopCountingInFlight();
    co_return co_await SendLocalResponse(MakeRefusalResponse(
        {DispatchRefusal::Reason::kStopping, kDefaultRetryAfter}));
  }
  auto parameters = ParseRequestParameters(
      parser_.head(), context_.fleet.Current(), id_, arrival);
  if (!parameters)
    co_return co_await SendLocalResponse(std::move(parameters).error());
  parameters_ = std::move(parameters).value();
  // The body is not read yet if the caller expects 100 Continue, so that a
  // refusal reaches the caller before it sends the body.
  //
  // No co_await below is part of a condition: g++ 12 miscompiles accesses to
  // the coroutine frame if several conditions of a coroutine contain co_await.
  bool is_buffered = true;
  if (!parameters_.expects_continue) is_buffered = co_await BufferRequestBody();
  if (!is_buffered) {
    if (abort_reason_ == AbortReason::kCallerDisconnected) {
      context_.shared.metrics.cancelled.Add();
      co_return ConnectionDisposition::kClose;
    }
    co_return co_await SendLocalResponse(MakeFailureResponse());
  }
  parameters_.attributes.fingerprint =
      ComputeFingerprint(parameters_.attributes, parser_.head(), scratch_.body);
  if (parser_.is_complete()) WatchForDisconnect();
  std::optional<LocalResponse> claim_response;
  if (needs_idempotency_claim())
    claim_response = co_await ClaimIdempotencyKey();
  if (claim_response)
    co_return co_await SendLocalResponse(std::move(*claim_response));
  const ConnectionDisposition disposition = co_await RunAttempts();
  co_return disposition;
}

// Buffers the request body until it ends or kMaxReplayBodyBytes is reached.
// Returns false if the request was aborted.
asio::awaitable<bool> RequestExchange::BufferRequestBody() {
  is_buffering_body_ = true;
  CallerBody reader(caller_, parser_);
  while (!parser_.is_complete() && scratch_.body.size() < kMaxReplayBodyBytes) {
    const CallerBody::ReadResult piece = co_await reader.ReadSome();
    for (std::size_t i = 0; i < piece.slice_count; ++i)
      scratch_.body.append(piece.slices[i]);
    reader.Release();
    if (!piece.has_failed()) continue;
    if (abort_reason_ == AbortReason::kNone) {
      abort_reason_ = piece.parse_error ? AbortReason::kMalformedRequest
                                        : AbortReason::kCallerDisconnected;
      request_parse_error_ = piece.parse_error;
    }
    break;
  }
  is_buffering_body_ = false;
  request_body_bytes_ = scratch_.body.size();
  co_return abort_reason_ == AbortReason::kNone;
}

void RequestExchange::WatchForDisconnect() {
  caller_.StartReadAhead(owner_,
                         [this] { Abort(AbortReason::kCallerDisconnected); });
}

bool RequestExchange::needs_idempotency_claim() const {
  return context_.shared.claims != nullptr && !is_repeatable() &&
         parameters_.attributes.idempotency_key.has_value();
}

asio::awaitable<std::optional<LocalResponse>>
RequestExchange::ClaimIdempotencyKey() {
  const ClaimDecision decision =
      co_await context_.shared.claims->Claim(parameters_.attributes);
  switch (decision.kind) {
    case ClaimDecision::Kind::kGranted:
      has_claim_ = true;
      co_return std::nullopt;
    case ClaimDecision::Kind::kCompleted:
      co_return LocalResponse{
          .outcome = RequestOutcome::kAnswered,
          .status = 409,
          .reason = "already-answered",
          .message = "a former send of this key was answered",
          .recorded_status = decision.status};
    case ClaimDecision::Kind::kOutcomeUnknown:
      co_return LocalResponse{
          .outcome = RequestOutcome::kUnknown,
          .status = 409,
          .reason = "former-send-unresolved",
          .message = "a former send of this key is running or was lost"};
    case ClaimDecision::Kind::kUnavailable:
      co_return MakeRefusalResponse(
          {DispatchRefusal::Reason::kStoreUnavailable, decision.retry_after});
  }
  co_return std::nullopt;
}

asio::awaitable<RequestExchange::ConnectionDisposition>
RequestExchange::RunAttempts() {
  RequestDispatcher& dispatcher = context_.shared.dispatcher;
  ServerId excluded;
  for (int attempt = 1;; ++attempt) {
    const auto grant =
        co_await dispatcher.Acquire(parameters_.attributes, excluded);
    if (!grant) {
      if (abort_reason_ != AbortReason::kNone || may_have_run_ || attempt > 1)
        break;
      FinishClaim({.kind = ClaimEnd::Kind::kReleased});
      co_return co_await SendLocalResponse(MakeRefusalResponse(grant.error()));
    }
    scratch_.attempt_state.Restart();
    report_ = {};
    has_grant_ = true;
    co_await RunAttempt(grant.value());
    ReturnGrant(grant.value());
    connection_.reset();
    may_have_run_ = may_have_run_ || scratch_.attempt_state.may_have_run();
    if (is_response_forwarded_ || has_response_started_ ||
        abort_reason_ != AbortReason::kNone)
      break;
    const bool is_retry_safe =
        !scratch_.attempt_state.may_have_run() || is_repeatable();
    const bool is_replayable = upload_state_ == UploadState::kNone;
    if (!is_retry_safe || !is_replayable || attempt >= kMaxAttempts ||
        MonotonicNow() >= parameters_.attributes.deadline ||
        !dispatcher.try_take_retry(parameters_.attributes.service)) {
      break;
    }
    excluded = grant.value().server;
    context_.shared.metrics.retries.Add();
  }

  const bool is_answered = is_response_forwarded_ || has_response_started_;
  if (is_answered) {
    FinishClaim({.kind = ClaimEnd::Kind::kCompleted, .status = report_.status});
  } else {
    FinishClaim({.kind = may_have_run_ ? ClaimEnd::Kind::kUnknown
                                       : ClaimEnd::Kind::kReleased});
  }
  RequestMetrics& metrics = context_.shared.metrics;
  if (is_answered) {
    metrics.answered.Add();
    metrics.request_duration.Record(MonotonicNow() -
                                    parameters_.attributes.arrival);
    if (context_.shared.usage != nullptr) {
      context_.shared.usage->Record(
          {.service = parameters_.attributes.service,
           .client_account = parameters_.attributes.client_account,
           .arrival = arrival_wall_time_,
           .request_bytes = request_body_bytes_,
           .response_bytes = response_body_bytes_});
    }
    if (!is_response_forwarded_) {
      metrics.truncated_responses.Add();
      context_.shared.log.Record(
          EventId::kResponseCut,
          {{"request", id_.value()},
           {"service", parameters_.attributes.service.value()},
           {"reason", failure_reason_}});
      co_return ConnectionDisposition::kReset;
    }
    if (context_.shared.log.is_enabled(EventId::kRequestAnswered)) {
      context_.shared.log.Record(
          EventId::kRequestAnswered,
          {{"request", id_.value()},
           {"service", parameters_.attributes.service.value()},
           {"status", static_cast<std::int64_t>(report_.status)}});
    }
    if (caller_.is_disconnected()) co_return ConnectionDisposition::kClose;
    if (!parser_.is_complete())
      co_return ConnectionDisposition::kLingeringClose;
    co_return closes_caller_connection_ ? ConnectionDisposition::kLingeringClose
                                        : ConnectionDisposition::kKeepAlive;
  }
  if (abort_reason_ == AbortReason::kCallerDisconnected ||
      abort_reason_ == AbortReason::kForcedStop) {
    metrics.cancelled.Add();
    context_.shared.log.Record(
        EventId::kRequestCancelled,
        {{"request", id_.value()},
         {"service", parameters_.attributes.service.value()},
         {"handed_over", may_have_run_}});
    co_return ConnectionDisposition::kClose;
  }
  co_return co_await SendLocalResponse(MakeFailureResponse());
}

asio::awaitable<void> RequestExchange::RunAttempt(const DispatchGrant& grant) {
  if (abort_reason_ != AbortReason::kNone) {
    scratch_.attempt_state.ProcessEvent(AttemptEvent::kCancelled);
    co_return;
  }
  connection_ = context_.shared.pool.TryAcquire(context_.worker_index,
                                                context_.executor, grant);
  if (connection_ && connection_->is_connected()) {
    scratch_.attempt_state.ProcessEvent(AttemptEvent::kConnected);
  } else {
    const bool is_connected = co_await AcquireConnection(grant);
    if (!is_connected) co_return;
  }
  const bool is_sent = co_await SendRequest();
  if (!is_sent) co_return;
  const bool has_response = co_await ReadResponseHead();
  if (has_response) co_await ForwardResponse(grant);
  if (upload_state_ == UploadState::kRunning) co_await StopUpload();
}

// Acquires a connection to the backend server from the pool and connects it if
// it is new. Returns false if the attempt has failed or was cancelled.
asio::awaitable<bool> RequestExchange::AcquireConnection(
    const DispatchGrant& grant) {
  BackendConnectionPool& pool = context_.shared.pool;
  connection_ =
      pool.TryAcquire(context_.worker_index, context_.executor, grant);
  if (!connection_) {
    connection_wait_.emplace();
    connection_ = co_await pool.Acquire(
        context_.worker_index, context_.executor, grant, *connection_wait_);
    connection_wait_.reset();
  }
  if (!connection_ || abort_reason_ != AbortReason::kNone) {
    scratch_.attempt_state.ProcessEvent(AttemptEvent::kCancelled);
    co_return false;
  }
  if (!connection_->is_connected()) {
    context_.shared.metrics.backend_connects.Add();
    connect_deadline_ = MonotonicNow() + kConnectTimeout;
    const auto error = co_await connection_->Connect(grant.endpoint);
    connect_deadline_ = TimePoint::max();
    if (error) {
      FailAttempt(AttemptEvent::kConnectFailed, "connect-failed");
      context_.shared.log.Record(EventId::kBackendConnectionFailed,
                                 {{"request", id_.value()},
                                  {"server", grant.server.value()},
                                  {"error", error.message()}});
      co_return false;
    }
  }
  scratch_.attempt_state.ProcessEvent(AttemptEvent::kConnected);
  co_return true;
}

// Ends the attempt as failed. If the request was aborted, the attempt ends as
// cancelled, because Abort has closed the connection.
void RequestExchange::FailAttempt(AttemptEvent event, std::string_view reason) {
  if (abort_reason_ != AbortReason::kNone) event = AttemptEvent::kCancelled;
  if (event == AttemptEvent::kInvalidResponse) {
    context_.shared.metrics.invalid_responses.Add();
    context_.shared.log.Record(
        EventId::kBackendResponseInvalid,
        {{"request", id_.value()},
         {"service", parameters_.attributes.service.value()},
         {"reason", reason}});
  }
  scratch_.attempt_state.ProcessEvent(event);
  failure_reason_ = reason;
}

void RequestExchange::ReturnGrant(const DispatchGrant& grant) {
  if (!has_grant_) return;
  has_grant_ = false;
  report_.result = scratch_.attempt_state.result();
  context_.shared.dispatcher.Complete(parameters_.attributes, grant, report_);
}

void RequestExchange::FinishClaim(ClaimEnd end) {
  if (!has_claim_) return;
  has_claim_ = false;
  context_.shared.claims->Finish(parameters_.attributes, end);
}

// Returns the error response for a request without a response from a backend
// server.
LocalResponse RequestExchange::MakeFailureResponse() {
  LocalResponse response;
  response.outcome =
      may_have_run_ ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
  if (abort_reason_ == AbortReason::kMalformedRequest) {
    const MessageParseError parse_error =
        request_parse_error_.value_or(MessageParseError::kMalformed);
    context_.shared.metrics.malformed_requests.Add();
    response.status = 400;
    response.reason = "malformed-body";
    response.message = DescribeParseError(parse_error);
  } else if (abort_reason_ == AbortReason::kDeadlineExceeded) {
    response.status = 504;
    response.reason = "deadline";
    response.message = "the deadline has passed";
  } else {
    response.status = may_have_run_ ? 502 : 503;
    response.reason = failure_reason_;
    response.message = may_have_run_ ? "the backend server's response was lost"
                                     : "no backend server took the request";
    if (!may_have_run_) response.retry_after = kDefaultRetryAfter;
  }
  return response;
}

asio::awaitable<RequestExchange::ConnectionDisposition>
RequestExchange::SendLocalResponse(LocalResponse response) {
  RequestMetrics& metrics = context_.shared.metrics;
  EventId event = EventId::kRequestNotRun;
  if (response.outcome == RequestOutcome::kUnknown) {
    event = EventId::kRequestOutcomeUnknown;
    metrics.outcome_unknown.Add();
  } else if (response.outcome == RequestOutcome::kNotRun) {
    metrics.not_run.Add();
  } else {
    event = EventId::kRequestAlreadyAnswered;
    metrics.answered.Add();
  }
  if (context_.shared.log.is_enabled(event)) {
    context_.shared.log.Record(
        event, {{"request", id_.value()},
                {"service", parameters_.attributes.service.value()},
                {"status", static_cast<std::int64_t>(response.status)},
                {"reason", response.reason}});
  }
  const ConnectionPersistence persistence = caller_persistence();
  WriteLocalResponse(scratch_.head, response, id_, persistence,
                     parser_.head().version, parser_.head().method == "HEAD");
  std::array buffers{asio::const_buffer(asio::buffer(scratch_.head))};
  PendingWrite write{.buffers = buffers};
  co_await WriteAll(caller_.socket(), write);
  if (write.error) co_return ConnectionDisposition::kClose;
  co_return persistence == ConnectionPersistence::kKeepAlive
      ? ConnectionDisposition::kKeepAlive
      : ConnectionDisposition::kLingeringClose;
}

void RequestExchange::Abort(AbortReason reason) {
  if (abort_reason_ != AbortReason::kNone) return;
  abort_reason_ = reason;
  if (connection_wait_) connection_wait_->Cancel();
  if (connection_) connection_->Close();
  if (is_buffering_body_) caller_.CancelRead();
  // Closes the caller connection as well, because a write to a caller that does
  // not read would never end.
  if (has_response_started_ || reason == AbortReason::kForcedStop)
    caller_.Close();
}

void RequestExchange::EnforceTimeouts(TimePoint now) {
  if (parameters_.has_deadline && now >= parameters_.attributes.deadline)
    Abort(AbortReason::kDeadlineExceeded);
  if (now >= connect_deadline_ && connection_) connection_->Close();
}

}  // namespace dogwood
