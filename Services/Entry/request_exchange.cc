#include "Services/Entry/request_exchange.h"

#include "Libraries/Http/socket_io.h"
#include "Services/Entry/head_writer.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

// Bodies up to this size are held in memory, so that they can be sent again.
constexpr std::size_t kReplayableBodyBytes = std::size_t{64} * 1024;
// Further attempts beyond this would only add load to a failing service.
constexpr int kMostAttempts = 3;
// A backend server that does not answer a connection request within this time
// counts as unreachable.
constexpr Duration kConnectLimit = std::chrono::seconds(1);
constexpr Duration kRetryHint = std::chrono::seconds(1);

}  // namespace

RequestExchange::RequestExchange(RelayContext& context, CallerStream& caller,
                                 MessageParser& parser, ExchangeMemory& memory,
                                 std::shared_ptr<void> owner)
    : context_(context),
      caller_(caller),
      parser_(parser),
      memory_(memory),
      owner_(std::move(owner)) {
  context_.in_flight.fetch_add(1);
  context_.shared.metrics.in_flight.Add(1);
}

RequestExchange::~RequestExchange() {
  caller_.StopWatching();
  EndAdmission();
}

void RequestExchange::EndAdmission() {
  if (!is_admitted_) return;
  is_admitted_ = false;
  context_.shared.metrics.in_flight.Add(-1);
  context_.in_flight.fetch_sub(1);
}

ConnectionUse RequestExchange::caller_use() const {
  const bool can_keep = parser_.is_keep_alive() && parser_.is_complete() &&
                        !context_.shared.is_leaving.load();
  return can_keep ? ConnectionUse::kKeepAlive : ConnectionUse::kClose;
}

asio::awaitable<RequestExchange::After> RequestExchange::Run() {
  const TimePoint arrival = MonotonicNow();
  wall_arrival_ = WallNow();
  id_ = context_.NextRequestId();
  memory_.body.clear();
  // Counted as in flight before this look, so that a stop either sees the
  // request or refuses it; refusals don't delay the stop.
  if (context_.shared.is_leaving.load()) {
    EndAdmission();
    co_return co_await Answer(
        AnswerOf({Refusal::Reason::kStopping, kRetryHint}));
  }
  auto plan = ReadPlan(parser_.head(), context_.fleet.Current(), id_, arrival);
  if (!plan) co_return co_await Answer(std::move(plan).error());
  plan_ = std::move(plan).value();
  // A caller that expects 100 Continue learns of a refusal before it sends.
  // Conditions below hold no co_await: with several of them in conditions of
  // one coroutine, g++ 12 addresses the coroutine frame wrongly.
  bool is_buffered = true;
  if (!plan_.expects_continue) is_buffered = co_await BufferBody();
  if (!is_buffered) {
    if (cause_ == Cause::kCallerLeft) {
      context_.shared.metrics.cancelled.Add();
      co_return After::kClose;
    }
    co_return co_await Answer(AnswerForEnd());
  }
  plan_.attributes.fingerprint =
      FingerprintOf(plan_.attributes, parser_.head(), memory_.body);
  if (parser_.is_complete()) WatchCaller();
  std::optional<OwnAnswer> claim_answer;
  if (needs_claim()) claim_answer = co_await Claim();
  if (claim_answer) co_return co_await Answer(std::move(*claim_answer));
  const After after = co_await RunAttempts();
  co_return after;
}

// Reads the body until it ends or the replay limit is reached; false when the
// request ended meanwhile.
asio::awaitable<bool> RequestExchange::BufferBody() {
  is_reading_body_ = true;
  CallerBody reader(caller_, parser_);
  while (!parser_.is_complete() && memory_.body.size() < kReplayableBodyBytes) {
    const CallerBody::Piece piece = co_await reader.Next();
    for (std::size_t i = 0; i < piece.slice_count; ++i)
      memory_.body.append(piece.slices[i]);
    reader.Release();
    if (!piece.has_failed()) continue;
    if (cause_ == Cause::kNone) {
      cause_ = piece.fault ? Cause::kMalformed : Cause::kCallerLeft;
      request_fault_ = piece.fault;
    }
    break;
  }
  is_reading_body_ = false;
  request_bytes_ = memory_.body.size();
  co_return cause_ == Cause::kNone;
}

void RequestExchange::WatchCaller() {
  caller_.ReadAhead(owner_, [this] { Abort(Cause::kCallerLeft); });
}

bool RequestExchange::needs_claim() const {
  return context_.shared.claims != nullptr && !is_repeatable() &&
         plan_.attributes.idempotency_key.has_value();
}

