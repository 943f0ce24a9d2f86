#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Libraries/Core/core.h"

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

struct ServiceConfiguration {
  ServiceId id;
  std::map<ServerId, ServerConfiguration> servers;
};

struct ZoneConfiguration {
  ZoneId id;
  Placement placement = Placement::kIn;
  std::uint32_t limit =
      0;  // concurrent requests over all services; 0 is unlimited
};

struct AgreementConfiguration {
  double calls_per_second = 0;  // 0: no use agreed
  std::uint64_t calls_per_month = 0;
};

struct PartyConfiguration {
  PartyId id;
  std::map<ServiceId, AgreementConfiguration> agreements;
};

// What all hosts agree on: an immutable value, replaced as a whole by a newer
// version.
struct FleetConfiguration {
  SettingsVersion version;
  std::map<ServiceId, ServiceConfiguration> services;
  std::map<ZoneId, ZoneConfiguration> zones;
  std::map<PartyId, PartyConfiguration> parties;

  // Reads the JSON form that docs/design.md section 9 describes. Fails with
  // kInvalidArgument and the path of the offending value.
  static Result<FleetConfiguration> Parse(std::string_view json);
};

}  // namespace dogwood
