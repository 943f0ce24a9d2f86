#pragma once

#include <memory>

#include "Services/Entry/request_dispatcher.h"

namespace dogwood {

enum class AttemptPhase {
  kPlaced,      // has a grant, no connection yet
  kReady,       // has a connection, nothing sent
  kHandedOver,  // at least one byte sent
  kAnswering,   // a valid response head arrived
  kAnswered,    // the response is complete
  kConnectFailed,
  kUnsent,  // the first write failed, nothing was sent
  kShed,
  kLost,
  kInvalid,
  kAbandonedUnsent,
  kAbandoned,  // cancelled after bytes were sent
};

enum class AttemptEvent {
  kConnected,
  kConnectFailed,
  kBytesSent,
  kWriteFailed,
  kHeadArrived,
  kShedArrived,
  kBodyEnded,
  kConnectionLost,
  kResponseInvalid,
  kCancelled,
};

// Life cycle of one attempt at a backend server: the only place that decides
// whether the backend server can have run the request.
class AttemptLifeCycle {
 public:
  AttemptLifeCycle();
  ~AttemptLifeCycle();

  void Restart();
  // An event that the phase does not allow is a broken invariant, except after
  // the end of the attempt, where it is ignored.
  void Process(AttemptEvent event);

  AttemptPhase phase() const;
  bool may_have_run() const;
  AttemptReport::Result result() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace dogwood
