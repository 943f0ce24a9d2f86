#pragma once

#include <memory>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class HostPhase { kStarting, kServing, kLeaving, kStopped };

inline constexpr NameTable<HostPhase, 4> kHostPhaseNames{{{
    {HostPhase::kStarting, "starting"},
    {HostPhase::kServing, "serving"},
    {HostPhase::kLeaving, "leaving"},
    {HostPhase::kStopped, "stopped"},
}}};

enum class HostEvent {
  kStarted,
  kStopRequested,  // a signal
  kDrained,        // no request is in flight any more
  kDeadlinePassed,
};

// Life cycle of an entry host. A second stop request while leaving ends the
// host at once; events that have no meaning in a phase are ignored.
class HostLifeCycle {
 public:
  HostLifeCycle();
  ~HostLifeCycle();

  // Returns whether the phase changed.
  bool Process(HostEvent event);
  HostPhase phase() const;
  // Whether the host stopped before its work was done.
  bool is_forced() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace dogwood
