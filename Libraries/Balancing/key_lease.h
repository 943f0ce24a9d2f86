#pragma once

#include <algorithm>
#include <optional>

#include "Libraries/Core/core.h"

namespace dogwood {

// How recent this host's knowledge of client accounts and their keys is. A host
// that hears of no change cannot tell that from being cut off, so it acts on
// keys only for a limited time after the store has last confirmed, to any host,
// that the configuration in force is the newest.
//
// Moments are on the clock of the caller, which must also pass the total time
// for which that clock has stood still because the host was suspended.
class KeyLease {
 public:
  struct Limits {
    // Keys may be used only within the revocation delay; otherwise always.
    bool is_strict = false;
    Duration revocation_delay = std::chrono::seconds(5);
    // By when a new key has to be known.
    Duration configuration_delay = std::chrono::milliseconds(2500);
  };

  // Share of the revocation delay for which a confirmation may be used. The
  // rest covers the transfer of the last confirmation, timers and differences
  // between clock rates.
  static constexpr double kUsableShare = 0.8;

  // No configuration newer than `version` was in the store at `moment`, which
  // must not be later than the store's answer.
  void Confirm(SettingsVersion version, TimePoint moment, Duration suspended) {
    newest_version_ = std::max(newest_version_, version);
    const bool is_older = confirmed_at_ && version <= confirmed_version_ &&
                          Elapsed(moment, suspended) <= Duration::zero();
    if (is_older || version < confirmed_version_) return;
    confirmed_version_ = version;
    confirmed_at_ = moment;
    suspended_at_confirmation_ = suspended;
  }

  // Time since the last confirmation; absent without one, or while a newer
  // configuration than the one in force is known to exist.
  std::optional<Duration> Age(SettingsVersion in_force, TimePoint now,
                              Duration suspended) const {
    if (!confirmed_at_ || in_force < newest_version_) return std::nullopt;
    return Elapsed(now, suspended);
  }

  // Whether requests may be sent for the accounts that hold their keys.
  static bool may_use_keys(const Limits& limits, std::optional<Duration> age) {
    return !limits.is_strict ||
           (age && *age < std::chrono::duration_cast<Duration>(
                              limits.revocation_delay * kUsableShare));
  }
  // Whether a key that is not known does not exist. Otherwise it may have been
  // added meanwhile.
  static bool may_deny_keys(const Limits& limits, std::optional<Duration> age) {
    return age && *age <= limits.configuration_delay;
  }

 private:
  Duration Elapsed(TimePoint now, Duration suspended) const {
    return now - *confirmed_at_ + (suspended - suspended_at_confirmation_);
  }

  SettingsVersion newest_version_;  // known to exist
  SettingsVersion confirmed_version_;
  std::optional<TimePoint> confirmed_at_;
  Duration suspended_at_confirmation_{};
};

}  // namespace dogwood