asio::awaitable<std::optional<OwnAnswer>> RequestExchange::Claim() {
  const ClaimDecision decision =
      co_await context_.shared.claims->Claim(plan_.attributes);
  switch (decision.kind) {
    case ClaimDecision::Kind::kGranted:
      has_claim_ = true;
      co_return std::nullopt;
    case ClaimDecision::Kind::kCompleted:
      co_return OwnAnswer{.outcome = RequestOutcome::kAnswered,
                          .status = 409,
                          .reason = "already-answered",
                          .message = "a former send of this key was answered",
                          .recorded_status = decision.status};
    case ClaimDecision::Kind::kOutcomeUnknown:
      co_return OwnAnswer{
          .outcome = RequestOutcome::kUnknown,
          .status = 409,
          .reason = "former-send-unresolved",
          .message = "a former send of this key is running or was lost"};
    case ClaimDecision::Kind::kUnavailable:
      co_return AnswerOf(
          {Refusal::Reason::kStoreUnavailable, decision.retry_after});
  }
  co_return std::nullopt;
}

asio::awaitable<RequestExchange::After> RequestExchange::RunAttempts() {
  RequestDispatcher& dispatcher = context_.shared.dispatcher;
  ServerId excluded;
  for (int attempt = 1;; ++attempt) {
    const auto grant = co_await dispatcher.Acquire(plan_.attributes, excluded);
    if (!grant) {
      if (cause_ != Cause::kNone || may_have_run_ || attempt > 1) break;
      FinishClaim({.kind = ClaimEnd::Kind::kReleased});
      co_return co_await Answer(AnswerOf(grant.error()));
    }
    memory_.attempt.Restart();
    report_ = {};
    is_grant_open_ = true;
    co_await RunAttempt(grant.value());
    Complete(grant.value());
    connection_.reset();
    may_have_run_ = may_have_run_ || memory_.attempt.may_have_run();
    if (is_delivered_ || has_response_begun_ || cause_ != Cause::kNone) break;
    const bool is_safe = !memory_.attempt.may_have_run() || is_repeatable();
    const bool is_replayable = upload_ == UploadState::kNone;
    if (!is_safe || !is_replayable || attempt >= kMostAttempts ||
        MonotonicNow() >= plan_.attributes.deadline ||
        !dispatcher.try_take_retry(plan_.attributes.service)) {
      break;
    }
    excluded = grant.value().server;
    context_.shared.metrics.retries.Add();
  }

  const bool is_answered = is_delivered_ || has_response_begun_;
  if (is_answered) {
    FinishClaim({.kind = ClaimEnd::Kind::kCompleted, .status = report_.status});
  } else {
    FinishClaim({.kind = may_have_run_ ? ClaimEnd::Kind::kUnknown
                                       : ClaimEnd::Kind::kReleased});
  }
  RequestMetrics& metrics = context_.shared.metrics;
  if (is_answered) {
    metrics.answered.Add();
    metrics.duration.Record(MonotonicNow() - plan_.attributes.arrival);
    if (context_.shared.usage != nullptr) {
      context_.shared.usage->Record({.service = plan_.attributes.service,
                                     .party = plan_.attributes.party,
                                     .arrival = wall_arrival_,
                                     .request_bytes = request_bytes_,
                                     .response_bytes = response_bytes_});
    }
    if (!is_delivered_) {
      metrics.cut.Add();
      context_.shared.log.Record(EventId::kResponseCut,
                                 {{"request", id_.value()},
                                  {"service", plan_.attributes.service.value()},
                                  {"reason", failure_}});
      co_return After::kReset;
    }
    if (context_.shared.log.is_enabled(EventId::kRequestAnswered)) {
      context_.shared.log.Record(
          EventId::kRequestAnswered,
          {{"request", id_.value()},
           {"service", plan_.attributes.service.value()},
           {"status", static_cast<std::int64_t>(report_.status)}});
    }
    if (caller_.is_gone()) co_return After::kClose;
    if (!parser_.is_complete()) co_return After::kLinger;
    co_return closes_caller_ ? After::kLinger : After::kKeepAlive;
  }
  if (cause_ == Cause::kCallerLeft || cause_ == Cause::kForced) {
    metrics.cancelled.Add();
    context_.shared.log.Record(EventId::kRequestCancelled,
                               {{"request", id_.value()},
                                {"service", plan_.attributes.service.value()},
                                {"handed_over", may_have_run_}});
    co_return After::kClose;
  }
  co_return co_await Answer(AnswerForEnd());
}

asio::awaitable<void> RequestExchange::RunAttempt(const DispatchGrant& grant) {
  if (cause_ != Cause::kNone) {
    memory_.attempt.Process(AttemptEvent::kCancelled);
    co_return;
  }
  connection_ =
      context_.shared.pool.TryTake(context_.worker, context_.executor, grant);
  if (connection_ && connection_->is_connected()) {
    memory_.attempt.Process(AttemptEvent::kConnected);
  } else {
    const bool is_connected = co_await Connect(grant);
    if (!is_connected) co_return;
  }
  const bool is_sent = co_await SendRequest();
  if (!is_sent) co_return;
  const bool has_response = co_await ReadResponseHead();
  if (has_response) co_await Deliver(grant);
  if (upload_ == UploadState::kRunning) co_await StopUpload();
}

