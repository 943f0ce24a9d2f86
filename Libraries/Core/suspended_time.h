#pragma once

#include <ctime>

#include "Libraries/Core/time.h"

namespace dogwood {

// Total time for which this host was suspended since it was booted, which
// MonotonicNow() does not count.
inline Duration SuspendedTime() {
  const auto read = [](clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    return Duration(std::chrono::seconds(time.tv_sec)) +
           std::chrono::nanoseconds(time.tv_nsec);
  };
  // Read in this order, so that the result is never too small.
  const Duration monotonic = read(CLOCK_MONOTONIC);
  return read(CLOCK_BOOTTIME) - monotonic;
}

}  // namespace dogwood
