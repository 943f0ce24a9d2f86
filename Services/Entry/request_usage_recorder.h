#pragma once

#include <cstdint>

#include "Libraries/Core/core.h"

namespace dogwood {

// Usage of one request that a backend server answered.
struct RequestUsage {
  ServiceId service;
  ClientAccountId client_account;
  WallTime arrival;                  // when the request head was complete
  std::uint64_t request_bytes = 0;   // body without transfer framing
  std::uint64_t response_bytes = 0;  // body without transfer framing
};

// Records each answered request exactly once for billing. Implementations must
// be callable from any request worker.
class RequestUsageRecorder {
 public:
  virtual ~RequestUsageRecorder() = default;
  virtual void Record(const RequestUsage& record) = 0;
};

}  // namespace dogwood
