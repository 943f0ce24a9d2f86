#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>

#include "Libraries/Balancing/balancing.h"
#include "Libraries/Core/suspended_time.h"
#include "Libraries/Observe/observe.h"
#include "Services/Gateway/gateway_metrics.h"
#include "Services/Gateway/shutdown_schedule.h"
#include "platform/platform.h"

namespace dogwood {

enum class ServingState {
  kStarting,  // no configuration is known
  kServing,
  kDraining,  // shutdown was requested
};

// State shared by the components of the gateway, which all run on one thread.
struct GatewayContext {
  static constexpr double kCapacityUnitsPerCore = 100;

  GatewayContext(boost::asio::io_context& io_context,
                 platform::HostSettings host_settings,
                 std::unique_ptr<EventLog> event_log)
      : io_context(io_context),
        settings(std::move(host_settings)),
        log(std::move(event_log)),
        server_table(settings.zone),
        peer_table(settings.ip, settings.zone, capacity(), MonotonicNow()),
        random_engine(std::random_device{}()),
        metrics(registry) {}

  // CPU cores of this host, in hundredths of a core.
  unsigned capacity() const {
    return static_cast<unsigned>(settings.cpu_cores * kCapacityUnitsPerCore);
  }
  // Retry budget from the settings.
  HostRetryBudget::Limits retry_budget_limits() const {
    return {settings.platform_limits.retry_budget_ratio,
            settings.platform_limits.retry_budget_window,
            settings.platform_limits.retry_budget_extra};
  }

  // Bounds on the use of keys from the settings.
  KeyLease::Limits key_lease_limits() const {
    return {settings.platform_limits.has_strict_key_revocation,
            settings.platform_limits.key_revocation_delay,
            settings.platform_limits.configuration_delay};
  }
  // Time since the keys in force were last confirmed to be the newest.
  std::optional<Duration> KeyAge(TimePoint now) const;
  // What the host may do with keys. True for a configuration without accounts.
  KeyKnowledge CurrentKeyKnowledge(TimePoint now) const;
  // Share of scarce room that a client account gets relative to others: its
  // quota, which is what its operator provides for. Equal for accounts without.
  double AccountWeight(std::uint64_t account) const;
  // Records that the store had no configuration newer than `version` at
  // `moment`.
  void ConfirmKeys(SettingsVersion version, TimePoint moment) {
    key_lease.Confirm(version, moment, SuspendedTime());
  }

  // Applies what a backend server's response asks for and logs when that
  // changes. `source` is the host that received the response.
  void ApplyDirectives(ServerKey server, const ServerDirectives& directives,
                       ReportSource report_source, std::string_view source);
  // Applies and logs that a backend server wants nothing from this host.
  void ApplyPause(ServerKey server, Duration pause);

  boost::asio::io_context& io_context;
  platform::HostSettings settings;
  std::unique_ptr<EventLog> log;
  ServerTable server_table;
  PeerTable peer_table;
  // Null until a configuration is known. A request keeps the table that was in
  // force when it started.
  std::shared_ptr<const RouteTable> route_table;
  KeyLease key_lease;
  std::vector<RolloutOrder> rollout_orders;
  std::unordered_map<ServiceId, HostRetryBudget> retry_budgets;
  std::mt19937_64 random_engine;
  MetricsRegistry registry;
  GatewayMetrics metrics;
  ServingState serving_state = ServingState::kStarting;
  std::optional<ShutdownSchedule> shutdown;  // set while draining
};

}  // namespace dogwood
