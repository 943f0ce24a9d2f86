#pragma once

#include <algorithm>
#include <cstdint>

namespace dogwood {

// Limits retries to a tenth of the requests seen, so that retries cannot
// multiply an overload. Starts empty; unused budget is kept up to a burst.
class RetryBudget {
 public:
  static constexpr std::uint32_t kRequestsPerRetry = 10;
  static constexpr std::uint32_t kMaximumBurst = 20;  // retries

  void CountRequest() {
    credit_ = std::min(credit_ + 1, kMaximumBurst * kRequestsPerRetry);
  }

  bool try_take() {
    if (credit_ < kRequestsPerRetry) return false;
    credit_ -= kRequestsPerRetry;
    return true;
  }

 private:
  std::uint32_t credit_ = 0;  // requests not yet used for a retry
};

}  // namespace dogwood
