// The transition table has more rows than the default of 10 lists.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include "Services/Entry/attempt_life_cycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace dogwood {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

template <AttemptEvent kEvent>
struct On {};

template <AttemptPhase kPhase>
struct In : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event& /*event*/, Machine& machine) {
    machine.phase = kPhase;
  }
};

struct AttemptDefinition : msm::front::state_machine_def<AttemptDefinition> {
  using Phase = AttemptPhase;
  using Event = AttemptEvent;

  AttemptPhase phase = Phase::kPlaced;

  using initial_state = In<Phase::kPlaced>;

  template <Phase kFrom, Event kEvent, Phase kTo>
  using Row = msm::front::Row<In<kFrom>, On<kEvent>, In<kTo>>;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): MSM looks it up
  struct transition_table : mpl::vector<
      Row<Phase::kPlaced, Event::kConnected, Phase::kReady>,
      Row<Phase::kPlaced, Event::kConnectFailed, Phase::kConnectFailed>,
      Row<Phase::kPlaced, Event::kCancelled, Phase::kAbandonedUnsent>,
      Row<Phase::kReady, Event::kBytesSent, Phase::kHandedOver>,
      Row<Phase::kReady, Event::kWriteFailed, Phase::kUnsent>,
      Row<Phase::kReady, Event::kCancelled, Phase::kAbandonedUnsent>,
      Row<Phase::kHandedOver, Event::kHeadArrived, Phase::kAnswering>,
      Row<Phase::kHandedOver, Event::kShedArrived, Phase::kShed>,
      Row<Phase::kHandedOver, Event::kConnectionLost, Phase::kLost>,
      Row<Phase::kHandedOver, Event::kResponseInvalid, Phase::kInvalid>,
      Row<Phase::kHandedOver, Event::kCancelled, Phase::kAbandoned>,
      Row<Phase::kAnswering, Event::kBodyEnded, Phase::kAnswered>,
      Row<Phase::kAnswering, Event::kConnectionLost, Phase::kInvalid>,
      Row<Phase::kAnswering, Event::kResponseInvalid, Phase::kInvalid>,
      Row<Phase::kAnswering, Event::kCancelled, Phase::kAbandoned>
    > {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) {
    VERIFY(phase != Phase::kPlaced && phase != Phase::kReady &&
           phase != Phase::kHandedOver && phase != Phase::kAnswering);
  }
};

}  // namespace

struct AttemptLifeCycle::Machine
    : boost::msm::back::state_machine<AttemptDefinition> {};

AttemptLifeCycle::AttemptLifeCycle() : machine_(std::make_unique<Machine>()) {
  machine_->start();
}
AttemptLifeCycle::~AttemptLifeCycle() = default;

void AttemptLifeCycle::Restart() {
  machine_->stop();
  machine_->start();
}

void AttemptLifeCycle::Process(AttemptEvent event) {
  switch (event) {
    case AttemptEvent::kConnected:
      machine_->process_event(On<AttemptEvent::kConnected>());
      return;
    case AttemptEvent::kConnectFailed:
      machine_->process_event(On<AttemptEvent::kConnectFailed>());
      return;
    case AttemptEvent::kBytesSent:
      machine_->process_event(On<AttemptEvent::kBytesSent>());
      return;
    case AttemptEvent::kWriteFailed:
      machine_->process_event(On<AttemptEvent::kWriteFailed>());
      return;
    case AttemptEvent::kHeadArrived:
      machine_->process_event(On<AttemptEvent::kHeadArrived>());
      return;
    case AttemptEvent::kShedArrived:
      machine_->process_event(On<AttemptEvent::kShedArrived>());
      return;
    case AttemptEvent::kBodyEnded:
      machine_->process_event(On<AttemptEvent::kBodyEnded>());
      return;
    case AttemptEvent::kConnectionLost:
      machine_->process_event(On<AttemptEvent::kConnectionLost>());
      return;
    case AttemptEvent::kResponseInvalid:
      machine_->process_event(On<AttemptEvent::kResponseInvalid>());
      return;
    case AttemptEvent::kCancelled:
      machine_->process_event(On<AttemptEvent::kCancelled>());
      return;
  }
}

AttemptPhase AttemptLifeCycle::phase() const { return machine_->phase; }

bool AttemptLifeCycle::may_have_run() const {
  switch (machine_->phase) {
    case AttemptPhase::kPlaced:
    case AttemptPhase::kReady:
    case AttemptPhase::kConnectFailed:
    case AttemptPhase::kUnsent:
    case AttemptPhase::kShed:
    case AttemptPhase::kAbandonedUnsent:
      return false;
    // A request of which only a part was sent counts as run: a backend server
    // may act on a request before it has all of it.
    case AttemptPhase::kHandedOver:
    case AttemptPhase::kAnswering:
    case AttemptPhase::kAnswered:
    case AttemptPhase::kLost:
    case AttemptPhase::kInvalid:
    case AttemptPhase::kAbandoned:
      return true;
  }
  return true;
}

AttemptReport::Result AttemptLifeCycle::result() const {
  using Result = AttemptReport::Result;
  switch (machine_->phase) {
    case AttemptPhase::kAnswering:
    case AttemptPhase::kAnswered:
      return Result::kAnswered;
    case AttemptPhase::kShed:
      return Result::kShedNotRun;
    case AttemptPhase::kConnectFailed:
      return Result::kConnectFailed;
    case AttemptPhase::kLost:
      return Result::kConnectionLost;
    case AttemptPhase::kInvalid:
      return Result::kInvalidResponse;
    case AttemptPhase::kHandedOver:
    case AttemptPhase::kAbandoned:
      return Result::kCancelled;
    case AttemptPhase::kPlaced:
    case AttemptPhase::kReady:
    case AttemptPhase::kUnsent:
    case AttemptPhase::kAbandonedUnsent:
      return Result::kNotSent;
  }
  return Result::kNotSent;
}

}  // namespace dogwood
