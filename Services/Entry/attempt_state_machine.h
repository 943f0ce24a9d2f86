#pragma once

#include <memory>

#include "Services/Entry/request_dispatcher.h"

namespace dogwood {

enum class AttemptState {
  kAwaitingConnection,  // has a grant
  kConnected,           // nothing sent yet
  kAwaitingResponse,    // at least one byte was sent
  kReceivingResponse,   // a valid response head arrived
  kCompleted,           // the whole response arrived
  kConnectFailed,
  kWriteFailed,  // nothing was sent
  kShed,
  kConnectionLost,
  kInvalidResponse,
  kCancelledBeforeSend,
  kCancelledAfterSend,
};

enum class AttemptEvent {
  kConnected,
  kConnectFailed,
  kBytesSent,
  kWriteFailed,
  kResponseHeadReceived,
  kShedResponseReceived,
  kResponseCompleted,
  kConnectionLost,
  kInvalidResponse,
  kCancelled,
};

// Tracks the state of one attempt to send a request to a backend server. Only
// this class decides whether the backend server may have run the request.
class AttemptStateMachine {
 public:
  AttemptStateMachine();
  ~AttemptStateMachine();

  // Begins a new attempt.
  void Restart();
  // Asserts that the current state allows the event. Events after the end of
  // the attempt are ignored.
  void ProcessEvent(AttemptEvent event);

  AttemptState state() const;
  bool may_have_run() const;
  AttemptReport::Result result() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace dogwood
