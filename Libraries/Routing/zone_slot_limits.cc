#include "Libraries/Routing/zone_slot_limits.h"

#include <algorithm>
#include <tuple>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {
namespace {

struct Allocation {
  std::pair<ServiceId, ServerId> server;
  std::uint32_t slots = 0;
  std::uint64_t remainder = 0;
  std::uint64_t hash = 0;  // tie-break among equal remainders
};

// Scales the allocations to `limit` by the largest remainder method.
void ScaleToLimit(std::vector<Allocation>& allocations, std::uint64_t total,
                  std::uint64_t limit) {
  std::uint64_t allocated = 0;
  for (Allocation& allocation : allocations) {
    const std::uint64_t scaled = allocation.slots * limit;
    allocation.slots = static_cast<std::uint32_t>(scaled / total);
    allocation.remainder = scaled % total;
    allocated += allocation.slots;
  }
  std::sort(allocations.begin(), allocations.end(),
            [](const Allocation& left, const Allocation& right) {
              return std::tie(right.remainder, left.hash, left.server) <
                     std::tie(left.remainder, right.hash, right.server);
            });
  for (Allocation& allocation : allocations) {
    if (allocated == limit) return;
    ++allocation.slots;
    ++allocated;
  }
}

}  // namespace

ZoneSlotLimits::ZoneSlotLimits(const FleetConfiguration& configuration) {
  std::map<ZoneId, std::vector<Allocation>> zones;
  for (const auto& [service_id, service] : configuration.services) {
    for (const auto& [server_id, server] : service.servers) {
      zones[server.zone].push_back(
          {.server = {service_id, server_id},
           .slots = std::min(server.slots, kMaximumSlots),
           .hash = CombineHashes(HashName(service_id.value()),
                                 HashName(server_id.value()))});
    }
  }
  for (auto& [zone_id, allocations] : zones) {
    std::uint64_t total = 0;
    for (const Allocation& allocation : allocations) total += allocation.slots;
    const auto zone = configuration.zones.find(zone_id);
    const std::uint32_t limit =
        zone == configuration.zones.end() ? 0 : zone->second.limit;
    if (limit != 0 && total > limit) ScaleToLimit(allocations, total, limit);
    for (const Allocation& allocation : allocations)
      slots_[allocation.server] = allocation.slots;
  }
}

std::uint32_t ZoneSlotLimits::slots(const ServiceId& service,
                                    const ServerId& server) const {
  const auto found = slots_.find({service, server});
  return found == slots_.end() ? 0 : found->second;
}

RouterConfiguration MakeRouterConfiguration(
    const FleetConfiguration& configuration, const ZoneSlotLimits& limits,
    const ServiceId& service, std::vector<HostId> hosts, const HostId& self,
    PermitLeaseRule lease_rule) {
  RouterConfiguration fleet{
      .hosts = std::move(hosts), .self = self, .lease_rule = lease_rule};
  const auto found = configuration.services.find(service);
  if (found == configuration.services.end()) return fleet;
  for (const auto& [id, server] : found->second.servers) {
    const auto zone = configuration.zones.find(server.zone);
    const bool is_zone_out_of_rotation =
        zone != configuration.zones.end() &&
        zone->second.operational_state == OperationalState::kOutOfService;
    fleet.servers.push_back(
        {.id = id,
         .zone = server.zone,
         .slots = server.slots,
         .zone_slots = limits.slots(service, id),
         .is_out_of_rotation =
             is_zone_out_of_rotation ||
             server.operational_state == OperationalState::kOutOfService});
  }
  return fleet;
}

}  // namespace dogwood
