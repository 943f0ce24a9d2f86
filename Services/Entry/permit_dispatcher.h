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
#include "Services/Entry/service_placement.h"

namespace dogwood {

// Places requests by the permits of the fleet (docs/design.md section 4.1).
// Runs the routers of all services: carries out their actions, exchanges
// borrows, server states and crash suspects with the other hosts, and probes
// backend servers within their budget. Acquire, Complete and try_take_retry may
// be called from any worker; everything else on the control thread.
//
// Lock order: kSettings (list of services), kRouting (one service at a time),
// kSuspects, kGrants.
class PermitDispatcher : public RequestDispatcher {
 public:
  struct Options {
    HostId host;
    Incarnation incarnation;
    std::uint64_t seed = 0;
    RouterOptions router;
  };

  // What the platform's host list says of the fleet around this host. Unlike
  // the membership view it does not shrink when the network is split, so only
  // it can exempt a lone host from the permit lease.
  struct HostListView {
    bool has_other_hosts = true;
    // The list named this host before it announced itself: an earlier
    // incarnation may still have work at backend servers.
    bool has_earlier_incarnation = false;
  };

  // `peers` may be null: a lone host. `control` is the control thread's
  // executor. All arguments outlive the dispatcher.
  PermitDispatcher(Options options, boost::asio::any_io_executor control,
                   PeerChannel* peers, EventLog& log, MetricsRegistry& metrics);
  ~PermitDispatcher() override;

  // Registers message handlers and starts the periodic work.
  void Start();
  void Stop();

  // Call on the control thread, the first time before Apply.
  void SetHostList(const HostListView& view);

  // Puts a configuration in force. Fails with kInvalidArgument and changes
  // nothing in services that were read without fault.
  Result<void> Apply(const FleetConfiguration& fleet);

  boost::asio::awaitable<
      outcome::result<DispatchGrant, Refusal, outcome::policy::terminate>>
  Acquire(const RequestAttributes& request, ServerId excluded) override;
  void Complete(const RequestAttributes& request, const DispatchGrant& grant,
                const AttemptReport& report) override;
  bool try_take_retry(const ServiceId& service) override;

 private:
  struct Waiter;
  struct OpenGrant {
    Permit permit;
    std::uint64_t fingerprint = 0;
  };
  // What a crash detector knows of a backend server.
  struct ServerHealth {
    std::string start_id;
    bool has_lost_connection = false;
  };
  using Decision =
      outcome::result<DispatchGrant, Refusal, outcome::policy::terminate>;

  ServicePlacement* FindService(const ServiceId& service);
  DispatchGrant OpenGrantOf(ServicePlacement& placement, std::uint64_t request,
                            const Permit& permit, std::uint64_t fingerprint);
  Decision RefuseOf(RefusalReason reason, Duration retry_after) const;
  // Under the service's lock: resolves grants and refusals, and posts what
  // concerns peers to the control thread.
  void CarryOut(ServicePlacement& placement, RouterActions& actions);
  void ResolveWaiter(ServicePlacement& placement, const RouterAction& action);
  void SendToPeers(ServicePlacement& placement, const RouterAction& action);
  void NoteAttempt(const DispatchGrant& grant, std::uint64_t fingerprint,
                   const AttemptReport& report);
  void BroadcastSuspects(const CrashSuspects::Records& records);

  // permit_dispatcher_peers.cc
  void RegisterHandlers();
  void ApplyMembers();
  void ForgetVanishedBorrowers();
  template <typename Call>
  void WithService(const nlohmann::json& body, Call call);
  boost::asio::awaitable<Result<nlohmann::json>> HandleBorrow(
      HostId from, nlohmann::json body);
  boost::asio::awaitable<void> SendBorrow(ServicePlacement& placement,
                                          HostId to, ServerId excluded,
                                          RouterAction action);
  boost::asio::awaitable<void> SendOneWay(HostId to, std::string kind,
                                          nlohmann::json body);
  void AnswerBorrow(ServicePlacement& placement, const RouterAction& action);
  nlohmann::json PermitJson(const ServicePlacement& placement,
                            const Permit& permit) const;
  boost::asio::awaitable<void> RunTicks();
  void Tick(ServicePlacement& placement, TimePoint now);
  void UpdateGauges(const ServicePlacement& placement, TimePoint now);
  boost::asio::awaitable<void> Probe(ServicePlacement& placement,
                                     ServerId server,
                                     boost::asio::ip::tcp::endpoint endpoint);

  Options options_;
  boost::asio::any_io_executor control_;
  PeerChannel* peers_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  Counter& borrows_sent_;
  Counter& borrows_granted_;
  Counter& borrows_refused_;
  Counter& borrows_cancelled_;
  Counter& probes_sent_;
  Counter& requests_queued_;
  LatencyHistogram& peer_call_duration_;  // of messages answered at once
  boost::asio::steady_timer timer_;
  bool is_stopped_ = false;

  RankedMutex services_mutex_{LockRank::kSettings};
  std::map<ServiceId, std::unique_ptr<ServicePlacement>> services_;

  RankedMutex suspects_mutex_{LockRank::kSuspects};
  CrashSuspects suspects_;
  std::unordered_map<ServerId, ServerHealth> health_;

  RankedMutex grants_mutex_{LockRank::kGrants};
  std::uint64_t next_request_ = 1;
  std::unordered_map<std::uint64_t, OpenGrant> grants_;  // by request number
  // A waiter is shared by the coroutine that waits and the thread that
  // resolves it.
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;

  // Control thread only.
  FleetConfiguration fleet_;
  HostListView host_list_;
  ProbeBudget probe_budget_;
  std::vector<HostId> live_hosts_;
  struct BorrowAnswer;
  std::map<std::pair<HostId, std::uint64_t>, std::shared_ptr<BorrowAnswer>>
      borrow_answers_;
};

}  // namespace dogwood
