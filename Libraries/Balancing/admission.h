#pragma once

#include <optional>

#include "Libraries/Balancing/server_table.h"

namespace dogwood {

enum class AdmissionVerdict { kSend, kWait, kRefuse };

// Decides whether a request is sent now, waits for a better moment, or is
// refused as not run.
class Admission {
 public:
  // A request still within its goal leaves this reserve for the work itself.
  static constexpr double kWorkReserve = 2.2;  // times the usual work
  // A late request waits this part of its goal for room before it is refused:
  // its caller can come back sooner than it would be served here.
  static constexpr double kLateWait = 0.12;
  // Late requests take only room that leaves this part of the fast slots free
  // for those that can still be in time.
  static constexpr double kFreePartForTimely = 0.2;

  struct Input {
    PlacementQuery query;
    std::optional<Placement> placement;
    Duration waited{};
    ServerTable::Occupancy occupancy;
    std::size_t waiting_before = 0;  // requests of the service ahead of it
    // Dispatchers of other availability zones that use the servers as well,
    // this one included.
    std::size_t dispatcher_count = 1;
  };

  static AdmissionVerdict Decide(const Input& input);

  // When a refused caller may come back: later the fuller the service is, and
  // spread over the same span again. `draw` is uniform in 0 to 1.
  static Duration RetryAfter(const Input& input, double draw);
};

}  // namespace dogwood
