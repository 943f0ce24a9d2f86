#pragma once

#include <chrono>
#include <cstdint>

namespace dogwood {

// Time inside decisions is a monotonic time point passed in by the caller, so
// that tests run on a virtual clock. std::chrono::steady_clock continues while
// a process is stopped, which is how a paused holder of a lease notices the
// pause.
using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Wall time, only for records that people and other hosts read.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::microseconds>;

inline TimePoint MonotonicNow() { return std::chrono::steady_clock::now(); }

inline WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now());
}

inline double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace dogwood
