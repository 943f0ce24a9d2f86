#pragma once

#include "Libraries/Core/core.h"

namespace dogwood {

// Lease on the permits that this host owns, renewed by acknowledgements of
// peers. A host that is not acknowledged or that was paused may have been
// removed by its peers. After losing the lease it waits for a new
// acknowledgement and then for the takeover delay, like any host that gains a
// slot.
class PermitLease {
 public:
  PermitLease(Duration lease_duration, Duration takeover_delay)
      : lease_duration_(lease_duration), takeover_delay_(takeover_delay) {}

  // `sent_at` is the time at which the acknowledged message was sent, so an
  // acknowledgement that is read after a pause does not renew the lease.
  void Renew(TimePoint sent_at, TimePoint now);

  // Expires the lease and detects pauses. Must be called before every decision.
  void Advance(TimePoint now);

  void set_is_exempt(bool is_exempt) { is_exempt_ = is_exempt; }

  bool is_valid(TimePoint now) const {
    return is_exempt_ || (is_held_ && now - renewed_at_ <= lease_duration_);
  }

  // Time from which the holder of the current lease may use its permits.
  TimePoint usable_from() const {
    return is_exempt_ ? TimePoint::min() : usable_from_;
  }

 private:
  Duration lease_duration_;
  Duration takeover_delay_;
  bool is_exempt_ = false;
  bool is_held_ = false;
  bool has_advanced_ = false;
  TimePoint renewed_at_{};
  TimePoint last_advanced_at_{};
  TimePoint lost_at_ = TimePoint::min();
  TimePoint usable_from_ = TimePoint::max();
};

}  // namespace dogwood
