#pragma once

#include "Libraries/Core/core.h"

namespace dogwood {

// Delay of a timer beyond which this process counts as stalled: it got no
// processor time, so a response may have arrived in time and not been read.
inline constexpr Duration kProcessStallThreshold =
    std::chrono::milliseconds(50);

// Whether this process was stalled when a timer that expired at `due_at` is
// handled at `now`. The timeout is then no evidence against a backend server.
inline bool IsProcessStalled(TimePoint due_at, TimePoint now) {
  return now - due_at > kProcessStallThreshold;
}

}  // namespace dogwood
