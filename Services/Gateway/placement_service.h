#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <unordered_map>

#include "Services/Gateway/gateway_context.h"

namespace dogwood {

// Finds backend servers for this host's requests. The dispatcher of a service
// in this availability zone decides, which may be this host; when it does not
// answer, this host decides by what it knows itself. Also answers the other
// hosts of the zone while this host is the dispatcher.
class PlacementService {
 public:
  // Until the dispatcher has confirmed or decided: many round trips within a
  // zone, and short against any goal.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(30);
  // A dispatcher that did not answer is not asked for this long.
  static constexpr Duration kDistrust = std::chrono::milliseconds(500);
  // Beyond the time at which the dispatcher decides at the latest.
  static constexpr Duration kDecisionMargin = std::chrono::milliseconds(60);
  // Waiting requests are looked at again this often; reports of backend servers
  // arrive at about the same rate.
  static constexpr Duration kReviewInterval = std::chrono::milliseconds(15);

  using Sender =
      std::function<void(const std::string& ip, const PeerMessage& message)>;

  // A request that waits for its placement, in its coroutine's frame. Withdraws
  // itself when it goes away undecided.
  class Ticket {
   public:
    Ticket(PlacementService& service, DispatchRequest request);
    ~Ticket();
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    // Returns with the decision. May be cancelled.
    boost::asio::awaitable<void> Await();
    const std::optional<DispatchDecision>& decision() const {
      return decision_;
    }
    // The work of the placement has ended; must be called after kSend.
    void End(const PlacementEnd& end);

   private:
    friend class PlacementService;

    boost::asio::awaitable<void> AwaitRemote();
    void Decide(DispatchDecision decision);

    PlacementService* service_;  // nullptr when the service ended before
    DispatchRequest request_;
    std::string dispatcher_;  // the host that decides
    bool is_confirmed_ = false;
    bool has_ended_ = false;
    std::optional<DispatchDecision> decision_;
    boost::asio::steady_timer decided_;  // cancelled by the decision
  };

  PlacementService(GatewayContext& context, Sender send);
  ~PlacementService();
  PlacementService(const PlacementService&) = delete;
  PlacementService& operator=(const PlacementService&) = delete;

  // Number for a new request.
  std::uint64_t NextNumber() { return ++last_number_; }

  // Messages of other hosts.
  void OnAsk(const std::string& ip, const PlacementAsk& ask);
  void OnAnswer(const std::string& ip, const PlacementAnswer& answer);
  void OnEnd(const std::string& ip, const PlacementEnd& end);
  void OnWithdrawal(const std::string& ip, const PlacementWithdrawal& message);

 private:
  boost::asio::awaitable<void> ReviewWhileWaiting();
  void Review();
  // Adds a request to the own dispatcher.
  std::optional<DispatchDecision> Add(DispatchRequest request, TimePoint now);
  void Deliver(DispatchDecision decision);
  void TakeEnd(const std::string& host, const PlacementEnd& end, TimePoint now);
  std::string ChooseDispatcher(const ServiceId& service, TimePoint now);

  GatewayContext& context_;
  Sender send_;
  Dispatcher dispatcher_;
  bool is_reviewing_ = false;  // ReviewWhileWaiting runs
  std::uint64_t last_number_ = 0;
  std::unordered_map<std::uint64_t, Ticket*> tickets_;
  std::unordered_map<std::string, TimePoint> distrusted_until_;
};

}  // namespace dogwood
