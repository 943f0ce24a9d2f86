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
class PlacementService {
 public:
  // For the dispatcher's first response. Many round trips within a zone, but
  // short compared to any latency goal.
  static constexpr Duration kDispatcherTimeout = std::chrono::milliseconds(30);
  // How long a dispatcher that did not respond is bypassed.
  static constexpr Duration kDispatcherBypassTime =
      std::chrono::milliseconds(500);
  // A late request is decided within this fraction of its latency goal; covers
  // Admission::kLateWait.
  static constexpr int kLateGoalDivisor = 4;
  // Added to the latest time at which the dispatcher decides.
  static constexpr Duration kDecisionTimeoutMargin =
      std::chrono::milliseconds(60);
  // Between reviews of the queued requests. Load reports of backend servers
  // arrive about as often.
  static constexpr Duration kQueueReviewInterval =
      std::chrono::milliseconds(15);

  using SendFunction =
      std::function<void(const std::string& ip, const PeerMessage& message)>;

  // A request's pending or granted placement. Lives in the frame of the
  // request's coroutine. The destructor withdraws a request that is undecided
  // and releases a grant that has not ended.
  class Ticket {
   public:
    Ticket(PlacementService& service, DispatchRequest request);
    ~Ticket();
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    // Returns when decision() is set. May be cancelled.
    boost::asio::awaitable<void> Await();
    const std::optional<DispatchDecision>& decision() const {
      return decision_;
    }
    // Reports the end of a granted placement. Must be called after a decision
    // of kSend.
    void End(const PlacementEnd& end);

   private:
    friend class PlacementService;

    boost::asio::awaitable<void> AwaitDispatcher();
    void SetDecision(DispatchDecision decision);

    PlacementService* service_;  // null after the service was destroyed
    DispatchRequest request_;
    std::string dispatcher_ip_;  // of the host that decides
    bool is_confirmed_ = false;  // the dispatcher has queued the request
    bool has_ended_ = false;
    std::optional<DispatchDecision> decision_;
    boost::asio::steady_timer decision_timer_;  // cancelled by the decision
  };

  PlacementService(GatewayContext& context, SendFunction send);
  ~PlacementService();
  PlacementService(const PlacementService&) = delete;
  PlacementService& operator=(const PlacementService&) = delete;

  // Returns the number for a new request, unique on this host.
  std::uint64_t NextNumber() { return ++last_number_; }

  // Handle the messages of other hosts.
  void OnPlacementRequest(const std::string& ip, const PlacementAsk& message);
  void OnPlacementResponse(const std::string& ip,
                           const PlacementAnswer& answer);
  void OnPlacementEnded(const std::string& ip, const PlacementEnd& end);
  void OnPlacementWithdrawn(const std::string& ip,
                            const PlacementWithdrawal& message);

 private:
  // Reviews the queue periodically until it is empty.
  boost::asio::awaitable<void> RunQueueReview();
  void ReviewQueue();
  // Returns the decision, or nullopt when the request was queued.
  std::optional<DispatchDecision> AddToLocalDispatcher(DispatchRequest request,
                                                       TimePoint now);
  // Hands a decision to the local ticket or the remote host that waits for it.
  void Deliver(DispatchDecision decision);
  void FinishPlacement(const std::string& host, const PlacementEnd& end,
                       TimePoint now);
  std::string ChooseDispatcher(const ServiceId& service, TimePoint now);

  GatewayContext& context_;
  SendFunction send_;
  Dispatcher local_dispatcher_;
  bool is_review_running_ = false;
  std::uint64_t last_number_ = 0;
  std::unordered_map<std::uint64_t, Ticket*> tickets_;
  // Dispatchers that did not respond, by IP address.
  std::unordered_map<std::string, TimePoint> bypassed_until_;
};

}  // namespace dogwood
