#include "Services/Entry/service_placement.h"

#include <algorithm>

#include "Libraries/Http/http.h"

namespace dogwood {

Result<void> ServicePlacement::Configure(const FleetConfiguration& fleet) {
  const auto service = fleet.services.find(id);
  if (service == fleet.services.end()) return outcome::success();
  for (const auto& [server, configuration] : service->second.servers) {
    const auto endpoint = ParseEndpoint(configuration.address);
    if (endpoint.has_error()) {
      return Fail(ErrorCode::kInvalidArgument,
                  "services." + id.value() + ".servers." + server.value() +
                      ".address: " + endpoint.error().message);
    }
    endpoints[server] = endpoint.value();
  }
  for (const auto& [party, configuration] : fleet.parties) {
    const auto agreement = configuration.agreements.find(id);
    if (agreement == configuration.agreements.end()) continue;
    const PartyIndex index = PartyOf(party);
    meter.SetAgreement(index, agreement->second.calls_per_second);
    router.SetShare(index, std::max(1.0, agreement->second.calls_per_second));
  }
  return outcome::success();
}

PartyIndex ServicePlacement::PartyOf(const PartyId& party) {
  const auto [found, is_new] =
      parties.try_emplace(party, static_cast<PartyIndex>(parties.size()));
  if (is_new) {
    meter.SetAgreement(found->second, 0);
    router.SetShare(found->second, 1);
  }
  return found->second;
}

}  // namespace dogwood
