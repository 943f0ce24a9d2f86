#pragma once

#include "Libraries/Core/core.h"

namespace dogwood {

// Tells whether this host may use what it owns. A host without a recent
// acknowledgement by a peer, or one that was paused, may have been removed by
// its peers: it must wait until it is acknowledged again, and then as long as
// any host that gains a slot.
class PermitLease {
 public:
  PermitLease(Duration lease, Duration takeover_delay)
      : lease_(lease), takeover_delay_(takeover_delay) {}

  // `sent_at` is when the acknowledged message was sent, so that an
  // acknowledgement read after a pause renews nothing.
  void Renew(TimePoint sent_at, TimePoint now);

  // Notes the passing of time; called by every decision.
  void Advance(TimePoint now);

  void set_is_exempt(bool is_exempt) { is_exempt_ = is_exempt; }

  bool is_valid(TimePoint now) const {
    return is_exempt_ || (is_held_ && now - renewed_ <= lease_);
  }

  // When the current uninterrupted lease lets its holder start to use what it
  // owns.
  TimePoint usable_from() const {
    return is_exempt_ ? TimePoint::min() : usable_from_;
  }

 private:
  Duration lease_;
  Duration takeover_delay_;
  bool is_exempt_ = false;
  bool is_held_ = false;
  bool has_advanced_ = false;
  TimePoint renewed_{};
  TimePoint last_advance_{};
  TimePoint lost_at_ = TimePoint::min();
  TimePoint usable_from_ = TimePoint::max();
};

}  // namespace dogwood
