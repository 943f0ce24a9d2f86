#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <unordered_map>

#include "Services/Gateway/gateway_context.h"

namespace dogwood {

// Selects backend servers for this host's requests. The decision is made by the
// service's dispatcher in this availability zone, which may be this host. When
// a remote dispatcher does not respond, this host decides by its own view of
// the backend servers. Also handles the requests of other hosts of the zone for
// the services that this host dispatches.
class ServerSelector {
 public:
  // For the dispatcher's first response. Many round trips within a zone, but
  // short compared to any latency goal.
  static constexpr Duration kDispatcherTimeout = std::chrono::milliseconds(30);
  // How long a dispatcher that did not respond is bypassed.
  static constexpr Duration kDispatcherBypassTime =
      std::chrono::milliseconds(500);
  // A late request is decided within this fraction of its latency goal; covers
  // AdmissionControl::kLateQueueTimeShare.
  static constexpr int kLateGoalDivisor = 4;
  // Added to the latest time at which the dispatcher decides.
  static constexpr Duration kDecisionTimeoutMargin =
      std::chrono::milliseconds(60);
  // Between passes over the queued requests. Load reports of backend servers
  // arrive about as often.
  static constexpr Duration kQueueProcessingInterval =
      std::chrono::milliseconds(15);

  using SendFunction =
      std::function<void(const std::string& ip, const PeerMessage& message)>;

  // A request's pending or granted server selection. Lives in the frame of the
  // request's coroutine. The destructor cancels a request that is undecided
  // and releases a grant that has not ended.
  class PendingSelection {
   public:
    PendingSelection(ServerSelector& selector, DispatchRequest request);
    ~PendingSelection();
    PendingSelection(const PendingSelection&) = delete;
    PendingSelection& operator=(const PendingSelection&) = delete;

    // Returns when decision() is set. May be cancelled.
    boost::asio::awaitable<void> AwaitDecision();
    const std::optional<DispatchDecision>& decision() const {
      return decision_;
    }
    // IP address of the host that decides or has decided.
    const std::string& dispatcher_ip() const { return dispatcher_ip_; }
    // Reports the end of a granted selection. Must be called after a decision
    // of kSend.
    void ReportEnd(const SelectionCompletion& completion);

   private:
    friend class ServerSelector;

    boost::asio::awaitable<void> AwaitDispatcher();
    void SetDecision(DispatchDecision decision);
    // Tells the dispatcher that its decision is not needed or not used.
    void Cancel();

    ServerSelector* selector_;  // null after the selector was destroyed
    DispatchRequest request_;
    std::string dispatcher_ip_;  // of the host that decides
    bool is_confirmed_ = false;  // the dispatcher has queued the request
    bool has_ended_ = false;
    std::optional<DispatchDecision> decision_;
    boost::asio::steady_timer decision_timer_;  // cancelled by the decision
  };

  // Called with each attempt that this host dispatched when it has ended.
  using EndedFunction =
      std::function<void(ServerKey server, std::uint64_t request_kind,
                         AttemptOutcome outcome, double service_time_ratio)>;

  ServerSelector(GatewayContext& context, SendFunction send);
  void set_on_attempt_ended(EndedFunction on_attempt_ended) {
    on_attempt_ended_ = std::move(on_attempt_ended);
  }
  ~ServerSelector();
  ServerSelector(const ServerSelector&) = delete;
  ServerSelector& operator=(const ServerSelector&) = delete;

  // Returns the number for a new request. It is unique among all processes that
  // have used or will use this host's address, because a dispatcher may still
  // decide requests of an earlier one.
  std::uint64_t NextRequestNumber() { return ++last_request_number_; }

  // Refuses the requests of this host that still wait for a server and would
  // most likely be cut off by the forced stop.
  void RefuseLateSelections(const ShutdownSchedule& schedule, TimePoint now);

  // Handle the messages of other hosts.
  void OnSelectionRequest(const std::string& ip,
                          const SelectionRequest& message);
  void OnSelectionResponse(const std::string& ip,
                           const SelectionResponse& response);
  void OnSelectionCompleted(const std::string& ip,
                            const SelectionCompletion& completion);
  void OnSelectionCancelled(const std::string& ip,
                            const SelectionCancellation& message);

 private:
  // Processes the queue periodically until it is empty.
  boost::asio::awaitable<void> RunQueueProcessing();
  void ProcessQueue();
  // Returns the decision, or nullopt when the request was queued.
  std::optional<DispatchDecision> AddToLocalDispatcher(DispatchRequest request,
                                                       TimePoint now);
  // Hands a decision to the local request or the remote host that waits for it.
  void Deliver(DispatchDecision decision);
  void FinishSelection(const std::string& host,
                       const SelectionCompletion& completion, TimePoint now);
  std::string SelectDispatcher(const ServiceId& service, TimePoint now);

  GatewayContext& context_;
  SendFunction send_;
  EndedFunction on_attempt_ended_;
  Dispatcher local_dispatcher_;
  bool is_queue_processing_running_ = false;
  std::uint64_t last_request_number_;
  std::unordered_map<std::uint64_t, PendingSelection*> pending_selections_;
  // Dispatchers that did not respond, by IP address.
  std::unordered_map<std::string, TimePoint> bypassed_until_;
};

}  // namespace dogwood
