#pragma once

#include <cstdint>
#include <memory>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class LifecycleState : std::uint8_t {
  kCold,
  kWarming,
  kFull,
  kDraining,
  kDown,
};

inline constexpr EnumNames<LifecycleState, 5> kLifecycleStateNames{{{
    {LifecycleState::kCold, "cold"},
    {LifecycleState::kWarming, "warming"},
    {LifecycleState::kFull, "full"},
    {LifecycleState::kDraining, "draining"},
    {LifecycleState::kDown, "down"},
}}};

enum class LifecycleEvent : std::uint8_t {
  kColdStartDetected,   // restart or overload detected
  kStepCompleted,       // slow-start step passed with normal latency
  kSlowStartCompleted,  // last slow-start step passed
  kDrainStarted,
  kUnreachable,  // connections refused repeatedly
  kReachable,    // a probe or health endpoint answered
};

// State machine of a backend server's lifecycle as seen by this host.
class BackendServerLifecycle {
 public:
  explicit BackendServerLifecycle(LifecycleState initial);
  ~BackendServerLifecycle();
  BackendServerLifecycle(BackendServerLifecycle&&) noexcept;
  BackendServerLifecycle& operator=(BackendServerLifecycle&&) noexcept;

  // Events without a transition from the current state are ignored.
  void Process(LifecycleEvent event);
  LifecycleState state() const;

 private:
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace dogwood
