#pragma once

#include <algorithm>

#include "Libraries/Core/core.h"

namespace dogwood {

// This host's share of the repeats that the whole fleet may send to one
// service: a fixed part of the host's own requests, and an equal share of the
// extra repeats allowed in each window.
class RetryAllowance {
 public:
  struct Limits {
    double ratio = 0.2;  // repeats per request, fleet-wide
    Duration window = std::chrono::seconds(10);
    double extra = 0;  // repeats on top of the ratio per window, fleet-wide
  };

  // Parts of the allowance that are used. The rest covers credit that hosts
  // have saved, hosts whose views of the fleet differ, and hosts that start.
  static constexpr double kRatioPart = 0.85;
  static constexpr double kExtraPart = 0.4;
  // A host saves at least this many repeats, and starts with one.
  static constexpr double kLeastSaved = 2;

  void CountRequest(const Limits& limits, TimePoint now) {
    Refill(limits, now);
    credit_ = std::min(credit_ + kRatioPart * limits.ratio, MostCredit(limits));
  }

  // `host_count` is the number of hosts that may send repeats.
  bool try_take(const Limits& limits, std::size_t host_count, TimePoint now) {
    host_count_ = std::max<std::size_t>(host_count, 1);
    Refill(limits, now);
    if (credit_ < 1) return false;
    credit_ -= 1;
    return true;
  }

  double credit() const { return credit_; }

 private:
  double ExtraShare(const Limits& limits) const {
    return kExtraPart * limits.extra / static_cast<double>(host_count_);
  }
  double MostCredit(const Limits& limits) const {
    return std::max(kLeastSaved, ExtraShare(limits));
  }

  void Refill(const Limits& limits, TimePoint now) {
    if (refilled_at_ == TimePoint{}) refilled_at_ = now;
    const double windows =
        std::chrono::duration<double>(now - refilled_at_).count() /
        std::chrono::duration<double>(limits.window).count();
    refilled_at_ = now;
    credit_ =
        std::min(credit_ + windows * ExtraShare(limits), MostCredit(limits));
  }

  double credit_ = 1;
  std::size_t host_count_ = 64;  // until the fleet's size is known
  TimePoint refilled_at_{};
};

}  // namespace dogwood
