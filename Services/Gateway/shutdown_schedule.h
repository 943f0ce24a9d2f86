#pragma once

#include "Libraries/Core/core.h"

namespace dogwood {

// Times of a planned stop, which decide whether a request is still started.
struct ShutdownSchedule {
  // A request may take this multiple of its expected time.
  static constexpr int kExpectedTimeFactor = 4;

  TimePoint accept_until{};    // requests that arrive later are refused
  TimePoint forced_stop_at{};  // what still runs is cut off

  // Whether a request that takes `expected_time` at its backend server most
  // likely ends before the forced stop. Later ones are refused without having
  // run, so that the caller returns to another host; cut off, a request that
  // must not be retried would be lost.
  bool admits(TimePoint arrived_at, Duration expected_time,
              TimePoint now) const {
    return arrived_at < accept_until &&
           now + kExpectedTimeFactor * expected_time <= forced_stop_at;
  }
};

}  // namespace dogwood
