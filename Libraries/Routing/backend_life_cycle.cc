#include "Libraries/Routing/backend_life_cycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace dogwood {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct ColdSign {};
struct StepPassed {};
struct WarmedUp {};
struct DrainStarted {};
struct Unreachable {};
struct Reachable {};

// Leads to the initial state given at construction.
template <BackendState kState>
struct StartAs {};

struct Definition : msm::front::state_machine_def<Definition> {
  template <BackendState kState>
  struct In : msm::front::state<> {
    template <typename Event, typename Machine>
    void on_entry(const Event&, Machine& machine) {
      machine.current = kState;
    }
  };
  struct Unknown : msm::front::state<> {};
  using Cold = In<BackendState::kCold>;
  using Warming = In<BackendState::kWarming>;
  using Full = In<BackendState::kFull>;
  using Draining = In<BackendState::kDraining>;
  using Down = In<BackendState::kDown>;
  using initial_state = Unknown;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM asks for the name
  struct transition_table : mpl::vector<
      Row<Unknown, StartAs<BackendState::kCold>, Cold, none, none>,
      Row<Unknown, StartAs<BackendState::kFull>, Full, none, none>,
      Row<Cold, StepPassed, Warming, none, none>,
      Row<Cold, WarmedUp, Full, none, none>,
      Row<Cold, DrainStarted, Draining, none, none>,
      Row<Cold, Unreachable, Down, none, none>,
      Row<Warming, ColdSign, Cold, none, none>,
      Row<Warming, WarmedUp, Full, none, none>,
      Row<Warming, DrainStarted, Draining, none, none>,
      Row<Warming, Unreachable, Down, none, none>,
      Row<Full, ColdSign, Cold, none, none>,
      Row<Full, DrainStarted, Draining, none, none>,
      Row<Full, Unreachable, Down, none, none>,
      Row<Draining, Reachable, Cold, none, none>,
      Row<Draining, Unreachable, Down, none, none>,
      Row<Down, Reachable, Cold, none, none>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}

  // Events arise only outside of actions; without the queues for nested events
  // a machine is an order of magnitude smaller.
  using no_message_queue = int;
  using no_exception_thrown = int;

  BackendState current = BackendState::kFull;
};

}  // namespace

class BackendLifeCycle::Machine : public msm::back::state_machine<Definition> {
};

BackendLifeCycle::BackendLifeCycle(BackendState initial)
    : machine_(std::make_unique<Machine>()) {
  VERIFY(initial == BackendState::kCold || initial == BackendState::kFull);
  machine_->start();
  if (initial == BackendState::kCold) {
    machine_->process_event(StartAs<BackendState::kCold>{});
  } else {
    machine_->process_event(StartAs<BackendState::kFull>{});
  }
}

BackendLifeCycle::~BackendLifeCycle() = default;
BackendLifeCycle::BackendLifeCycle(BackendLifeCycle&&) noexcept = default;
BackendLifeCycle& BackendLifeCycle::operator=(BackendLifeCycle&&) noexcept =
    default;

void BackendLifeCycle::Process(BackendEvent event) {
  switch (event) {
    case BackendEvent::kColdSign:
      machine_->process_event(ColdSign{});
      return;
    case BackendEvent::kStepPassed:
      machine_->process_event(StepPassed{});
      return;
    case BackendEvent::kWarmedUp:
      machine_->process_event(WarmedUp{});
      return;
    case BackendEvent::kDrainStarted:
      machine_->process_event(DrainStarted{});
      return;
    case BackendEvent::kUnreachable:
      machine_->process_event(Unreachable{});
      return;
    case BackendEvent::kReachable:
      machine_->process_event(Reachable{});
      return;
  }
}

BackendState BackendLifeCycle::state() const { return machine_->current; }

}  // namespace dogwood
