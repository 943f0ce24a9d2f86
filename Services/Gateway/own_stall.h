#pragma once

#include "Libraries/Core/core.h"

namespace dogwood {

// A timer that is handled this long after it was due shows that this process
// got no processor time meanwhile. The answer that it was to wait for may have
// arrived and not been read, so its silence proves nothing.
inline constexpr Duration kOwnStall = std::chrono::milliseconds(50);

inline bool HasStalled(TimePoint due_at, TimePoint now) {
  return now - due_at > kOwnStall;
}

}  // namespace dogwood
