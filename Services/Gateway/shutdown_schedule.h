#pragma once

#include "Libraries/Core/core.h"

namespace dogwood {

// Times of a planned stop, which decide whether a request is still started.
// Those that may be cut off are refused without having run, so that the caller
// returns to another host; cut off, a request that must not be retried would be
// lost.
struct ShutdownSchedule {
  // A request may take this multiple of its expected time.
  static constexpr int kExpectedTimeFactor = 4;

  // Requests that arrive later are not started on a forecast: their callers
  // need a response even if they take much longer than expected.
  TimePoint forecast_until{};
  TimePoint accept_until{};    // requests that arrive later are refused
  TimePoint forced_stop_at{};  // what still runs is cut off

  // Whether a request that takes `expected_time` at its backend server most
  // likely ends before the forced stop. One that reaches its deadline by then
  // does so in any case.
  bool ends_in_time(TimePoint deadline, Duration expected_time,
                    TimePoint now) const {
    return deadline <= forced_stop_at ||
           now + kExpectedTimeFactor * expected_time <= forced_stop_at;
  }
  // Whether a request is started that arrived at `arrived_at`.
  bool admits(TimePoint arrived_at, TimePoint deadline, Duration expected_time,
              TimePoint now) const {
    if (arrived_at >= accept_until) return false;
    if (arrived_at >= forecast_until) return deadline <= forced_stop_at;
    return ends_in_time(deadline, expected_time, now);
  }
};

}  // namespace dogwood
