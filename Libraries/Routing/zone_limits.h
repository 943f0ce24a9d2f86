#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Libraries/Routing/router_types.h"
#include "Libraries/Settings/settings.h"

namespace dogwood {

// Scales the slots of the backend servers of an availability zone down in
// proportion until their sum is at most the zone's limit. Depends on the fleet
// configuration alone, so every host computes the same result. Servers that are
// out keep their share: their work may still be running.
class ZoneLimits {
 public:
  explicit ZoneLimits(const FleetConfiguration& configuration);

  // Slots of a server within its zone's limit.
  std::uint32_t slots(const ServiceId& service, const ServerId& server) const;

 private:
  std::map<std::pair<ServiceId, ServerId>, std::uint32_t> slots_;
};

// The input of the router of one service.
RouterFleet MakeRouterFleet(const FleetConfiguration& configuration,
                            const ZoneLimits& limits, const ServiceId& service,
                            std::vector<HostId> hosts, const HostId& self,
                            LeaseRule lease_rule);

}  // namespace dogwood
