// What backend servers ask of their callers: limits, leaving and pauses.
#include <algorithm>

#include "Libraries/Balancing/server_table.h"

namespace dogwood {

bool ServerTable::OnDirectives(ServerKey key,
                               const ServerDirectives& directives,
                               ReportSource source, TimePoint now) {
  BackendServerState* server = FindMutable(key);
  if (server == nullptr) return false;
  const auto old_limit = server->directives.max_requests_per_second;
  const bool was_leaving = is_leaving(*server);
  ServerDirectives applied = directives;
  if (directives.max_requests_per_second) {
    server->limit_named_at = now;
  } else if (source == ReportSource::kHealthCheck &&
             is_limit_held(*server, now)) {
    applied.max_requests_per_second = old_limit;
  }
  if (server->directives != applied) server->has_unpublished_change = true;
  ApplyDirectives(*server, applied, now);
  return old_limit.has_value() != applied.max_requests_per_second.has_value() ||
         was_leaving != is_leaving(*server);
}

bool ServerTable::is_limit_held(const BackendServerState& server,
                                TimePoint now) {
  const auto limit = server.directives.max_requests_per_second;
  if (!limit) return false;
  constexpr double kRequestsUnderLimit = 2;
  const double max_hold = std::chrono::duration<double>(kMaxLimitHold).count();
  const double hold =
      std::min(max_hold, *limit > 0 ? kRequestsUnderLimit / *limit : max_hold);
  return now - server.limit_named_at <
         std::max<Duration>(kMinLimitHold,
                            std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(hold)));
}

void ServerTable::ApplyDirectives(BackendServerState& server,
                                  const ServerDirectives& directives,
                                  TimePoint now) {
  server.directives = directives;
  server.directives_reported_at = now;
  // A later process with the same id is not leaving.
  if (directives.leaving_started_at_ms == server.registration.started_at_ms)
    FindOrAddHold(server, now).is_leaving = true;
}

const ServerTable::ServerHold* ServerTable::FindHold(
    const BackendServerState& server) const {
  const auto found = holds_.find(server.key);
  const bool is_same_process =
      found != holds_.end() &&
      found->second.started_at_ms == server.registration.started_at_ms;
  return is_same_process ? &found->second : nullptr;
}

ServerTable::ServerHold& ServerTable::FindOrAddHold(
    const BackendServerState& server, TimePoint now) {
  ServerHold& hold = holds_[server.key];
  if (hold.started_at_ms != server.registration.started_at_ms)
    hold = {server.registration.started_at_ms};
  hold.updated_at = now;
  return hold;
}

void ServerTable::RemoveOldHolds(TimePoint now) {
  std::erase_if(holds_, [&](const auto& item) {
    return !servers_.contains(item.first) &&
           now - std::max(item.second.updated_at, item.second.paused_until) >
               kHoldRetention;
  });
}

bool ServerTable::is_leaving(const BackendServerState& server) const {
  const ServerHold* hold = FindHold(server);
  return hold != nullptr && hold->is_leaving;
}

void ServerTable::OnPause(ServerKey key, Duration pause, TimePoint now) {
  const BackendServerState* server = Find(key);
  if (server == nullptr) return;
  ServerHold& hold = FindOrAddHold(*server, now);
  hold.paused_until = std::max(hold.paused_until, now + pause);
}

bool ServerTable::is_held_back(ServerKey key, TimePoint now) const {
  const BackendServerState* server = Find(key);
  const ServerHold* hold = server == nullptr ? nullptr : FindHold(*server);
  return hold != nullptr && (hold->is_leaving || now < hold->paused_until);
}

std::vector<ServerKey> ServerTable::HeldBackServers(const ServiceId& service,
                                                    TimePoint now) const {
  std::vector<ServerKey> servers;
  for (const auto& [key, hold] : holds_) {
    const BackendServerState* server = Find(key);
    if (server != nullptr && server->registration.service == service &&
        is_held_back(key, now)) {
      servers.push_back(key);
    }
  }
  return servers;
}

std::optional<Duration> ServerTable::HoldTimeLeft(const ServiceId& service,
                                                  TimePoint now) const {
  const auto found = pools_.find(service);
  if (found == pools_.end() || holds_.empty()) return std::nullopt;
  std::optional<Duration> time_left;
  for (const BackendServerState* server : found->second.servers) {
    if (!is_usable(*server, now)) continue;
    const ServerHold* hold = FindHold(*server);
    if (hold == nullptr || hold->paused_until <= now) return std::nullopt;
    const Duration left = hold->paused_until - now;
    time_left = std::min(time_left.value_or(left), left);
  }
  return time_left;
}

void ServerTable::OnHealthCheckSent(ServerKey key) {
  BackendServerState* server = FindMutable(key);
  if (server != nullptr && server->directives.max_requests_per_second)
    server->limited_requests.Take();
}

std::size_t ServerTable::LimitedServerCount() const {
  return static_cast<std::size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& item) {
        return item.second->directives.max_requests_per_second.has_value();
      }));
}

}  // namespace dogwood
