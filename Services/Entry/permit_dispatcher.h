#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "Libraries/Observe/observe.h"
#include "Services/Entry/peer_channel.h"
#include "Services/Entry/request_dispatcher.h"
#include "Services/Entry/service_routing_state.h"

namespace dogwood {

// Assigns requests to backend servers by the concurrency permits that hosts own
// and lend each other (docs/design.md section 4.1). Executes the actions of all
// service routers, exchanges borrow requests, server states and crash suspects
// with the other hosts, and probes backend servers within the probe rate limit.
// Acquire, Complete and try_take_retry are thread-safe; everything else must be
// called on the control thread.
//
// Lock order: kSettings (service map), kRouting (one service at a time),
// kSuspects, kGrants.
class PermitDispatcher : public RequestDispatcher {
 public:
  struct Options {
    HostId host;
    Incarnation incarnation;
    std::uint64_t seed = 0;
    RouterOptions router;
  };

  // Other hosts according to the platform's host list. Unlike the membership
  // view, the list does not shrink in a network partition, so only the list can
  // exempt a single host from the permit lease.
  struct HostListSummary {
    bool has_other_hosts = true;
    // The list contained this host before it registered: requests of an earlier
    // incarnation may still be running on backend servers.
    bool has_earlier_incarnation = false;
  };

  // `peers` is null when this is the only host. `control` is the control
  // thread's executor. All referenced arguments must outlive the dispatcher.
  PermitDispatcher(Options options, boost::asio::any_io_executor control,
                   PeerChannel* peers, EventLog& log, MetricsRegistry& metrics);
  ~PermitDispatcher() override;

  // Registers the message handlers and starts the periodic tasks.
  void Start();
  void Stop();

  // Must be called before the first call of Apply.
  void UpdateHostListSummary(const HostListSummary& view);

  // Applies a configuration to all services. Fails with kInvalidArgument at the
  // first service with an invalid server address and leaves the services after
  // it unchanged.
  Result<void> Apply(const FleetConfiguration& fleet);

  boost::asio::awaitable<outcome::result<DispatchGrant, DispatchRefusal,
                                         outcome::policy::terminate>>
  Acquire(const RequestAttributes& request, ServerId excluded) override;
  void Complete(const RequestAttributes& request, const DispatchGrant& grant,
                const AttemptReport& report) override;
  bool try_take_retry(const ServiceId& service) override;

 private:
  struct Waiter;
  struct OutstandingGrant {
    Permit permit;
    std::uint64_t fingerprint = 0;
  };
  // State of crash detection for one backend server.
  struct ServerCrashState {
    std::string start_id;
    bool has_lost_connection = false;
  };
  using Decision = outcome::result<DispatchGrant, DispatchRefusal,
                                   outcome::policy::terminate>;

  ServiceRoutingState* FindService(const ServiceId& service);
  DispatchGrant CreateGrant(ServiceRoutingState& service_state,
                            std::uint64_t request, const Permit& permit,
                            std::uint64_t fingerprint);
  Decision MakeRefusal(RefusalReason reason, Duration retry_after) const;
  // Completes granted and refused requests and posts messages for peers to the
  // control thread. The caller must hold the service's lock.
  void ExecuteActions(ServiceRoutingState& service_state,
                      RouterActions& actions);
  void ResolveWaiter(ServiceRoutingState& service_state,
                     const RouterAction& action);
  void SendToPeers(ServiceRoutingState& service_state,
                   const RouterAction& action);
  void UpdatePoisonRequestDetector(const DispatchGrant& grant,
                                   std::uint64_t fingerprint,
                                   const AttemptReport& report);
  void BroadcastSuspects(const PoisonRequestDetector::Records& records);

  // permit_dispatcher_peers.cc
  void RegisterHandlers();
  // permit_dispatcher_periodic.cc
  void ApplyMembership();
  void CancelBorrowsOfDepartedHosts();
  // permit_dispatcher_peers.cc
  template <typename Call>
  void RunOnRouter(const nlohmann::json& body, Call call);
  boost::asio::awaitable<Result<nlohmann::json>> HandleBorrow(
      HostId from, nlohmann::json body);
  boost::asio::awaitable<void> SendBorrow(ServiceRoutingState& service_state,
                                          HostId to, ServerId excluded,
                                          RouterAction action);
  boost::asio::awaitable<void> SendNotification(HostId to, std::string kind,
                                                nlohmann::json body);
  void ResolveBorrow(ServiceRoutingState& service_state,
                     const RouterAction& action);
  nlohmann::json PermitBody(const ServiceRoutingState& service_state,
                            const Permit& permit) const;
  // permit_dispatcher_periodic.cc
  boost::asio::awaitable<void> RunPeriodicTasks();
  void UpdateService(ServiceRoutingState& service_state, TimePoint now);
  void UpdateGauges(const ServiceRoutingState& service_state, TimePoint now);
  boost::asio::awaitable<void> ProbeServer(
      ServiceRoutingState& service_state, ServerId server,
      boost::asio::ip::tcp::endpoint endpoint);

  Options options_;
  boost::asio::any_io_executor control_executor_;
  PeerChannel* peers_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  Counter& borrows_sent_;
  Counter& borrows_granted_;
  Counter& borrows_refused_;
  Counter& borrows_cancelled_;
  Counter& probes_sent_;
  Counter& requests_queued_;
  // Excludes borrow requests, which wait for a permit at the peer.
  LatencyHistogram& peer_call_duration_;
  boost::asio::steady_timer timer_;
  bool is_stopped_ = false;

  RankedMutex services_mutex_{LockRank::kSettings};
  std::map<ServiceId, std::unique_ptr<ServiceRoutingState>> services_;

  RankedMutex suspects_mutex_{LockRank::kSuspects};
  PoisonRequestDetector poison_request_detector_;
  std::unordered_map<ServerId, ServerCrashState> crash_states_;

  RankedMutex grants_mutex_{LockRank::kGrants};
  std::uint64_t next_request_number_ = 1;
  std::unordered_map<std::uint64_t, OutstandingGrant>
      outstanding_grants_;  // by request number
  // Shared by the waiting coroutine and the thread that completes the request.
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> queued_requests_;

  // Used on the control thread only.
  FleetConfiguration fleet_;
  HostListSummary host_list_;
  ProbeRateLimiter probe_rate_limiter_;
  std::vector<HostId> live_hosts_;
  struct BorrowAnswer;
  std::map<std::pair<HostId, std::uint64_t>, std::shared_ptr<BorrowAnswer>>
      pending_borrows_;
};

}  // namespace dogwood