// Waits for a connection if there is none and opens it if it is new.
asio::awaitable<bool> RequestExchange::Connect(const DispatchGrant& grant) {
  BackendPool& pool = context_.shared.pool;
  connection_ = pool.TryTake(context_.worker, context_.executor, grant);
  if (!connection_) {
    ticket_.emplace();
    connection_ =
        co_await pool.Take(context_.worker, context_.executor, grant, *ticket_);
    ticket_.reset();
  }
  if (!connection_ || cause_ != Cause::kNone) {
    memory_.attempt.Process(AttemptEvent::kCancelled);
    co_return false;
  }
  if (!connection_->is_connected()) {
    context_.shared.metrics.connects.Add();
    connect_limit_ = MonotonicNow() + kConnectLimit;
    const auto error = co_await connection_->Connect(grant.endpoint);
    connect_limit_ = TimePoint::max();
    if (error) {
      Fail(AttemptEvent::kConnectFailed, "connect-failed");
      context_.shared.log.Record(EventId::kBackendConnectionFailed,
                                 {{"request", id_.value()},
                                  {"server", grant.server.value()},
                                  {"error", error.message()}});
      co_return false;
    }
  }
  memory_.attempt.Process(AttemptEvent::kConnected);
  co_return true;
}

// Records the failed end of an attempt; a cancelled request ends as cancelled,
// whatever the closed connection reports.
void RequestExchange::Fail(AttemptEvent event, std::string_view detail) {
  if (cause_ != Cause::kNone) event = AttemptEvent::kCancelled;
  if (event == AttemptEvent::kResponseInvalid) {
    context_.shared.metrics.invalid_responses.Add();
    context_.shared.log.Record(EventId::kBackendAnswerInvalid,
                               {{"request", id_.value()},
                                {"service", plan_.attributes.service.value()},
                                {"reason", detail}});
  }
  memory_.attempt.Process(event);
  failure_ = detail;
}

void RequestExchange::Complete(const DispatchGrant& grant) {
  if (!is_grant_open_) return;
  is_grant_open_ = false;
  report_.result = memory_.attempt.result();
  context_.shared.dispatcher.Complete(plan_.attributes, grant, report_);
}

void RequestExchange::FinishClaim(ClaimEnd end) {
  if (!has_claim_) return;
  has_claim_ = false;
  context_.shared.claims->Finish(plan_.attributes, end);
}

// The answer to a request that ended without a response of a backend server.
OwnAnswer RequestExchange::AnswerForEnd() {
  OwnAnswer answer;
  answer.outcome =
      may_have_run_ ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
  if (cause_ == Cause::kMalformed) {
    const FramingFault fault =
        request_fault_.value_or(FramingFault::kMalformed);
    context_.shared.metrics.malformed.Add();
    answer.status = 400;
    answer.reason = "malformed-body";
    answer.message = TextOf(fault);
  } else if (cause_ == Cause::kDeadline) {
    answer.status = 504;
    answer.reason = "deadline";
    answer.message = "the deadline has passed";
  } else {
    answer.status = may_have_run_ ? 502 : 503;
    answer.reason = failure_;
    answer.message = may_have_run_ ? "the backend server's response was lost"
                                   : "no backend server took the request";
    if (!may_have_run_) answer.retry_after = kRetryHint;
  }
  return answer;
}

asio::awaitable<RequestExchange::After> RequestExchange::Answer(
    OwnAnswer answer) {
  RequestMetrics& metrics = context_.shared.metrics;
  EventId event = EventId::kRequestNotRun;
  if (answer.outcome == RequestOutcome::kUnknown) {
    event = EventId::kRequestOutcomeUnknown;
    metrics.unknown.Add();
  } else if (answer.outcome == RequestOutcome::kNotRun) {
    metrics.not_run.Add();
  } else {
    event = EventId::kRequestAlreadyAnswered;
    metrics.answered.Add();
  }
  if (context_.shared.log.is_enabled(event)) {
    context_.shared.log.Record(
        event, {{"request", id_.value()},
                {"service", plan_.attributes.service.value()},
                {"status", static_cast<std::int64_t>(answer.status)},
                {"reason", answer.reason}});
  }
  const ConnectionUse use = caller_use();
  WriteOwnAnswer(memory_.head, answer, id_, use, parser_.head().version,
                 parser_.head().method == "HEAD");
  std::array buffers{asio::const_buffer(asio::buffer(memory_.head))};
  PendingWrite write{.buffers = buffers};
  co_await WriteAll(caller_.socket(), write);
  if (write.error) co_return After::kClose;
  co_return use == ConnectionUse::kKeepAlive ? After::kKeepAlive
                                             : After::kLinger;
}

void RequestExchange::Abort(Cause cause) {
  if (cause_ != Cause::kNone) return;
  cause_ = cause;
  if (ticket_) ticket_->Cancel();
  if (connection_) connection_->Close();
  if (is_reading_body_) caller_.CancelReading();
  // A caller that does not read blocks the delivery.
  if (has_response_begun_ || cause == Cause::kForced) caller_.Close();
}

void RequestExchange::Tick(TimePoint now) {
  if (plan_.has_deadline && now >= plan_.attributes.deadline)
    Abort(Cause::kDeadline);
  if (now >= connect_limit_ && connection_) connection_->Close();
}

}  // namespace dogwood
