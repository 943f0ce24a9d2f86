#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "Libraries/Observe/observe.h"
#include "Services/Entry/backend_connection_pool.h"
#include "Services/Entry/entry_settings.h"
#include "Services/Entry/fleet_configuration_holder.h"
#include "Services/Entry/host_life_cycle.h"
#include "Services/Entry/operator_listener.h"
#include "Services/Entry/relay_context.h"
#include "Services/Entry/relay_worker.h"

namespace dogwood {

// External dependencies of an entry host. They must outlive the host.
struct EntryHostDependencies {
  RequestDispatcher& dispatcher;
  EventLog& log;
  MetricsRegistry& metrics;
  boost::asio::io_context& control;
  ClaimService* claims = nullptr;
  RequestUsageRecorder* usage = nullptr;
  // Shutdown hooks, run on the control thread; may be empty. `on_leaving` runs
  // while requests are still in flight, `on_drained` after the last one.
  std::function<boost::asio::awaitable<void>()> on_leaving;
  std::function<boost::asio::awaitable<void>()> on_drained;
};

// The entry process: relay workers, listeners and process life cycle.
class EntryHost {
 public:
  EntryHost(EntrySettings settings, FleetConfiguration fleet,
            const EntryHostDependencies& dependencies);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  // Opens the listeners and starts the workers. Fails with kIo.
  Result<void> Start();
  // Runs the control event loop on the calling thread until the host stops.
  void Run();
  // Requests a stop on SIGTERM and SIGINT. Call before Run.
  void HandleSignals();
  // Begins a graceful shutdown; a second call forces the stop. Callable from
  // any thread.
  void RequestStop();

  // Replaces the fleet configuration. Callable from any thread.
  void ApplyFleetConfiguration(FleetConfiguration fleet);

  OperatorListener& operators() { return operator_listener_; }
  BackendConnectionPool& pool() { return pool_; }
  boost::asio::io_context& control_context() { return control_context_; }
  boost::asio::ip::tcp::endpoint callers_endpoint() const;
  // Call on the control thread.
  HostPhase phase() const { return life_cycle_.phase(); }
  // Requests aborted by a forced stop; valid after Run.
  std::size_t aborted_request_count() const { return aborted_request_count_; }

 private:
  Result<void> LoadOperatorToken();
  Result<void> OpenCallerListener();
  boost::asio::awaitable<void> AcceptCallerConnections();
  boost::asio::awaitable<void> WaitForSignals();
  boost::asio::awaitable<void> DrainAndStop();
  void HandleStopRequest();
  void FinishStop();
  void RegisterBuiltInRoutes();
  // Caller connections that are being served.
  std::size_t session_count() const;
  std::int64_t in_flight() const;

  EntrySettings settings_;
  EntryHostDependencies dependencies_;
  RequestMetrics metrics_;
  FleetConfigurationHolder fleet_;
  // Declared before the workers, whose connections return their slots to the
  // pool when they are destroyed.
  BackendConnectionPool pool_;
  SharedRelay relay_;
  boost::asio::io_context& control_context_;
  boost::asio::signal_set signals_;
  HostLifeCycle life_cycle_;
  OperatorListener operator_listener_;
  std::vector<std::unique_ptr<RelayWorker>> workers_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  std::size_t aborted_request_count_ = 0;
};

}  // namespace dogwood
