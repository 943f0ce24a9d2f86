#pragma once

#include <cstdint>
#include <memory>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class BackendState : std::uint8_t {
  kCold,
  kWarming,
  kFull,
  kDraining,
  kDown,
};

inline constexpr NameTable<BackendState, 5> kBackendStateNames{{{
    {BackendState::kCold, "cold"},
    {BackendState::kWarming, "warming"},
    {BackendState::kFull, "full"},
    {BackendState::kDraining, "draining"},
    {BackendState::kDown, "down"},
}}};

enum class BackendEvent : std::uint8_t {
  kColdSign,    // evidence of a restart or of overload
  kStepPassed,  // a slow-start step ended with normal responses
  kWarmedUp,    // the last slow-start step ended
  kDrainStarted,
  kUnreachable,  // repeated refused connections
  kReachable,    // a probe or health endpoint answered
};

// Life cycle of a backend server as seen by this host.
class BackendLifeCycle {
 public:
  explicit BackendLifeCycle(BackendState initial);
  ~BackendLifeCycle();
  BackendLifeCycle(BackendLifeCycle&&) noexcept;
  BackendLifeCycle& operator=(BackendLifeCycle&&) noexcept;

  // Events that the current state does not know change nothing.
  void Process(BackendEvent event);
  BackendState state() const;

 private:
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace dogwood
