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
  kLeaving,  // a stop was requested
};

// What the parts of the gateway share; all of them run on one thread.
struct GatewayContext {
  GatewayContext(boost::asio::io_context& given_io,
                 platform::NodeSettings given_settings,
                 std::unique_ptr<EventLog> given_log)
      : io(given_io),
        settings(std::move(given_settings)),
        log(std::move(given_log)),
        servers(settings.zone),
        peers(settings.ip, settings.zone, capacity(), MonotonicNow()),
        random(std::random_device{}()),
        metrics(registry) {}

  // Processor time of this host in hundredths of a core.
  unsigned capacity() const {
    return static_cast<unsigned>(settings.processor_share * 100);
  }
  // Repeats allowed by the settings.
  RetryAllowance::Limits retry_limits() const {
    return {settings.bounds.retry_ratio, settings.bounds.retry_window,
            settings.bounds.retry_extra};
  }

  boost::asio::io_context& io;
  platform::NodeSettings settings;
  std::unique_ptr<EventLog> log;
  ServerTable servers;
  PeerTable peers;
  // Requests in flight keep the configuration that they started with.
  std::shared_ptr<const RouteTable> routes;
  std::unordered_map<ServiceId, RetryAllowance> retry_allowances;
  std::mt19937_64 random;
  MetricsRegistry registry;
  GatewayMetrics metrics;
  ServingPhase phase = ServingPhase::kStarting;
};

}  // namespace dogwood
