#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>

#include "Services/Entry/request_dispatcher.h"

namespace dogwood {

// Result of a request's claim on its idempotency key.
struct ClaimDecision {
  enum class Kind {
    kGranted,         // the request may be forwarded once
    kCompleted,       // an earlier request with this key ended with `status`
    kOutcomeUnknown,  // an earlier request is running or its outcome is lost
    kUnavailable,     // the claim was not recorded; the request must not run
  };
  Kind kind = Kind::kUnavailable;
  unsigned status = 0;
  Duration retry_after{};  // for kUnavailable; zero if there is no hint
};

// Outcome of the request that was granted a claim.
struct ClaimEnd {
  enum class Kind {
    kCompleted,  // a backend server answered with `status`
    kReleased,   // never sent to a backend server
    kUnknown,    // sent to a backend server, outcome unknown
  };
  Kind kind = Kind::kUnknown;
  unsigned status = 0;
};

// Grants each idempotency key to at most one request. Implementations must be
// callable from any request worker.
class ClaimService {
 public:
  virtual ~ClaimService() = default;

  // Must be called before a non-repeatable request with an idempotency key is
  // sent to a backend server. Returns at the request's deadline at the latest.
  virtual boost::asio::awaitable<ClaimDecision> Claim(
      const RequestAttributes& request) = 0;

  // Must be called exactly once for each granted claim.
  virtual void Finish(const RequestAttributes& request,
                      const ClaimEnd& end) = 0;
};

}  // namespace dogwood
