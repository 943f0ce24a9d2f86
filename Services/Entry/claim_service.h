#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>

#include "Services/Entry/request_dispatcher.h"

namespace dogwood {

// Answer to a request's claim on its idempotency key.
struct ClaimDecision {
  enum class Kind {
    kGranted,         // the request may be handed over once
    kCompleted,       // a former send was answered; `status` is its status
    kOutcomeUnknown,  // a former send is running or was lost with its host
    kUnavailable,     // no claim could be recorded; the request did not run
  };
  Kind kind = Kind::kUnavailable;
  unsigned status = 0;
  Duration retry_after{};  // with kUnavailable; zero: no hint
};

// How the holder of a granted claim ended.
struct ClaimEnd {
  enum class Kind {
    kCompleted,  // a backend server answered with `status`
    kReleased,   // never handed to a backend server
    kUnknown,    // handed over, outcome unknown
  };
  Kind kind = Kind::kUnknown;
  unsigned status = 0;
};

// At-most-once claims on idempotency keys. Called from any request path worker.
class ClaimService {
 public:
  virtual ~ClaimService() = default;

  // Asked before the first hand-over of a request that may not be repeated and
  // has an idempotency key. Waits until the request's deadline at most.
  virtual boost::asio::awaitable<ClaimDecision> Claim(
      const RequestAttributes& request) = 0;

  // Reports the end of a granted claim exactly once.
  virtual void Finish(const RequestAttributes& request,
                      const ClaimEnd& end) = 0;
};

}  // namespace dogwood
