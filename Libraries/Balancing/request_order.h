#pragma once

#include <tuple>

#include "Libraries/Balancing/account_shares.h"
#include "Libraries/Balancing/dispatch_request.h"
#include "Libraries/Balancing/priority_floor.h"

namespace dogwood {

// Order in which the queued requests of a service get servers: what costs
// callers most when it is delayed goes first. Requests at the end are delayed,
// and refused when their wait would pass their latency goal.
class RequestOrder {
 public:
  // Smaller ranks go first.
  struct Rank {
    // Its latency goal cannot be met any more, so a delay costs least.
    bool is_late = false;
    // Its client account takes more than its share while others wait.
    bool is_over_share = false;
    unsigned priority = 0;
    // By when it has to start to meet the goal of its route, counted from its
    // arrival. A caller's retry does not overtake requests that arrived before.
    TimePoint start_by{};
    Duration service_time{};  // of two equal ones, the shorter goes first

    friend bool operator<(const Rank& left, const Rank& right) {
      const auto key = [](const Rank& rank) {
        return std::tuple(rank.is_late, rank.is_over_share, rank.priority,
                          rank.start_by, rank.service_time);
      };
      return key(left) < key(right);
    }
  };

  // Begins a pass over the queue.
  void Update(TimePoint now) { shares_.Update(now); }

  Rank RankOf(const DispatchRequest& request, TimePoint now) const {
    const bool is_below_floor =
        request.priority > 0 &&
        floor_.is_below_floor(request.service, request.priority, now);
    return {now + request.typical_service_time > request.latency_goal_at,
            shares_.is_over_share(request.account),
            is_below_floor ? 0 : request.priority,
            request.arrived_at + request.latency_goal -
                request.typical_service_time,
            request.typical_service_time};
  }

  // Records a final decision on a first attempt.
  void OnDecided(const DispatchRequest& request, bool is_served,
                 TimePoint now) {
    if (request.is_hedge) return;
    floor_.Count(request.service, request.priority, is_served, now);
    if (is_served && request.account != 0)
      shares_.Count(request.account, request.account_weight, now);
  }

 private:
  AccountShares shares_;
  PriorityFloor floor_;
};

}  // namespace dogwood
