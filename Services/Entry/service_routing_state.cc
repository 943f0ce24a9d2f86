#include "Services/Entry/service_routing_state.h"

#include <algorithm>

#include "Libraries/Http/http.h"

namespace dogwood {

Result<void> ServiceRoutingState::Configure(const FleetConfiguration& fleet) {
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
  for (const auto& [client_account, configuration] : fleet.client_accounts) {
    const auto agreement = configuration.agreements.find(id);
    if (agreement == configuration.agreements.end()) continue;
    const ClientAccountIndex index = FindOrAddClientAccount(client_account);
    agreement_meter.SetAgreement(index, agreement->second.calls_per_second);
    router.SetShare(index, std::max(1.0, agreement->second.calls_per_second));
  }
  return outcome::success();
}

ClientAccountIndex ServiceRoutingState::FindOrAddClientAccount(
    const ClientAccountId& client_account) {
  const auto [found, is_new] = client_account_indices.try_emplace(
      client_account,
      static_cast<ClientAccountIndex>(client_account_indices.size()));
  if (is_new) {
    agreement_meter.SetAgreement(found->second, 0);
    router.SetShare(found->second, 1);
  }
  return found->second;
}

}  // namespace dogwood
