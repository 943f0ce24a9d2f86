// Allows up to 30 rows in the transition table; the default is 20.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include "Services/Entry/attempt_state_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace dogwood {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

template <AttemptEvent kEvent>
struct EventTag {};

template <AttemptState kState>
struct StateTag : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event& /*event*/, Machine& machine) {
    machine.state = kState;
  }
};

struct AttemptStateMachineDefinition
    : msm::front::state_machine_def<AttemptStateMachineDefinition> {
  using State = AttemptState;
  using Event = AttemptEvent;

  AttemptState state = State::kAwaitingConnection;

  using initial_state = StateTag<State::kAwaitingConnection>;

  template <State kFrom, Event kEvent, State kTo>
  using Row = msm::front::Row<StateTag<kFrom>, EventTag<kEvent>, StateTag<kTo>>;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): MSM looks it up
  struct transition_table : mpl::vector<
      Row<State::kAwaitingConnection, Event::kConnected, State::kConnected>,
      Row<State::kAwaitingConnection, Event::kConnectFailed,
          State::kConnectFailed>,
      Row<State::kAwaitingConnection, Event::kCancelled,
          State::kCancelledBeforeSend>,
      Row<State::kConnected, Event::kBytesSent, State::kAwaitingResponse>,
      Row<State::kConnected, Event::kWriteFailed, State::kWriteFailed>,
      Row<State::kConnected, Event::kCancelled, State::kCancelledBeforeSend>,
      Row<State::kAwaitingResponse, Event::kResponseHeadReceived,
          State::kReceivingResponse>,
      Row<State::kAwaitingResponse, Event::kShedResponseReceived, State::kShed>,
      Row<State::kAwaitingResponse, Event::kConnectionLost,
          State::kConnectionLost>,
      Row<State::kAwaitingResponse, Event::kInvalidResponse,
          State::kInvalidResponse>,
      Row<State::kAwaitingResponse, Event::kCancelled,
          State::kCancelledAfterSend>,
      Row<State::kReceivingResponse, Event::kResponseCompleted,
          State::kCompleted>,
      Row<State::kReceivingResponse, Event::kConnectionLost,
          State::kInvalidResponse>,
      Row<State::kReceivingResponse, Event::kInvalidResponse,
          State::kInvalidResponse>,
      Row<State::kReceivingResponse, Event::kCancelled,
          State::kCancelledAfterSend>
    > {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) {
    VERIFY(state != State::kAwaitingConnection && state != State::kConnected &&
           state != State::kAwaitingResponse &&
           state != State::kReceivingResponse);
  }
};

}  // namespace

struct AttemptStateMachine::Machine
    : boost::msm::back::state_machine<AttemptStateMachineDefinition> {};

AttemptStateMachine::AttemptStateMachine()
    : machine_(std::make_unique<Machine>()) {
  machine_->start();
}
AttemptStateMachine::~AttemptStateMachine() = default;

void AttemptStateMachine::Restart() {
  machine_->stop();
  machine_->start();
}

void AttemptStateMachine::ProcessEvent(AttemptEvent event) {
  switch (event) {
    case AttemptEvent::kConnected:
      machine_->process_event(EventTag<AttemptEvent::kConnected>());
      return;
    case AttemptEvent::kConnectFailed:
      machine_->process_event(EventTag<AttemptEvent::kConnectFailed>());
      return;
    case AttemptEvent::kBytesSent:
      machine_->process_event(EventTag<AttemptEvent::kBytesSent>());
      return;
    case AttemptEvent::kWriteFailed:
      machine_->process_event(EventTag<AttemptEvent::kWriteFailed>());
      return;
    case AttemptEvent::kResponseHeadReceived:
      machine_->process_event(EventTag<AttemptEvent::kResponseHeadReceived>());
      return;
    case AttemptEvent::kShedResponseReceived:
      machine_->process_event(EventTag<AttemptEvent::kShedResponseReceived>());
      return;
    case AttemptEvent::kResponseCompleted:
      machine_->process_event(EventTag<AttemptEvent::kResponseCompleted>());
      return;
    case AttemptEvent::kConnectionLost:
      machine_->process_event(EventTag<AttemptEvent::kConnectionLost>());
      return;
    case AttemptEvent::kInvalidResponse:
      machine_->process_event(EventTag<AttemptEvent::kInvalidResponse>());
      return;
    case AttemptEvent::kCancelled:
      machine_->process_event(EventTag<AttemptEvent::kCancelled>());
      return;
  }
}

AttemptState AttemptStateMachine::state() const { return machine_->state; }

bool AttemptStateMachine::may_have_run() const {
  switch (machine_->state) {
    case AttemptState::kAwaitingConnection:
    case AttemptState::kConnected:
    case AttemptState::kConnectFailed:
    case AttemptState::kWriteFailed:
    case AttemptState::kShed:
    case AttemptState::kCancelledBeforeSend:
      return false;
    // A backend server may act on a request before it has received all of it.
    case AttemptState::kAwaitingResponse:
    case AttemptState::kReceivingResponse:
    case AttemptState::kCompleted:
    case AttemptState::kConnectionLost:
    case AttemptState::kInvalidResponse:
    case AttemptState::kCancelledAfterSend:
      return true;
  }
  return true;
}

AttemptReport::Result AttemptStateMachine::result() const {
  using Result = AttemptReport::Result;
  switch (machine_->state) {
    case AttemptState::kReceivingResponse:
    case AttemptState::kCompleted:
      return Result::kAnswered;
    case AttemptState::kShed:
      return Result::kShedNotRun;
    case AttemptState::kConnectFailed:
      return Result::kConnectFailed;
    case AttemptState::kConnectionLost:
      return Result::kConnectionLost;
    case AttemptState::kInvalidResponse:
      return Result::kInvalidResponse;
    case AttemptState::kAwaitingResponse:
    case AttemptState::kCancelledAfterSend:
      return Result::kCancelled;
    case AttemptState::kAwaitingConnection:
    case AttemptState::kConnected:
    case AttemptState::kWriteFailed:
    case AttemptState::kCancelledBeforeSend:
      return Result::kNotSent;
  }
  return Result::kNotSent;
}

}  // namespace dogwood
