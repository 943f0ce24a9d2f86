#include "Libraries/Routing/backend_server_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace dogwood {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct ColdStartDetected {};
struct StepCompleted {};
struct SlowStartCompleted {};
struct DrainStarted {};
struct Unreachable {};
struct Reachable {};

// Enters the initial state given at construction.
template <LifecycleState kState>
struct EnterInitialState {};

struct FrontEnd : msm::front::state_machine_def<FrontEnd> {
  template <LifecycleState kState>
  struct StateFor : msm::front::state<> {
    template <typename Event, typename Machine>
    void on_entry(const Event&, Machine& machine) {
      machine.lifecycle_state = kState;
    }
  };
  struct Initial : msm::front::state<> {};
  using Cold = StateFor<LifecycleState::kCold>;
  using Warming = StateFor<LifecycleState::kWarming>;
  using Full = StateFor<LifecycleState::kFull>;
  using Draining = StateFor<LifecycleState::kDraining>;
  using Down = StateFor<LifecycleState::kDown>;
  using initial_state = Initial;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): required by Boost.MSM
  struct transition_table : mpl::vector<
      Row<Initial, EnterInitialState<LifecycleState::kCold>, Cold, none, none>,
      Row<Initial, EnterInitialState<LifecycleState::kFull>, Full, none, none>,
      Row<Cold, StepCompleted, Warming, none, none>,
      Row<Cold, SlowStartCompleted, Full, none, none>,
      Row<Cold, DrainStarted, Draining, none, none>,
      Row<Cold, Unreachable, Down, none, none>,
      Row<Warming, ColdStartDetected, Cold, none, none>,
      Row<Warming, SlowStartCompleted, Full, none, none>,
      Row<Warming, DrainStarted, Draining, none, none>,
      Row<Warming, Unreachable, Down, none, none>,
      Row<Full, ColdStartDetected, Cold, none, none>,
      Row<Full, DrainStarted, Draining, none, none>,
      Row<Full, Unreachable, Down, none, none>,
      Row<Draining, Reachable, Cold, none, none>,
      Row<Draining, Unreachable, Down, none, none>,
      Row<Down, Reachable, Cold, none, none>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}

  // Events are never raised inside actions. Without the queues for nested
  // events the state machine is an order of magnitude smaller.
  using no_message_queue = int;
  using no_exception_thrown = int;

  LifecycleState lifecycle_state = LifecycleState::kFull;
};

}  // namespace

class BackendServerLifecycle::Machine
    : public msm::back::state_machine<FrontEnd> {};

BackendServerLifecycle::BackendServerLifecycle(LifecycleState initial)
    : machine_(std::make_unique<Machine>()) {
  VERIFY(initial == LifecycleState::kCold || initial == LifecycleState::kFull);
  machine_->start();
  if (initial == LifecycleState::kCold) {
    machine_->process_event(EnterInitialState<LifecycleState::kCold>{});
  } else {
    machine_->process_event(EnterInitialState<LifecycleState::kFull>{});
  }
}

BackendServerLifecycle::~BackendServerLifecycle() = default;
BackendServerLifecycle::BackendServerLifecycle(
    BackendServerLifecycle&&) noexcept = default;
BackendServerLifecycle& BackendServerLifecycle::operator=(
    BackendServerLifecycle&&) noexcept = default;

void BackendServerLifecycle::Process(LifecycleEvent event) {
  switch (event) {
    case LifecycleEvent::kColdStartDetected:
      machine_->process_event(ColdStartDetected{});
      return;
    case LifecycleEvent::kStepCompleted:
      machine_->process_event(StepCompleted{});
      return;
    case LifecycleEvent::kSlowStartCompleted:
      machine_->process_event(SlowStartCompleted{});
      return;
    case LifecycleEvent::kDrainStarted:
      machine_->process_event(DrainStarted{});
      return;
    case LifecycleEvent::kUnreachable:
      machine_->process_event(Unreachable{});
      return;
    case LifecycleEvent::kReachable:
      machine_->process_event(Reachable{});
      return;
  }
}

LifecycleState BackendServerLifecycle::state() const {
  return machine_->lifecycle_state;
}

}  // namespace dogwood
