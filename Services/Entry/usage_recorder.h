#pragma once

#include <cstdint>

#include "Libraries/Core/core.h"

namespace dogwood {

// One request that a backend server answered.
struct UsageRecord {
  ServiceId service;
  PartyId party;
  WallTime arrival;                  // when the request's head was complete
  std::uint64_t request_bytes = 0;   // body, without framing
  std::uint64_t response_bytes = 0;  // body, without framing
};

// Takes the charge of each answered request once. Called from any request path
// worker.
class UsageRecorder {
 public:
  virtual ~UsageRecorder() = default;
  virtual void Record(const UsageRecord& record) = 0;
};

}  // namespace dogwood
