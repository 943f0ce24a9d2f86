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
#include "Services/Entry/backend_pool.h"
#include "Services/Entry/entry_settings.h"
#include "Services/Entry/fleet_view.h"
#include "Services/Entry/host_life_cycle.h"
#include "Services/Entry/operator_listener.h"
#include "Services/Entry/relay_context.h"
#include "Services/Entry/relay_worker.h"

namespace dogwood {

// Parts of an entry host that others provide; they outlive the host.
struct EntryParts {
  RequestDispatcher& dispatcher;
  EventLog& log;
  MetricsRegistry& metrics;
  boost::asio::io_context& control;
  ClaimService* claims = nullptr;
  UsageRecorder* usage = nullptr;
  // Run on the control thread at a planned stop: before requests in flight are
  // finished, and after the last one. May be empty.
  std::function<boost::asio::awaitable<void>()> on_leaving;
  std::function<boost::asio::awaitable<void>()> on_drained;
};

// The process on an entry host: workers, listeners and life cycle.
class EntryHost {
 public:
  EntryHost(EntrySettings settings, FleetConfiguration fleet,
            const EntryParts& parts);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  // Opens the listeners and starts the workers. Fails with kIo.
  Result<void> Start();
  // Runs control work on the calling thread until the host has stopped.
  void Run();
  // Stops at SIGTERM and SIGINT. Call before Run.
  void HandleSignals();
  // Begins a graceful shutdown; the second call ends it. Callable from any
  // thread.
  void RequestStop();

  // Puts a newer fleet configuration in force. Callable from any thread.
  void ApplyFleet(FleetConfiguration fleet);

  OperatorListener& operators() { return operators_; }
  BackendPool& pool() { return pool_; }
  boost::asio::io_context& control_context() { return control_; }
  boost::asio::ip::tcp::endpoint callers_endpoint() const;
  // Of the control thread.
  HostPhase phase() const { return life_cycle_.phase(); }
  // Requests that a forced stop ended; valid after Run.
  std::size_t cut_count() const { return cut_; }

 private:
  Result<void> LoadToken();
  Result<void> OpenCallers();
  boost::asio::awaitable<void> AcceptCallers();
  boost::asio::awaitable<void> AwaitSignals();
  boost::asio::awaitable<void> Leave();
  void HandleStopRequest();
  void FinishStop();
  void AddOwnRoutes();
  std::int64_t in_flight() const;

  EntrySettings settings_;
  EntryParts parts_;
  RequestMetrics metrics_;
  FleetView fleet_;
  // Connections give back their places when the workers end.
  BackendPool pool_;
  SharedRelay shared_;
  boost::asio::io_context& control_;
  boost::asio::signal_set signals_;
  HostLifeCycle life_cycle_;
  OperatorListener operators_;
  std::vector<std::unique_ptr<RelayWorker>> workers_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  std::size_t cut_ = 0;
};

}  // namespace dogwood
