#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class Repeatable { kNo, kYes };

// Attributes of a request that decide where it is dispatched.
struct RequestAttributes {
  RequestId id;
  ServiceId service;
  ClientAccountId client_account;
  Repeatable repeatable = Repeatable::kNo;
  std::optional<std::string> idempotency_key;
  std::uint64_t fingerprint = 0;  // the same for resends of a request
  TimePoint arrival;
  TimePoint deadline;
};

// States why a request was refused without being sent to a backend server.
struct DispatchRefusal {
  enum class Reason {
    kUnknownService,
    kUnknownClientAccount,
    kOverCapacity,
    kDeadlineTooShort,
    kNoServer,
    kStopping,
    kCrashSuspect,
    kStoreUnavailable,
    kNotReady,
  };
  Reason reason = Reason::kNoServer;
  Duration retry_after{};  // zero: no Retry-After header
};

// Permission to send one request to one backend server. Complete gives it back.
struct DispatchGrant {
  std::uint64_t id = 0;
  ServerId server;
  boost::asio::ip::tcp::endpoint endpoint;
};

// Result of one attempt to send a request to a backend server.
struct AttemptReport {
  enum class Result {
    kAnswered,         // a complete response head arrived
    kShedNotRun,       // refused by the backend server, not run
    kConnectFailed,    // nothing was sent
    kConnectionLost,   // sent, no response head
    kInvalidResponse,  // truncated, malformed, excess bytes, wrong id
    kCancelled,        // caller disconnected or deadline passed
    kNotSent,          // the grant was not used
  };
  Result result = Result::kNotSent;
  unsigned status = 0;   // of the response
  Duration latency{};    // from the first byte sent to the response head
  std::string start_id;  // from Dogwood-Start-Id, may be empty
  std::optional<std::uint32_t> in_work;  // from Dogwood-In-Work
};

// Selects the backend server for each request. Callable from any worker.
class RequestDispatcher {
 public:
  virtual ~RequestDispatcher() = default;

  // Waits in the queue until a backend server is assigned, at most until the
  // request's deadline. `excluded` is the server of the failed earlier attempt,
  // empty for the first attempt.
  virtual boost::asio::awaitable<outcome::result<DispatchGrant, DispatchRefusal,
                                                 outcome::policy::terminate>>
  Acquire(const RequestAttributes& request, ServerId excluded) = 0;

  // Gives the grant back and reports the attempt's result. Must be called
  // exactly once for each grant.
  virtual void Complete(const RequestAttributes& request,
                        const DispatchGrant& grant,
                        const AttemptReport& report) = 0;

  // Withdraws one retry from the service's retry budget; false when the budget
  // is spent.
  virtual bool try_take_retry(const ServiceId& service) = 0;
};

}  // namespace dogwood
