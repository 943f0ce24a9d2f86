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
#include "Services/Entry/ledger_usage_recorder.h"
#include "Services/Entry/operator_api.h"
#include "Services/Entry/peer_node.h"
#include "Services/Entry/permit_dispatcher.h"
#include "Services/Entry/settings_service.h"
#include "Services/Entry/usage_service.h"

namespace dogwood {

// The control plane of an entry host in a fleet: membership, settings,
// placement, idempotency claims and usage accounting. Runs on the control
// thread.
class ControlPlane {
 public:
  // Fails with kIo when the listen address for peers is in use. All arguments
  // must outlive the control plane.
  static Result<std::unique_ptr<ControlPlane>> Create(
      const EntrySettings& settings, boost::asio::io_context& control,
      EventLog& log, MetricsRegistry& metrics);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  PermitDispatcher& dispatcher() { return *dispatcher_; }
  ClaimService& claims() { return *claim_adapter_; }
  RequestUsageRecorder& usage() { return *usage_recorder_; }

  // Registers the operator routes and applies configuration changes to `host`.
  void AttachTo(EntryHost& host);
  // Announces this host and starts the control services. Returns when the host
  // may accept requests: it has the fleet settings and an open usage row.
  boost::asio::awaitable<void> JoinFleet();

  // Graceful shutdown, first step: tells the other hosts while requests in
  // flight are still running.
  boost::asio::awaitable<void> AnnounceShutdown();
  // Graceful shutdown, last step, after the last request: hands over claims,
  // flushes usage and stops the control services.
  boost::asio::awaitable<void> FinishShutdown();

 private:
  ControlPlane(const EntrySettings& settings, boost::asio::io_context& control,
               EventLog& log, MetricsRegistry& metrics);

  Result<void> StartPeers();
  boost::asio::awaitable<Result<std::vector<Contact>>> ReadContacts();
  // Reads the platform's host list and passes it to the dispatcher. The initial
  // read precedes this host's own announcement, so that an entry for this host
  // belongs to an earlier incarnation.
  enum class HostListRead { kInitial, kRefresh };
  boost::asio::awaitable<Result<std::vector<HostListEntry>>> ReadHostList(
      HostListRead read);
  void ApplyFleetConfiguration(
      const std::shared_ptr<const FleetConfiguration>& fleet);
  void RegisterUsageRoute(EntryHost& host);
  boost::asio::awaitable<HttpResponse> HandleUsageRequest(HttpRequest request);

  const EntrySettings& settings_;
  boost::asio::io_context& control_context_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  Incarnation incarnation_;
  SystemControlClock clock_;
  HttpTableStore table_store_;
  HttpObjectStore object_store_;
  HostListClient host_list_;
  UsageLedger usage_ledger_;
  PermitDispatcher::HostListSummary host_list_view_;
  FleetConfiguration fleet_;
  EntryHost* host_ = nullptr;
  std::unique_ptr<PeerNode> peer_node_;
  std::unique_ptr<PermitDispatcher> dispatcher_;
  std::unique_ptr<SettingsService> settings_service_;
  std::unique_ptr<OperatorApi> operator_api_;
  std::unique_ptr<ClaimCoordinator> claim_coordinator_;
  std::unique_ptr<ClaimAdapter> claim_adapter_;
  std::unique_ptr<UsageService> usage_service_;
  std::unique_ptr<LedgerUsageRecorder> usage_recorder_;
  std::unique_ptr<UsageSnapshotStore> usage_snapshots_;
};

}  // namespace dogwood
