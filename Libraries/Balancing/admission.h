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
    bool is_hedge = false;  // a second try beside one that is still running
    // Dispatchers of other availability zones that use the servers as well,
    // this one included.
    std::size_t dispatcher_count = 1;
  };

  // Hedges are sent only while this part of the fast slots is free, so that
  // they never take room from first tries.
  static constexpr double kFreePartForHedges = 0.4;

  static AdmissionVerdict Decide(const Input& input);

  // When a caller that was refused for lack of room may come back. Its request
  // is late then, so it comes as late as callers wait (a third of the time they
  // have left), when an overload is most likely over; spread, so that refused
  // callers do not return together. `draw` is uniform in 0 to 1.
  static Duration RetryAfter(Duration callers_time_left, double draw);
  // The same when backend servers refused although they had room.
  static constexpr Duration kRetrySoon = std::chrono::milliseconds(10);
};

}  // namespace dogwood
