#pragma once

#include <algorithm>

#include "Libraries/Core/core.h"

namespace dogwood {

// This host's share of the fleet-wide retry budget of one service: a fixed
// share of its own requests plus an equal share of the extra retries allowed
// per window.
class HostRetryBudget {
 public:
  struct Limits {
    double ratio = 0.2;  // retries per request, fleet-wide
    Duration window = std::chrono::seconds(10);
    double extra = 0;  // retries per window on top of the ratio, fleet-wide
  };

  // Shares of the budget that are used. The rest covers unused credit of hosts,
  // differing views of the fleet size, and hosts that have just started.
  static constexpr double kUsableRatioShare = 0.85;
  static constexpr double kUsableExtraShare = 0.4;
  // A host can accumulate at least this many retries.
  static constexpr double kMinCreditCap = 2;

  void CountRequest(const Limits& limits, TimePoint now) {
    Refill(limits, now);
    credit_ =
        std::min(credit_ + kUsableRatioShare * limits.ratio, CreditCap(limits));
  }

  // Takes credit for one retry. `host_count` is the number of hosts that share
  // the budget.
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
    return kUsableExtraShare * limits.extra / static_cast<double>(host_count_);
  }
  double CreditCap(const Limits& limits) const {
    return std::max(kMinCreditCap, ExtraShare(limits));
  }

  void Refill(const Limits& limits, TimePoint now) {
    if (refilled_at_ == TimePoint{}) refilled_at_ = now;
    const double windows =
        std::chrono::duration<double>(now - refilled_at_).count() /
        std::chrono::duration<double>(limits.window).count();
    refilled_at_ = now;
    credit_ =
        std::min(credit_ + windows * ExtraShare(limits), CreditCap(limits));
  }

  static constexpr double kInitialCredit = 1;  // retries
  // Assumed fleet size until the first call of try_take.
  static constexpr std::size_t kInitialHostCount = 64;

  double credit_ = kInitialCredit;  // retries
  std::size_t host_count_ = kInitialHostCount;
  TimePoint refilled_at_{};
};

}  // namespace dogwood
