#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <optional>
#include <set>
#include <string>

#include "Services/Gateway/caller_connection.h"
#include "Services/Gateway/configuration_replicator.h"
#include "Services/Gateway/health_checker.h"
#include "Services/Gateway/peer_messenger.h"
#include "Services/Gateway/quota_gate.h"
#include "Services/Gateway/refused_request_store.h"
#include "Services/Gateway/request_forwarder.h"
#include "Services/Gateway/rollout_controller.h"
#include "Services/Gateway/server_selector.h"

namespace dogwood {

// The load balancer of an entry host: accepts callers' connections, forwards
// their requests to backend servers and coordinates with the other entry hosts.
// All components run on the single thread of one io_context.
class Gateway {
 public:
  // How long a host accepts connections after a stop request. The platform's
  // balancer polls readiness every second and removes a host after two
  // failures.
  static constexpr Duration kAcceptPeriodAfterStop =
      std::chrono::milliseconds(3500);
  // Requests that arrive later after a stop request are not started if they may
  // outlast the grace period. The platform counts those of callers that were
  // sent later than 3 s after its signal, which may reach a busy process late.
  static constexpr Duration kForecastPeriodAfterStop =
      std::chrono::milliseconds(2750);
  // When idle keep-alive connections are closed after a stop request.
  static constexpr Duration kCloseIdleAfterStop =
      std::chrono::milliseconds(2500);
  // Part of the shutdown grace period that is left when requests in flight are
  // cut off.
  static constexpr Duration kShutdownReserve = std::chrono::milliseconds(250);
  // Between checks of timeouts and flushes of the log.
  static constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
  static constexpr Duration kSettingsCheckInterval = std::chrono::seconds(1);
  // A caller that has read nothing of its response for this long may lose it
  // when the memory for responses is used up. Longer than a retransmission
  // takes.
  static constexpr Duration kMinWriteStall = std::chrono::milliseconds(300);
  // Between two callers that lose their responses: the memory of the first one
  // is released only after a pass through the event loop.
  static constexpr Duration kAbandonInterval =
      ServerConnection::kMemoryPollInterval;
  // Connections to the readiness address and to the metrics address. Few
  // programs poll them; others may connect as well.
  static constexpr std::size_t kMaxPollingConnections = 64;
  // Connections of other hosts that fetch tables: all hosts of a zone may do so
  // at once.
  static constexpr std::size_t kMaxPeerConnections = 256;
  // Requests to these addresses have no bodies.
  static constexpr std::uint64_t kMaxInternalBodyBytes = 4096;
  static constexpr std::size_t kMaxInternalBufferBytes = std::size_t{16} << 10U;
  static constexpr Duration kInternalRequestTimeout = std::chrono::seconds(10);
  // An idle connection may be closed after this time when no others are left.
  static constexpr Duration kMinIdleTime = std::chrono::seconds(1);
  // File descriptors that are not for sockets.
  static constexpr std::size_t kReservedFileDescriptors = 200;

  Gateway(boost::asio::io_context& io_context, platform::HostSettings settings,
          std::string settings_path, std::unique_ptr<EventLog> log);

  // Opens all ports and starts all components. Fails with kIo when a port is in
  // use. Without `metrics_port`, metrics are not exposed.
  Result<void> Start(std::optional<std::uint16_t> metrics_port);

 private:
  boost::asio::awaitable<void> AcceptConnections();
  // Gives up the response of the caller that has read nothing for longest.
  void AbandonMostStalledCaller();
  // Gives up the request that arrives most slowly among those that hold such
  // memory. Returns whether there was one.
  bool GiveUpSlowestRequest(RequestMemory::Part part);
  // Closes the connection whose request arrives most slowly or, without one,
  // that has been idle for longest. Returns whether there was one.
  bool GiveUpConnection();
  CallerConnection* FindSlowestRequest(
      const std::function<bool(const CallerConnection&)>& is_candidate) const;
  // Returns whether any caller connection is busy.
  bool CloseIdleCallerConnections();
  // Greatest number of caller connections: a quarter of the descriptors is left
  // to connections to backend servers, to the store and between hosts.
  std::size_t MaxCallerConnections() const;
  bool has_room_for_connection() const;
  // Accepts the connections that wait and closes the acceptor.
  void StopAccepting();
  boost::asio::awaitable<void> ServeConnection(
      boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> RunSweep();
  // Logs when the host begins or ends to refuse requests with keys.
  void LogKeyLease(TimePoint now);
  boost::asio::awaitable<void> AwaitStopSignal();
  boost::asio::awaitable<void> AwaitReloadSignal();
  boost::asio::awaitable<void> WatchSettingsFile();
  boost::asio::awaitable<void> ShutDown();
  // Starts an HTTP server for requests other than those of callers.
  Result<void> Listen(const boost::asio::ip::tcp::endpoint& endpoint,
                      std::size_t max_connections, HttpServer::Handler handler);
  HttpResponse HandleReadiness(const HttpRequest& request) const;
  HttpResponse HandleMetrics();
  void ReloadSettings();
  // Tells the other hosts and the store of suspected requests.
  void ShareSuspects(const PoisonRequestGuard::Records& records);

  boost::asio::io_context& io_context_;
  GatewayContext context_;
  std::string settings_path_;
  std::string settings_text_;  // as last read from the file
  ConfigurationReplicator replicator_;
  ServerSelector server_selector_;
  PoisonRequestGuard poison_request_guard_;
  RefusedRequestStore refused_request_store_;
  QuotaGate quota_gate_;
  RolloutController rollout_controller_;
  PeerMessenger messenger_;
  HealthChecker health_checker_;
  RequestForwarder request_forwarder_;
  TimePoint caller_abandoned_at_{};
  bool may_use_keys_ = true;  // as last logged
  CallerConnectionTotals caller_connection_totals_;
  RequestMemory request_memory_;
  std::set<CallerConnection*> caller_connections_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<HttpServer> http_servers_;
  boost::asio::signal_set stop_signals_;
  boost::asio::signal_set reload_signals_;
};

}  // namespace dogwood
