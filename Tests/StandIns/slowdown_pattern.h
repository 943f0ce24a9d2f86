#pragma once

#include <chrono>
#include <cstdint>

#include "Libraries/Core/core.h"

namespace dogwood {

// Temporary slowdowns of backend servers. Time is divided into windows of equal
// length; a hash of the server and the window decides whether the server is
// slow in it. The load tool uses the same function to compute the response
// times that a central queue would have reached.
struct SlowdownPattern {
  std::chrono::microseconds window = std::chrono::milliseconds(50);
  std::uint32_t slow_percent = 0;  // percentage of slow windows
  double slow_speed = 1.0 / 3;     // relative to full speed
  std::uint64_t seed = 1;

  // Returns the speed relative to full speed.
  double SpeedAt(std::uint64_t server, std::int64_t wall_microseconds) const {
    const auto window_index =
        static_cast<std::uint64_t>(wall_microseconds / window.count());
    return Mix(seed ^ Mix(server + 1) ^ Mix(window_index)) % 100 < slow_percent
               ? slow_speed
               : 1.0;
  }

  // Returns the wall time, in microseconds, at which work that starts at
  // `start` ends. `work_microseconds` is its duration at full speed.
  std::int64_t CompletionTime(std::uint64_t server, std::int64_t start,
                              double work_microseconds) const {
    double now = static_cast<double>(start);
    double remaining_work = work_microseconds;
    while (true) {
      const auto now_microseconds = static_cast<std::int64_t>(now);
      const double speed = SpeedAt(server, now_microseconds);
      const std::int64_t next_window_index =
          now_microseconds / window.count() + 1;
      const auto window_end =
          static_cast<double>(next_window_index * window.count());
      const double work_in_window = (window_end - now) * speed;
      if (remaining_work <= work_in_window)
        return static_cast<std::int64_t>(now + remaining_work / speed);
      remaining_work -= work_in_window;
      now = window_end;
    }
  }

 private:
  // SplitMix64 finalizer.
  static std::uint64_t Mix(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111eb;
    return value ^ (value >> 31U);
  }
};

}  // namespace dogwood
