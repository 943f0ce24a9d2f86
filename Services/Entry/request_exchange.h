#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "Libraries/Http/body_reader.h"
#include "Services/Entry/attempt_state_machine.h"
#include "Services/Entry/backend_connection.h"
#include "Services/Entry/caller_stream.h"
#include "Services/Entry/message_writer.h"
#include "Services/Entry/relay_context.h"
#include "Services/Entry/request_parameters.h"

namespace dogwood {

// Memory that a caller connection reuses for each of its requests.
struct ExchangeScratch {
  std::string head;  // of the message being sent
  std::string body;  // buffered part of the request body
  AttemptStateMachine attempt_state;
};

// Handles one request after its head is parsed: claims its idempotency key,
// acquires a backend server, forwards request and response, and retries failed
// attempts. Runs on one worker.
class RequestExchange {
 public:
  // How the caller connection continues after the request.
  enum class ConnectionDisposition {
    kKeepAlive,
    kClose,
    kLingeringClose,  // close after the caller has read the response
    kReset,           // close with a reset: the response is truncated
  };

  // Why a request ended early.
  enum class AbortReason {
    kNone,
    kCallerDisconnected,
    kDeadlineExceeded,
    kMalformedRequest,
    kForcedStop,
  };

  // `owner` keeps all other arguments alive.
  RequestExchange(WorkerContext& context, CallerStream& caller,
                  MessageParser& parser, ExchangeScratch& scratch,
                  std::shared_ptr<void> owner);
  ~RequestExchange();
  RequestExchange(const RequestExchange&) = delete;
  RequestExchange& operator=(const RequestExchange&) = delete;

  boost::asio::awaitable<ConnectionDisposition> Run();

  // Aborts the request and closes its backend connection, which tells the
  // backend server to cancel it. Run is not resumed before this function
  // returns.
  void Abort(AbortReason reason);
  // Aborts the request if its deadline has passed. Closes a backend connection
  // that has not been established within its timeout.
  void EnforceTimeouts(TimePoint now);

 private:
  using CallerBody = BodyReader<CallerStream>;
  using BackendBody = BodyReader<BackendConnection>;

  // State of the part of the request body that is not buffered.
  enum class UploadState { kNone, kRunning, kFinished, kFailed };

  boost::asio::awaitable<bool> BufferRequestBody();
  bool needs_idempotency_claim() const;
  boost::asio::awaitable<std::optional<LocalResponse>> ClaimIdempotencyKey();
  boost::asio::awaitable<ConnectionDisposition> RunAttempts();
  boost::asio::awaitable<void> RunAttempt(const DispatchGrant& grant);
  boost::asio::awaitable<bool> AcquireConnection(const DispatchGrant& grant);
  boost::asio::awaitable<bool> SendRequest();
  boost::asio::awaitable<void> ForwardRequestBody();
  boost::asio::awaitable<void> StopUpload();
  boost::asio::awaitable<bool> ReadResponseHead();
  bool ValidateResponseHead();
  boost::asio::awaitable<void> ForwardResponse(const DispatchGrant& grant);
  boost::asio::awaitable<ConnectionDisposition> SendLocalResponse(
      LocalResponse response);
  LocalResponse MakeFailureResponse();

  void FailAttempt(AttemptEvent event, std::string_view reason);
  void ReturnGrant(const DispatchGrant& grant);
  void FinishClaim(ClaimEnd end);
  void WatchForDisconnect();
  void StopCountingInFlight();
  ConnectionPersistence caller_persistence() const;
  // Whether the request may be sent again after it may have run.
  bool is_repeatable() const {
    return parameters_.attributes.repeatable == Repeatable::kYes;
  }

  WorkerContext& context_;
  CallerStream& caller_;
  MessageParser& parser_;
  ExchangeScratch& scratch_;
  // Shared with the coroutines and reads that are started here, which keep the
  // session alive until they end.
  std::shared_ptr<void> owner_;

  RequestParameters parameters_;
  RequestId id_;
  WallTime arrival_wall_time_;
  AbortReason abort_reason_ = AbortReason::kNone;
  std::optional<MessageParseError> request_parse_error_;
  ForwardedFraming request_framing_;
  std::uint64_t request_body_bytes_ = 0;
  std::uint64_t response_body_bytes_ = 0;

  std::unique_ptr<BackendConnection> connection_;
  std::optional<BackendConnectionPool::WaitHandle> connection_wait_;
  AttemptReport report_;
  TimePoint sent_at_;
  TimePoint connect_deadline_ = TimePoint::max();
  UploadState upload_state_ = UploadState::kNone;
  AsyncNotification upload_ended_;
  bool should_stop_upload_ = false;
  bool is_buffering_body_ = false;
  bool has_grant_ = false;
  bool is_counted_in_flight_ = true;  // counted in the in-flight metrics
  bool has_claim_ = false;
  bool may_have_run_ = false;          // in any attempt so far
  bool has_response_started_ = false;  // bytes of the response were sent
  bool is_response_forwarded_ = false;
  bool closes_caller_connection_ = false;  // as the response head states
  std::string_view failure_reason_ = "no-server";
};

}  // namespace dogwood
