#pragma once

#include <algorithm>

#include "Libraries/Core/core.h"

namespace dogwood {

// When a host may call the store again after calls that were refused or lost.
// Calls are paid for, refused ones too, and the store's rate is shared: hosts
// that others copy from go on trying often, the others wait for them.
class StoreBackoff {
 public:
  enum class Part { kReader, kCopier };

  static constexpr Duration kFirstPause = std::chrono::milliseconds(400);
  static constexpr Duration kLongestPauseOfReader =
      std::chrono::milliseconds(800);
  static constexpr Duration kLongestPause = std::chrono::milliseconds(3200);
  // Copiers begin with longer pauses: when one of them reaches the store, the
  // others copy from it.
  static constexpr int kFirstPauseOfCopier = 4;  // times kFirstPause

  void OnAnswered() {
    pause_ = {};
    not_before_ = {};
  }

  // `spread` around 1 keeps hosts that lost the store at the same moment from
  // calling together.
  void OnFailed(Part part, double spread, TimePoint now) {
    const bool is_reader = part == Part::kReader;
    const Duration first =
        is_reader ? kFirstPause : kFirstPauseOfCopier * kFirstPause;
    const Duration longest = is_reader ? kLongestPauseOfReader : kLongestPause;
    pause_ = std::clamp(2 * pause_, first, longest);
    not_before_ = now + std::chrono::duration_cast<Duration>(pause_ * spread);
  }

  TimePoint not_before() const { return not_before_; }

 private:
  Duration pause_{};
  TimePoint not_before_{};
};

}  // namespace dogwood
