#pragma once

#include <chrono>
#include <cstdint>

#include "Libraries/Core/core.h"

namespace dogwood {

// Speed of a backend server that slows down now and then: time is cut into
// windows of equal length, and a hash of server and window decides whether the
// server is slow in it. The load tool computes the same function, so that it
// can work out what a central queue would have reached.
struct SlowdownPattern {
  std::chrono::microseconds window = std::chrono::milliseconds(50);
  std::uint32_t slow_percent = 0;  // share of the windows that are slow
  double slow_speed = 1.0 / 3;     // speed in a slow window; 1 is full speed
  std::uint64_t seed = 1;

  double SpeedAt(std::uint64_t server, std::int64_t wall_microseconds) const {
    const auto index =
        static_cast<std::uint64_t>(wall_microseconds / window.count());
    return Mix(seed ^ Mix(server + 1) ^ Mix(index)) % 100 < slow_percent
               ? slow_speed
               : 1.0;
  }

  // Wall time at which work of the given length (at full speed) ends when it
  // starts at `start`.
  std::int64_t EndOfWork(std::uint64_t server, std::int64_t start,
                         double work_microseconds) const {
    double now = static_cast<double>(start);
    double rest = work_microseconds;
    while (true) {
      const auto at = static_cast<std::int64_t>(now);
      const double speed = SpeedAt(server, at);
      const std::int64_t next_window = at / window.count() + 1;
      const auto window_end = static_cast<double>(next_window * window.count());
      const double possible = (window_end - now) * speed;
      if (rest <= possible)
        return static_cast<std::int64_t>(now + rest / speed);
      rest -= possible;
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
