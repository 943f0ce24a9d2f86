#pragma once

#include <algorithm>

#include "Libraries/Core/core.h"

namespace dogwood {

// Token bucket of requests. Starts empty.
class TokenBucket {
 public:
  // Adds `rate` requests per second since the last call, up to `burst`.
  // Returns whether a request may be sent.
  bool Refill(double rate, double burst, TimePoint now) {
    if (refilled_at_ == TimePoint{}) refilled_at_ = now;
    const double seconds =
        std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    credit_ = std::min(credit_ + rate * seconds, burst);
    return credit_ >= 1;
  }

  // Requests that were sent without credit are paid back first.
  void Take() { credit_ -= 1; }

 private:
  double credit_ = 0;  // requests
  TimePoint refilled_at_{};
};

}  // namespace dogwood
