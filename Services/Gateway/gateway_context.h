#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <unordered_map>

#include "Libraries/Balancing/balancing.h"
#include "Libraries/Observe/observe.h"
#include "Services/Gateway/gateway_metrics.h"
#include "platform/platform.h"

namespace dogwood {

enum class ServingPhase {
  kStarting,  // no configuration is known
  kServing,
  kLeaving,  // shutdown was requested
};

// State shared by the components of the gateway, which all run on one thread.
struct GatewayContext {
  static constexpr double kCapacityUnitsPerCore = 100;

  GatewayContext(boost::asio::io_context& io_context,
                 platform::NodeSettings node_settings,
                 std::unique_ptr<EventLog> event_log)
      : io(io_context),
        settings(std::move(node_settings)),
        log(std::move(event_log)),
        servers(settings.zone),
        peers(settings.ip, settings.zone, capacity(), MonotonicNow()),
        random(std::random_device{}()),
        metrics(registry) {}

  // Processor share of this host, in hundredths of a core.
  unsigned capacity() const {
    return static_cast<unsigned>(settings.processor_share *
                                 kCapacityUnitsPerCore);
  }
  // Retry budget from the settings.
  RetryAllowance::Limits retry_limits() const {
    return {settings.bounds.retry_ratio, settings.bounds.retry_window,
            settings.bounds.retry_extra};
  }

  boost::asio::io_context& io;
  platform::NodeSettings settings;
  std::unique_ptr<EventLog> log;
  ServerTable servers;
  PeerTable peers;
  // Null until a configuration is known. A request keeps the table that was in
  // force when it started.
  std::shared_ptr<const RouteTable> routes;
  std::unordered_map<ServiceId, RetryAllowance> retry_allowances;
  std::mt19937_64 random;
  MetricsRegistry registry;
  GatewayMetrics metrics;
  ServingPhase phase = ServingPhase::kStarting;
};

}  // namespace dogwood
