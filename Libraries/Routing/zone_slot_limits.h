#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Libraries/Routing/router_types.h"
#include "Libraries/Settings/settings.h"

namespace dogwood {

// Scales the slots of the backend servers of an availability zone down in
// proportion until their sum is within the limit of the zone. Depends on the
// fleet configuration alone, so all hosts compute the same result. Servers out
// of rotation keep their slots, since requests may still run on them.
class ZoneSlotLimits {
 public:
  explicit ZoneSlotLimits(const FleetConfiguration& configuration);

  // Slots of a server within the limit of its availability zone.
  std::uint32_t slots(const ServiceId& service, const ServerId& server) const;

 private:
  std::map<std::pair<ServiceId, ServerId>, std::uint32_t> slots_;
};

// Builds the input of the ServiceRouter of one service.
RouterConfiguration MakeRouterConfiguration(
    const FleetConfiguration& configuration, const ZoneSlotLimits& limits,
    const ServiceId& service, std::vector<HostId> hosts, const HostId& self,
    PermitLeaseRule lease_rule);

}  // namespace dogwood
