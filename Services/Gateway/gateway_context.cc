#include "Services/Gateway/gateway_context.h"

namespace dogwood {

void GatewayContext::ApplyDirectives(ServerKey key,
                                     const ServerDirectives& directives,
                                     ReportSource report_source,
                                     std::string_view source) {
  if (!server_table.OnDirectives(key, directives, report_source,
                                 MonotonicNow())) {
    return;
  }
  metrics.limited_servers.Set(
      static_cast<std::int64_t>(server_table.LimitedServerCount()));
  const BackendServerState* server = server_table.Find(key);
  const auto limit = server->directives.max_requests_per_second;
  const EventId event = directives.leaving_started_at_ms
                            ? EventId::kServerLeaving
                        : limit ? EventId::kServerLimited
                                : EventId::kServerUnlimited;
  log->Record(event, {{"server", server->registration.id.value()},
                      {"requests_per_second", limit.value_or(-1)},
                      {"source", source}});
}

void GatewayContext::ApplyPause(ServerKey key, Duration pause) {
  const TimePoint now = MonotonicNow();
  const BackendServerState* server = server_table.Find(key);
  if (server == nullptr) return;
  // One line for each pause, not for each response during it.
  if (!server_table.is_held_back(key, now)) {
    log->Record(EventId::kServerPaused,
                {{"server", server->registration.id.value()},
                 {"pause_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(pause)
                      .count()}});
  }
  server_table.OnPause(key, pause, now);
}

std::optional<Duration> GatewayContext::KeyAge(TimePoint now) const {
  if (!route_table) return std::nullopt;
  return key_lease.Age(route_table->version(), now, SuspendedTime());
}

KeyKnowledge GatewayContext::CurrentKeyKnowledge(TimePoint now) const {
  if (!route_table || !route_table->has_accounts()) return {};
  const KeyLease::Limits limits = key_lease_limits();
  const auto age = KeyAge(now);
  return {KeyLease::may_use_keys(limits, age),
          KeyLease::may_deny_keys(limits, age)};
}

double GatewayContext::AccountWeight(std::uint64_t account) const {
  const ClientAccount* found = route_table && account != 0
                                   ? route_table->FindAccountByHash(account)
                                   : nullptr;
  return found != nullptr && found->rate_per_second > 0 ? found->rate_per_second
                                                        : 1;
}

}  // namespace dogwood
