#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Libraries/Balancing/backend_server_state.h"

namespace dogwood {

// The operator's order to move a service's requests to servers of one version.
struct RolloutOrder {
  ServiceId service;
  std::string target;        // version
  Duration duration{};       // by when it has to end
  std::uint64_t number = 0;  // of the order's row in the store

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

// Phases of a roll-out, in the order in which they may follow each other. The
// last two are final for an order.
enum class RolloutPhase {
  kHold,        // the target version gets no requests
  kCanary,      // the target version gets a small share
  kShift,       // the target version gets all; the old one finishes its work
  kCompleted,   // the old version has ended
  kRolledBack,  // the target version ends
};

inline constexpr EnumNames<RolloutPhase, 5> kRolloutPhaseNames{{{
    {RolloutPhase::kHold, "hold"},
    {RolloutPhase::kCanary, "canary"},
    {RolloutPhase::kShift, "shift"},
    {RolloutPhase::kCompleted, "completed"},
    {RolloutPhase::kRolledBack, "rolled-back"},
}}};

constexpr bool IsFinal(RolloutPhase phase) {
  return phase == RolloutPhase::kCompleted ||
         phase == RolloutPhase::kRolledBack;
}

// Ended attempts of one kind of request at one version.
struct VersionCounts {
  std::uint64_t requests = 0;
  std::uint64_t bad = 0;  // failed, or several times slower than expected

  VersionCounts& operator+=(const VersionCounts& other) {
    requests += other.requests;
    bad += other.bad;
    return *this;
  }
};

// What one host, or all, saw of a roll-out since its order.
struct RolloutEvidence {
  struct Kind {
    VersionCounts target;
    VersionCounts old;
  };

  // Kinds of requests differ in route: a version may fail on one only.
  std::map<std::uint64_t, Kind> kinds;
  // Servers of the target version with bad responses: a single one may be at
  // fault itself.
  std::set<std::uint64_t> bad_target_servers;
  std::uint64_t old_in_flight = 0;  // requests at the old version

  void Add(const RolloutEvidence& other);
  VersionCounts TargetTotal() const;
};

// Decides a roll-out from the evidence of all hosts. The old version is
// compared over the same time and the same kinds of requests, so that faults
// that meet both versions do not count against the new one.
class RolloutEvaluator {
 public:
  // A version is bad on a kind of request if it has this many bad responses...
  static constexpr std::uint64_t kMinBadResponses = 8;
  // ...its rate of them exceeds the old version's by this much...
  static constexpr double kMinExcessRate = 0.1;
  // ...and by this many standard errors of the difference. 8 of 16 responses
  // against 2 in 100 suffice; at a rate of 0.2 it takes about 80 responses.
  static constexpr double kMinStandardErrors = 3.5;
  static constexpr std::size_t kMinBadServers = 2;
  // Below this, a version is not known to be good.
  static constexpr std::uint64_t kMinGoodRequests = 60;
  // Parts of the order's duration at which the old version begins to finish
  // its work, and after which it is no longer waited for. Faults that show
  // late, and those under load, need the first part; the rest has to outlast
  // the longest requests.
  static constexpr double kShiftAt = 0.55;
  static constexpr double kCompleteBy = 0.9;
  // How long the new version carries all requests before it is good.
  static constexpr Duration kMinShiftTime = std::chrono::milliseconds(1200);

  struct Input {
    RolloutPhase phase = RolloutPhase::kHold;
    Duration elapsed{};        // since the order
    Duration shift_elapsed{};  // since phase kShift began
    Duration duration{};
    // Slots of the usable servers of each version.
    double target_slots = 0;
    double old_slots = 0;
  };

  static bool IsBad(const RolloutEvidence& evidence);
  static RolloutPhase Decide(const Input& input,
                             const RolloutEvidence& evidence);
};

}  // namespace dogwood
