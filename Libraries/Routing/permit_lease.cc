#include "Libraries/Routing/permit_lease.h"

#include <algorithm>

namespace dogwood {

void PermitLease::Advance(TimePoint now) {
  // The router is called more often than the lease duration, so a longer gap
  // means that the process was paused or its clock jumped.
  const bool has_clock_jumped =
      has_advanced_ && now - last_advanced_at_ > lease_duration_;
  if (is_held_ && (has_clock_jumped || now - renewed_at_ > lease_duration_)) {
    is_held_ = false;
    lost_at_ = now;
    usable_from_ = TimePoint::max();
  }
  has_advanced_ = true;
  last_advanced_at_ = std::max(last_advanced_at_, now);
}

void PermitLease::Renew(TimePoint sent_at, TimePoint now) {
  Advance(now);
  if (now - sent_at > lease_duration_ || sent_at < lost_at_) return;
  if (!is_held_) {
    is_held_ = true;
    usable_from_ = now + takeover_delay_;
    renewed_at_ = sent_at;
  }
  renewed_at_ = std::max(renewed_at_, sent_at);
}

}  // namespace dogwood
