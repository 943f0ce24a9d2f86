#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class Repeatable { kNo, kYes };

// What placement needs to know of a request.
struct RequestAttributes {
  RequestId id;
  ServiceId service;
  PartyId party;
  Repeatable repeatable = Repeatable::kNo;
  std::optional<std::string> idempotency_key;
  std::uint64_t fingerprint = 0;  // equal for a request and its resends
  TimePoint arrival;
  TimePoint deadline;
};

// Why a request was refused before any backend server ran it.
struct Refusal {
  enum class Reason {
    kUnknownService,
    kUnknownParty,
    kOverCapacity,
    kDeadlineTooShort,
    kNoServer,
    kStopping,
    kCrashSuspect,
    kStoreUnavailable,
    kNotReady,
  };
  Reason reason = Reason::kNoServer;
  Duration retry_after{};  // zero: no hint
};

// The right to send one request to one backend server; given back by Complete.
struct DispatchGrant {
  std::uint64_t id = 0;
  ServerId server;
  boost::asio::ip::tcp::endpoint endpoint;
};

// How an attempt at a backend server ended.
struct AttemptReport {
  enum class Result {
    kAnswered,         // a whole response head arrived
    kShedNotRun,       // the backend server refused it unrun
    kConnectFailed,    // nothing was sent
    kConnectionLost,   // sent, no response head
    kInvalidResponse,  // truncated, surplus, crossed or malformed
    kCancelled,        // the caller left or the deadline passed
    kNotSent,          // the grant was not used
  };
  Result result = Result::kNotSent;
  unsigned status = 0;   // of the response
  Duration latency{};    // from the first byte sent to the response head
  std::string start_id;  // Dogwood-Start-Id, may be empty
  std::optional<std::uint32_t> in_work;  // Dogwood-In-Work
};

// Decides where requests go. Called from any request path worker.
class RequestDispatcher {
 public:
  virtual ~RequestDispatcher() = default;

  // Waits in the queue if it must, until the attributes' deadline. `excluded`
  // is the server of a failed earlier attempt, empty at first.
  virtual boost::asio::awaitable<
      outcome::result<DispatchGrant, Refusal, outcome::policy::terminate>>
  Acquire(const RequestAttributes& request, ServerId excluded) = 0;

  // Gives the grant back exactly once.
  virtual void Complete(const RequestAttributes& request,
                        const DispatchGrant& grant,
                        const AttemptReport& report) = 0;

  // Whether the retry budget of the service allows one more attempt; takes it
  // if so.
  virtual bool try_take_retry(const ServiceId& service) = 0;
};

}  // namespace dogwood
