#pragma once

#include <algorithm>

#include "Libraries/Core/core.h"

namespace dogwood {

// Backoff for calls to the store after refused or lost calls. Every call is
// billed, refused ones too, and the fleet shares the store's rate limit: hosts
// that others replicate from retry often, the others back off for longer.
class StoreBackoff {
 public:
  enum class Role { kReader, kFollower };

  static constexpr Duration kInitialDelay = std::chrono::milliseconds(400);
  static constexpr Duration kMaxReaderDelay = std::chrono::milliseconds(800);
  static constexpr Duration kMaxDelay = std::chrono::milliseconds(3200);
  // Copiers start with a longer delay: once one of them reaches the store, the
  // others copy from it.
  static constexpr int kFollowerInitialDelayFactor = 4;  // times kInitialDelay

  void OnSuccess() {
    delay_ = {};
    next_call_at_ = {};
  }

  // `spread`, a factor around 1, keeps hosts that lost the store at the same
  // time from calling it at the same time.
  void OnFailure(Role role, double spread, TimePoint now) {
    const bool is_reader = role == Role::kReader;
    const Duration first =
        is_reader ? kInitialDelay : kFollowerInitialDelayFactor * kInitialDelay;
    const Duration longest = is_reader ? kMaxReaderDelay : kMaxDelay;
    delay_ = std::clamp(2 * delay_, first, longest);
    next_call_at_ = now + std::chrono::duration_cast<Duration>(delay_ * spread);
  }

  TimePoint next_call_at() const { return next_call_at_; }

 private:
  Duration delay_{};
  TimePoint next_call_at_{};
};

}  // namespace dogwood
