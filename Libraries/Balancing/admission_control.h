#pragma once

#include <optional>

#include "Libraries/Balancing/server_table.h"

namespace dogwood {

enum class AdmissionDecision { kSend, kWait, kRefuse };

// Admission control: decides whether a request is sent now, queued, or refused
// without having run.
class AdmissionControl {
 public:
  // A request waits only while more time than this is left until its latency
  // goal, as a multiple of the typical service time.
  static constexpr double kServiceTimeReserve = 2.2;
  // A late request queues for this share of its latency goal before it is
  // refused; a retry of the caller is then likely to be served earlier.
  static constexpr double kLateQueueTimeShare = 0.12;
  // Late requests are sent only while this share of the fast slots stays free
  // for requests that can still meet their goal.
  static constexpr double kFreeShareKeptForTimely = 0.2;

  struct Input {
    ServerSelectionQuery query;
    std::optional<ServerSelection> selection;
    Duration queue_time{};
    ServerTable::Occupancy occupancy;
    // Service time of the requests of the same service that go first.
    Duration queued_work{};
    bool is_hedge = false;  // a second attempt while the first one still runs
    // Dispatchers that share the backend servers, one per availability zone,
    // this one included.
    std::size_t dispatcher_count = 1;
  };

  // Hedges are sent only while this share of the fast slots is free, so that
  // they do not displace first attempts.
  static constexpr double kMinFreeShareForHedges = 0.4;

  static AdmissionDecision Decide(const Input& input);

  // Returns the Retry-After delay of a request refused for lack of capacity: up
  // to a third of the caller's time left, the longest delay that callers
  // accept, because an overload is most likely over by then. `draw`, uniform in
  // [0, 1], spreads the retries.
  static Duration RetryAfter(Duration time_left, double draw);
  // Retry-After delay when backend servers with free slots rejected a request.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);
};

}  // namespace dogwood
