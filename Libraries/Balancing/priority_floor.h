#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "Libraries/Core/core.h"

namespace dogwood {

// Keeps less urgent requests of a service from being served hardly at all while
// more urgent ones take all room: when the share of a priority that is served
// falls below a floor, its requests wait with the most urgent ones.
class PriorityFloor {
 public:
  // Least part of the share of all requests that a priority gets.
  static constexpr double kFloor = 0.5;
  static constexpr Duration kHalfLife = std::chrono::seconds(2);
  // Fewer recent decisions say nothing.
  static constexpr double kMinDecisions = 5;

  void Count(const ServiceId& service, unsigned priority, bool is_served,
             TimePoint now) {
    for (const unsigned key : {priority, kAllPriorities}) {
      Counts& counts = counts_[{service, key}];
      const double factor = Decay(counts, now);
      counts.decided = counts.decided * factor + 1;
      counts.served = counts.served * factor + (is_served ? 1 : 0);
      counts.counted_at = now;
    }
  }

  bool is_below_floor(const ServiceId& service, unsigned priority,
                      TimePoint now) const {
    const auto own = counts_.find({service, priority});
    const auto all = counts_.find({service, kAllPriorities});
    if (own == counts_.end() || all == counts_.end()) return false;
    const Counts& counts = own->second;
    if (counts.decided * Decay(counts, now) < kMinDecisions) return false;
    return counts.served * all->second.decided <
           kFloor * all->second.served * counts.decided;
  }

 private:
  static constexpr unsigned kAllPriorities = ~0U;

  struct Counts {
    double decided = 0;
    double served = 0;
    TimePoint counted_at{};
  };

  static double Decay(const Counts& counts, TimePoint now) {
    const double half_lives =
        std::chrono::duration<double>(now - counts.counted_at) / kHalfLife;
    return std::exp2(-std::max(half_lives, 0.0));
  }

  std::map<std::pair<ServiceId, unsigned>, Counts> counts_;
};

}  // namespace dogwood
