#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <optional>
#include <set>
#include <string>

#include "Services/Gateway/caller_connection.h"
#include "Services/Gateway/directory_sync.h"
#include "Services/Gateway/fleet_link.h"
#include "Services/Gateway/health_prober.h"
#include "Services/Gateway/placement_service.h"
#include "Services/Gateway/request_relay.h"

namespace dogwood {

// The process of an entry host on the users' platform. All parts run on the
// thread of one io_context.
class Gateway {
 public:
  // A leaving host accepts connections until the balancer has noticed: it asks
  // every second and takes a host out after two misses.
  static constexpr Duration kAcceptAfterStop = std::chrono::milliseconds(3500);
  // Kept connections without a request are closed at this time.
  static constexpr Duration kCloseIdleAfterStop =
      std::chrono::milliseconds(2500);
  // Left of the stop's grace when the process ends in any case.
  static constexpr Duration kGraceReserve = std::chrono::milliseconds(250);
  static constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
  static constexpr Duration kSettingsCheckInterval = std::chrono::seconds(1);

  Gateway(boost::asio::io_context& io, platform::NodeSettings settings,
          std::string settings_path, std::unique_ptr<EventLog> log);

  // Opens all ports and starts serving; fails with kIo when one is taken.
  Result<void> Start(std::optional<std::uint16_t> metrics_port);

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> Sweep();
  boost::asio::awaitable<void> AwaitStop();
  boost::asio::awaitable<void> AwaitReload();
  boost::asio::awaitable<void> WatchSettings();
  boost::asio::awaitable<void> Leave();
  Result<void> Listen(const boost::asio::ip::tcp::endpoint& endpoint,
                      HttpServer::Handler handler);
  HttpResponse AnswerReadiness(const HttpRequest& request) const;
  HttpResponse AnswerMetrics();
  void Reload();

  boost::asio::io_context& io_;
  GatewayContext context_;
  std::string settings_path_;
  std::string settings_text_;
  DirectorySync sync_;
  PlacementService placements_;
  FleetLink link_;
  HealthProber prober_;
  RequestRelay relay_;
  CallerLoad load_;
  std::set<CallerConnection*> connections_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<HttpServer> servers_;
  boost::asio::signal_set stop_signals_;
  boost::asio::signal_set reload_signals_;
};

}  // namespace dogwood
