#pragma once

#include <algorithm>
#include <cstdint>

namespace dogwood {

// Limits retries to a fraction of the requests, so that retries do not amplify
// an overload. Starts empty; unused budget accumulates up to
// kMaximumBurstRetries.
class RetryBudget {
 public:
  static constexpr std::uint32_t kRequestsPerRetry = 10;
  static constexpr std::uint32_t kMaximumBurstRetries = 20;

  void CountRequest() {
    credit_ = std::min(credit_ + 1, kMaximumBurstRetries * kRequestsPerRetry);
  }

  bool try_take() {
    if (credit_ < kRequestsPerRetry) return false;
    credit_ -= kRequestsPerRetry;
    return true;
  }

 private:
  std::uint32_t credit_ = 0;  // in requests
};

}  // namespace dogwood
