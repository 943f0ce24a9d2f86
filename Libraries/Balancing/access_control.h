#pragma once

#include <optional>
#include <string_view>

#include "Libraries/Balancing/route_table.h"

namespace dogwood {

enum class AccessDecision {
  kAllowed,
  kDenied,    // no client account holds the key
  kOutdated,  // this host may not know the newest keys
};

struct Access {
  AccessDecision decision = AccessDecision::kAllowed;
  // The account that holds the request's key. Belongs to the route table.
  const ClientAccount* account = nullptr;
};

// What KeyLease allows at the moment.
struct KeyKnowledge {
  bool may_use_keys = true;
  bool may_deny_keys = true;
};

// Decides whether a request with this key, absent if it has none or a malformed
// one, may be sent on a route. Without client accounts every request may.
inline Access DecideAccess(const RouteTable& route_table,
                           const RouteConfiguration& route,
                           std::optional<std::string_view> key,
                           const KeyKnowledge& knowledge) {
  if (!route_table.has_accounts()) return {};
  const ClientAccount* account =
      key ? route_table.FindAccountByKey(*key) : nullptr;
  if (route.is_public)
    return {AccessDecision::kAllowed,
            knowledge.may_use_keys ? account : nullptr};
  if (account != nullptr) {
    return {knowledge.may_use_keys ? AccessDecision::kAllowed
                                   : AccessDecision::kOutdated,
            account};
  }
  // A request without a key is denied by any configuration.
  return {!key || knowledge.may_deny_keys ? AccessDecision::kDenied
                                          : AccessDecision::kOutdated};
}

}  // namespace dogwood
