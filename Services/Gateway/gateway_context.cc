#include "Services/Gateway/gateway_context.h"

namespace dogwood {

void GatewayContext::ApplyDirectives(ServerKey key,
                                     const ServerDirectives& directives,
                                     std::string_view source) {
  if (!server_table.OnDirectives(key, directives, MonotonicNow())) return;
  metrics.limited_servers.Set(
      static_cast<std::int64_t>(server_table.LimitedServerCount()));
  const BackendServerState* server = server_table.Find(key);
  const auto limit = directives.max_requests_per_second;
  log->Record(limit ? EventId::kServerLimited : EventId::kServerUnlimited,
              {{"server", server->registration.id.value()},
               {"requests_per_second", limit.value_or(-1)},
               {"source", source}});
}

}  // namespace dogwood
