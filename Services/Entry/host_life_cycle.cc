#include "Services/Entry/host_life_cycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace dogwood {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

template <HostEvent kEvent>
struct Trigger {};

template <HostPhase kPhase>
struct PhaseState : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event& /*event*/, Machine& machine) {
    machine.phase = kPhase;
  }
};

struct MarkForced {
  template <typename Event, typename Machine, typename Source, typename Target>
  void operator()(const Event& /*event*/, Machine& machine, Source& /*source*/,
                  Target& /*target*/) {
    machine.is_forced = true;
  }
};

struct HostStateMachine : msm::front::state_machine_def<HostStateMachine> {
  using Phase = HostPhase;
  using Event = HostEvent;
  using None = msm::front::none;

  HostPhase phase = Phase::kStarting;
  bool is_forced = false;

  using initial_state = PhaseState<Phase::kStarting>;

  template <Phase kFrom, Event kEvent, Phase kTo, typename Action = None>
  using Row = msm::front::Row<PhaseState<kFrom>, Trigger<kEvent>,
                              PhaseState<kTo>, Action, None>;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): MSM looks it up
  struct transition_table : mpl::vector<
      Row<Phase::kStarting, Event::kStarted, Phase::kServing>,
      Row<Phase::kStarting, Event::kStopRequested, Phase::kStopped>,
      Row<Phase::kServing, Event::kStopRequested, Phase::kDraining>,
      Row<Phase::kDraining, Event::kDrained, Phase::kStopped>,
      Row<Phase::kDraining, Event::kStopRequested, Phase::kStopped, MarkForced>,
      Row<Phase::kDraining, Event::kStopTimedOut, Phase::kStopped, MarkForced>
    > {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) {}
};

}  // namespace

struct HostLifeCycle::Machine
    : boost::msm::back::state_machine<HostStateMachine> {};

HostLifeCycle::HostLifeCycle() : machine_(std::make_unique<Machine>()) {
  machine_->start();
}
HostLifeCycle::~HostLifeCycle() = default;

bool HostLifeCycle::Process(HostEvent event) {
  const HostPhase before = machine_->phase;
  switch (event) {
    case HostEvent::kStarted:
      machine_->process_event(Trigger<HostEvent::kStarted>());
      break;
    case HostEvent::kStopRequested:
      machine_->process_event(Trigger<HostEvent::kStopRequested>());
      break;
    case HostEvent::kDrained:
      machine_->process_event(Trigger<HostEvent::kDrained>());
      break;
    case HostEvent::kStopTimedOut:
      machine_->process_event(Trigger<HostEvent::kStopTimedOut>());
      break;
  }
  return machine_->phase != before;
}

HostPhase HostLifeCycle::phase() const { return machine_->phase; }
bool HostLifeCycle::is_forced() const { return machine_->is_forced; }

}  // namespace dogwood
