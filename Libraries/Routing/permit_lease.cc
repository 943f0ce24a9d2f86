#include "Libraries/Routing/permit_lease.h"

#include <algorithm>

namespace dogwood {

void PermitLease::Advance(TimePoint now) {
  // The router is called at least as often as its lease is renewed, so a gap
  // above the lease means that the process or its clock stood still.
  const bool has_jumped = has_advanced_ && now - last_advance_ > lease_;
  if (is_held_ && (has_jumped || now - renewed_ > lease_)) {
    is_held_ = false;
    lost_at_ = now;
    usable_from_ = TimePoint::max();
  }
  has_advanced_ = true;
  last_advance_ = std::max(last_advance_, now);
}

void PermitLease::Renew(TimePoint sent_at, TimePoint now) {
  Advance(now);
  if (now - sent_at > lease_ || sent_at < lost_at_) return;
  if (!is_held_) {
    is_held_ = true;
    usable_from_ = now + takeover_delay_;
    renewed_ = sent_at;
  }
  renewed_ = std::max(renewed_, sent_at);
}

}  // namespace dogwood
