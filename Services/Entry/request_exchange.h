#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "Libraries/Http/body_reader.h"
#include "Services/Entry/attempt_life_cycle.h"
#include "Services/Entry/backend_connection.h"
#include "Services/Entry/caller_stream.h"
#include "Services/Entry/head_writer.h"
#include "Services/Entry/relay_context.h"
#include "Services/Entry/request_plan.h"

namespace dogwood {

// Memory that a caller's connection keeps from request to request.
struct ExchangeMemory {
  std::string head;  // of the message being sent
  std::string body;  // buffered part of the request body
  AttemptLifeCycle attempt;
};

// Relays one request whose head is parsed: claims, places, sends, and passes
// the response on. Runs on one worker.
class RequestExchange {
 public:
  // What becomes of the caller's connection.
  enum class After {
    kKeepAlive,
    kClose,
    kLinger,  // close, but let the caller read the response first
    kReset,   // close so that no caller takes the response for complete
  };

  // Why a request ended early.
  enum class Cause { kNone, kCallerLeft, kDeadline, kMalformed, kForced };

  // `owner` keeps all other arguments alive.
  RequestExchange(RelayContext& context, CallerStream& caller,
                  MessageParser& parser, ExchangeMemory& memory,
                  std::shared_ptr<void> owner);
  ~RequestExchange();
  RequestExchange(const RequestExchange&) = delete;
  RequestExchange& operator=(const RequestExchange&) = delete;

  boost::asio::awaitable<After> Run();

  // Ends the request; closing the backend connection is the cancellation signal
  // to the backend server. Never resumes Run before it returns.
  void Abort(Cause cause);
  // Aborts when the deadline has passed.
  void Tick(TimePoint now);

 private:
  using CallerBody = BodyReader<CallerStream>;
  using BackendBody = BodyReader<BackendConnection>;

  enum class UploadState { kNone, kRunning, kFinished, kBroken };

  boost::asio::awaitable<bool> BufferBody();
  bool needs_claim() const;
  boost::asio::awaitable<std::optional<OwnAnswer>> Claim();
  boost::asio::awaitable<After> RunAttempts();
  boost::asio::awaitable<void> RunAttempt(const DispatchGrant& grant);
  boost::asio::awaitable<bool> Connect(const DispatchGrant& grant);
  boost::asio::awaitable<bool> SendRequest();
  boost::asio::awaitable<void> Upload();
  boost::asio::awaitable<void> StopUpload();
  boost::asio::awaitable<bool> ReadResponseHead();
  bool CheckResponseHead();
  boost::asio::awaitable<void> Deliver(const DispatchGrant& grant);
  boost::asio::awaitable<After> Answer(OwnAnswer answer);
  OwnAnswer AnswerForEnd();

  void Fail(AttemptEvent event, std::string_view detail);
  void Complete(const DispatchGrant& grant);
  void FinishClaim(ClaimEnd end);
  void WatchCaller();
  void EndAdmission();
  ConnectionUse caller_use() const;
  bool is_repeatable() const {
    return plan_.attributes.repeatable == Repeatable::kYes;
  }

  RelayContext& context_;
  CallerStream& caller_;
  MessageParser& parser_;
  ExchangeMemory& memory_;
  // Keeps the session alive for the coroutines and reads started here.
  std::shared_ptr<void> owner_;

  RequestPlan plan_;
  RequestId id_;
  WallTime wall_arrival_;
  Cause cause_ = Cause::kNone;
  std::optional<FramingFault> request_fault_;
  ForwardedFraming request_framing_;
  std::uint64_t request_bytes_ = 0;
  std::uint64_t response_bytes_ = 0;

  std::unique_ptr<BackendConnection> connection_;
  std::optional<BackendPool::Ticket> ticket_;
  AttemptReport report_;
  TimePoint sent_at_;
  TimePoint connect_limit_ = TimePoint::max();
  UploadState upload_ = UploadState::kNone;
  Signal upload_ended_;
  bool is_stopping_upload_ = false;
  bool is_reading_body_ = false;
  bool is_grant_open_ = false;
  bool is_admitted_ = true;  // counts as in flight
  bool has_claim_ = false;
  bool may_have_run_ = false;        // by any attempt so far
  bool has_response_begun_ = false;  // bytes of the response were sent
  bool is_delivered_ = false;
  bool closes_caller_ = false;  // the response said so
  std::string_view failure_ = "no-server";
};

}  // namespace dogwood
