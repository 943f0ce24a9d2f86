#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Libraries/Core/core.h"
#include "Libraries/Settings/settings_tree.h"

namespace dogwood {

// Whether an operator lets a zone or a backend server receive new requests.
enum class OperationalState { kInService, kOutOfService };

struct ServerConfiguration {
  ServerId id;
  std::string address;  // IP:PORT
  ZoneId zone;
  std::uint32_t slots = 6;  // concurrent requests
  OperationalState operational_state =
      OperationalState::kInService;  // kOutOfService: leaving, no new requests
};

// Effective values of the settings that a service inherits. The defaults are
// those of kInheritedSettings.
struct ServiceSettings {
  double probes_per_second = 1;     // per backend server, of the whole fleet
  std::uint32_t queue_limit = 200;  // requests, per host
  double retry_budget_percent = 10;
  std::uint32_t cold_limit = 1;  // slots of a backend server in a cold start
  Duration permit_takeover_delay = std::chrono::milliseconds(1500);
  Duration permit_lease = std::chrono::milliseconds(1000);
  std::uint32_t connection_limit = 260;  // per backend server, whole fleet
  Duration default_deadline = std::chrono::seconds(10);
};

// Inherited settings that an availability zone or a client account overrides.
using SettingsOverrides = std::map<std::string, double>;

// Settings without overrides.
struct FleetSettings {
  Duration claims_commit_interval = std::chrono::milliseconds(60);
  Duration claims_retention = std::chrono::hours(24);
  Duration usage_write_interval = std::chrono::seconds(2);
  Duration usage_reservation = std::chrono::seconds(10);
};

struct ServiceConfiguration {
  ServiceId id;
  ServiceSettings settings;  // default and service levels merged
  std::map<ServerId, ServerConfiguration> servers;
};

struct ZoneConfiguration {
  ZoneId id;
  OperationalState operational_state = OperationalState::kInService;
  // Concurrent requests of all services; 0 is unlimited.
  std::uint32_t limit = 0;
  SettingsOverrides overrides;
};

struct AgreementConfiguration {
  double calls_per_second = 0;  // 0: the service may not be used
  std::uint64_t calls_per_month = 0;
};

struct ClientAccountConfiguration {
  ClientAccountId id;
  std::map<ServiceId, AgreementConfiguration> agreements;
  SettingsOverrides overrides;
};

// Configuration shared by all hosts. Immutable; a newer version replaces it as
// a whole.
struct FleetConfiguration {
  SettingsVersion version;
  std::map<ServiceId, ServiceConfiguration> services;
  std::map<ZoneId, ZoneConfiguration> zones;
  std::map<ClientAccountId, ClientAccountConfiguration> client_accounts;
  FleetSettings settings;

  // Settings of the service with the overrides of the availability zone and of
  // the client account, either of which may be unknown. An unknown service has
  // the default settings.
  ServiceSettings EffectiveSettings(
      const ServiceId& service, const ZoneId& zone,
      const ClientAccountId& client_account) const;

  // Parses the JSON format described in docs/design.md section 9. Fails with
  // kInvalidArgument and the path of the invalid value.
  static Result<FleetConfiguration> Parse(std::string_view json);
  // Reads a settings tree. Fails like Parse().
  static Result<FleetConfiguration> FromTree(const SettingsTree& tree,
                                             SettingsVersion version);
};

}  // namespace dogwood
