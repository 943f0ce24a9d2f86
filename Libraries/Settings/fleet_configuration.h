#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Libraries/Core/core.h"
#include "Libraries/Settings/settings_tree.h"

namespace dogwood {

enum class Placement { kIn, kOut };

// A backend server of a service.
struct ServerConfiguration {
  ServerId id;
  std::string address;  // IP:PORT
  ZoneId zone;
  std::uint32_t slots = 6;               // concurrent requests
  Placement placement = Placement::kIn;  // kOut: leaving, gets no new work
};

// Effective values of the inherited settings of a service.
struct ServiceSettings {
  double probes_per_second = 1;  // of one backend server by the whole fleet
  std::uint32_t queue_limit = 200;
  double retry_budget_percent = 10;
  std::uint32_t cold_limit = 1;
  Duration permit_takeover_delay = std::chrono::milliseconds(1500);
  Duration permit_lease = std::chrono::milliseconds(1000);
  std::uint32_t connection_limit = 260;  // of one backend server, whole fleet
  Duration default_deadline = std::chrono::seconds(10);
};

// Values of inherited keys that an availability zone or a party overrides.
using SettingsOverrides = std::map<std::string, double>;

// Settings that are the same for the whole fleet.
struct FleetSettings {
  Duration claims_commit_interval = std::chrono::milliseconds(60);
  Duration claims_remembered = std::chrono::hours(24);
  Duration usage_write_interval = std::chrono::seconds(2);
  Duration usage_reservation = std::chrono::seconds(10);
};

struct ServiceConfiguration {
  ServiceId id;
  ServiceSettings settings;  // default and service level
  std::map<ServerId, ServerConfiguration> servers;
};

struct ZoneConfiguration {
  ZoneId id;
  Placement placement = Placement::kIn;
  std::uint32_t limit =
      0;  // concurrent requests over all services; 0 is unlimited
  SettingsOverrides overrides;
};

struct AgreementConfiguration {
  double calls_per_second = 0;  // 0: no use agreed
  std::uint64_t calls_per_month = 0;
};

struct PartyConfiguration {
  PartyId id;
  std::map<ServiceId, AgreementConfiguration> agreements;
  SettingsOverrides overrides;
};

// What all hosts agree on: an immutable value, replaced as a whole by a newer
// version.
struct FleetConfiguration {
  SettingsVersion version;
  std::map<ServiceId, ServiceConfiguration> services;
  std::map<ZoneId, ZoneConfiguration> zones;
  std::map<PartyId, PartyConfiguration> parties;
  FleetSettings settings;

  // The service's settings with the overrides of the availability zone and the
  // party, which may be unknown. Default values for an unknown service.
  ServiceSettings SettingsOf(const ServiceId& service, const ZoneId& zone,
                             const PartyId& party) const;

  // Reads the JSON form that docs/design.md section 9 describes. Fails with
  // kInvalidArgument and the path of the offending value.
  static Result<FleetConfiguration> Parse(std::string_view json);
  // The same from a tree, with its version.
  static Result<FleetConfiguration> FromTree(const SettingsTree& tree,
                                             SettingsVersion version);
};

}  // namespace dogwood
