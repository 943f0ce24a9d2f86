#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

#include "Services/Entry/claim_adapter.h"
#include "Services/Entry/claim_coordinator.h"
#include "Services/Entry/control_clock.h"
#include "Services/Entry/entry_host.h"
#include "Services/Entry/entry_settings.h"
#include "Services/Entry/operator_api.h"
#include "Services/Entry/peer_exchange.h"
#include "Services/Entry/permit_dispatcher.h"
#include "Services/Entry/settings_service.h"
#include "Services/Entry/usage_adapter.h"
#include "Services/Entry/usage_service.h"

namespace dogwood {

// The control work of an entry host that has peers and a platform: membership,
// settings, placement, claims and usage. Runs on the control thread.
class ControlPlane {
 public:
  // Fails with kIo when the peers' address is taken. All arguments outlive the
  // control plane.
  static Result<std::unique_ptr<ControlPlane>> Create(
      const EntrySettings& settings, boost::asio::io_context& control,
      EventLog& log, MetricsRegistry& metrics);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  PermitDispatcher& dispatcher() { return *dispatcher_; }
  ClaimService& claims() { return *claim_adapter_; }
  UsageRecorder& usage() { return *usage_adapter_; }

  // Adds the operators' routes and keeps the host's configuration up to date.
  void Attach(EntryHost& host);
  // Returns when the host may take work: it has the fleet's settings and a
  // usage row.
  boost::asio::awaitable<void> BecomeReady();

  // Planned stop: tells the other hosts, before work in hand is finished.
  boost::asio::awaitable<void> AnnounceLeaving();
  // Planned stop: after the last request. Hands over claims, writes usage.
  boost::asio::awaitable<void> FinishLeaving();

 private:
  ControlPlane(const EntrySettings& settings, boost::asio::io_context& control,
               EventLog& log, MetricsRegistry& metrics);

  Result<void> StartPeers();
  boost::asio::awaitable<Result<std::vector<Contact>>> ReadContacts();
  // Tells placement what the host list says. The first reading comes before
  // this host announces itself.
  enum class Reading { kFirst, kLater };
  boost::asio::awaitable<Result<std::vector<ListedHost>>> ReadHostList(
      Reading reading);
  void PublishFleet(const std::shared_ptr<const FleetConfiguration>& fleet);
  void AddUsageRoutes(EntryHost& host);
  boost::asio::awaitable<HttpResponse> UsageResponse(HttpRequest request);

  const EntrySettings& settings_;
  boost::asio::io_context& control_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  Incarnation incarnation_;
  SystemControlClock clock_;
  HttpTableStore store_;
  ObjectStore objects_;
  HostList host_list_;
  UsageLedger ledger_;
  PermitDispatcher::HostListView list_view_;
  FleetConfiguration fleet_;
  EntryHost* host_ = nullptr;
  std::unique_ptr<PeerExchange> peers_;
  std::unique_ptr<PermitDispatcher> dispatcher_;
  std::unique_ptr<SettingsService> settings_service_;
  std::unique_ptr<OperatorApi> operator_api_;
  std::unique_ptr<ClaimCoordinator> claims_;
  std::unique_ptr<ClaimAdapter> claim_adapter_;
  std::unique_ptr<UsageService> usage_service_;
  std::unique_ptr<UsageAdapter> usage_adapter_;
  std::unique_ptr<SnapshotStore> snapshots_;
};

}  // namespace dogwood
