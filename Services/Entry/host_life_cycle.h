#pragma once

#include <memory>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class HostPhase { kStarting, kServing, kDraining, kStopped };

inline constexpr EnumNames<HostPhase, 4> kHostPhaseNames{{{
    {HostPhase::kStarting, "starting"},
    {HostPhase::kServing, "serving"},
    {HostPhase::kDraining, "leaving"},
    {HostPhase::kStopped, "stopped"},
}}};

enum class HostEvent {
  kStarted,
  kStopRequested,  // by a signal or RequestStop
  kDrained,        // no request is in flight
  kStopTimedOut,
};

// Life cycle of an entry host. A second stop request while draining stops the
// host immediately. Events without a transition in a phase are ignored.
class HostLifeCycle {
 public:
  HostLifeCycle();
  ~HostLifeCycle();

  // Returns whether the phase changed.
  bool Process(HostEvent event);
  HostPhase phase() const;
  // Whether the host stopped before all requests had finished.
  bool is_forced() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace dogwood
