#pragma once

#include <chrono>
#include <cstdint>

namespace dogwood {

// Monotonic time. Decision logic receives the current time as an argument, so
// that tests can use a virtual clock. std::chrono::steady_clock advances while
// a process is stopped, so a paused lease holder detects that its lease
// expired.
using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Wall-clock time, only for records read by people and other hosts.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::microseconds>;

inline TimePoint MonotonicNow() { return std::chrono::steady_clock::now(); }

inline WallTime WallClockNow() {
  return std::chrono::time_point_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now());
}

inline double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace dogwood
