#pragma once

#include <algorithm>

#include "Libraries/Core/core.h"

namespace dogwood {

// Backoff for calls to the store after refused or lost calls. Every call is
// billed, refused ones too, and the fleet shares the store's rate limit: hosts
// that others copy from retry often, the others back off for longer.
class StoreBackoff {
 public:
  enum class Part { kReader, kCopier };

  static constexpr Duration kInitialDelay = std::chrono::milliseconds(400);
  static constexpr Duration kMaximumReaderDelay =
      std::chrono::milliseconds(800);
  static constexpr Duration kMaximumDelay = std::chrono::milliseconds(3200);
  // Copiers start with a longer delay: once one of them reaches the store, the
  // others copy from it.
  static constexpr int kCopierInitialDelayFactor = 4;  // times kInitialDelay

  void OnAnswered() {
    delay_ = {};
    not_before_ = {};
  }

  // `spread`, a factor around 1, keeps hosts that lost the store at the same
  // time from calling it at the same time.
  void OnFailed(Part part, double spread, TimePoint now) {
    const bool is_reader = part == Part::kReader;
    const Duration first =
        is_reader ? kInitialDelay : kCopierInitialDelayFactor * kInitialDelay;
    const Duration longest = is_reader ? kMaximumReaderDelay : kMaximumDelay;
    delay_ = std::clamp(2 * delay_, first, longest);
    not_before_ = now + std::chrono::duration_cast<Duration>(delay_ * spread);
  }

  TimePoint not_before() const { return not_before_; }

 private:
  Duration delay_{};
  TimePoint not_before_{};
};

}  // namespace dogwood
