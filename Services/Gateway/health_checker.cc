#include "Services/Gateway/health_checker.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

#include "Services/Gateway/process_stall.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr double kNanosecondsPerSecond = 1e9;
// Factor on the interval between two checks of a server.
constexpr double kIntervalMargin = 1.2;
// Used when the settings allow a lower rate.
constexpr double kMinChecksPerSecond = 0.01;
// Share of a server's limit that is used for health checks.
constexpr double kCheckShareOfLimit = 0.1;

// Longest interval between two checks of a limited server; bounds the time
// until the end of a limit is noticed without other requests.
constexpr Duration kMaxLimitedCheckInterval = std::chrono::seconds(2);

Duration MinIntervalUnderLimit(const BackendServerState& server) {
  const auto limit = server.directives.max_requests_per_second;
  if (!limit) return Duration::zero();
  const double max_interval =
      std::chrono::duration<double>(kMaxLimitedCheckInterval).count();
  const double checks_per_second =
      std::max(kCheckShareOfLimit * *limit, 1 / max_interval);
  return Duration(
      static_cast<Duration::rep>(kNanosecondsPerSecond / checks_per_second));
}

}  // namespace

void HealthChecker::Start() {
  asio::co_spawn(context_.io_context, RunSchedule(), asio::detached);
}

bool HealthChecker::is_check_due(const BackendServerState& server,
                                 TimePoint now) const {
  if (checks_in_flight_.contains(server.key)) return false;
  if (context_.server_table.is_held_back(server.key, now)) return false;
  if (server.registration.availability != ServerAvailability::kReady ||
      server.is_misdirected)
    return false;
  const auto last_check = checked_at_.find(server.key);
  const Duration since_last_check = last_check == checked_at_.end()
                                        ? Duration::max()
                                        : now - last_check->second;
  // Never exceeds the rate in the settings, also with timer jitter.
  const Duration min_interval(static_cast<Duration::rep>(
      kIntervalMargin * kNanosecondsPerSecond /
      std::max(context_.settings.platform_limits.health_checks_per_second,
               kMinChecksPerSecond)));
  if (since_last_check < std::max(min_interval, MinIntervalUnderLimit(server)))
    return false;
  if (server.next_health_check_at > now) return false;
  if (context_.server_table.evacuated().contains(server.registration.zone) &&
      since_last_check < kInactiveCheckInterval) {
    return false;
  }
  const bool is_fresh = !server.needs_health_check && server.load &&
                        now - server.load_reported_at < kLoadReportMaxAge;
  return !is_fresh;
}

asio::awaitable<void> HealthChecker::RunSchedule() {
  asio::steady_timer timer(context_.io_context);
  for (;;) {
    timer.expires_after(has_assigned_servers_ ? kScheduleInterval
                                              : kAssignmentInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
    if (!context_.route_table) continue;
    const TimePoint now = MonotonicNow();
    if (now - assigned_at_ >= kAssignmentInterval) UpdateAssignments(now);
    for (const ServerKey key : assigned_servers_) {
      const BackendServerState* server = context_.server_table.Find(key);
      if (server == nullptr || !is_check_due(*server, now)) continue;
      checks_in_flight_.insert(key);
      checked_at_[key] = now;
      asio::co_spawn(context_.io_context, CheckServer(key), asio::detached);
    }
  }
}

void HealthChecker::UpdateAssignments(TimePoint now) {
  assigned_at_ = now;
  assigned_servers_.clear();
  // Monitoring is assigned per service and zone.
  std::map<std::pair<ServiceId, ZoneId>, bool> is_monitoring;
  for (const BackendServerState* server : context_.server_table.All()) {
    const ServiceId& service = server->registration.service;
    const ZoneId& zone = server->registration.zone;
    const auto [known, is_new] =
        is_monitoring.try_emplace({service, zone}, false);
    if (is_new)
      known->second = context_.peer_table.is_monitoring(service, zone, now);
    if (known->second) assigned_servers_.push_back(server->key);
  }
  has_assigned_servers_ = !assigned_servers_.empty();
  std::erase_if(clients_, [&](const auto& item) {
    return context_.server_table.Find(item.first) == nullptr &&
           !checks_in_flight_.contains(item.first);
  });
}

asio::awaitable<void> HealthChecker::CheckServer(ServerKey key) {
  const BackendServerState* server = context_.server_table.Find(key);
  const RoutedService* service =
      server == nullptr
          ? nullptr
          : context_.route_table->FindService(server->registration.service);
  const auto endpoint =
      server == nullptr
          ? Result<asio::ip::tcp::endpoint>(Fail(
                ErrorCode::kNotFound, "the server is no longer registered"))
          : ParseEndpoint(server->registration.address);
  if (service == nullptr || !endpoint) {
    checks_in_flight_.erase(key);
    co_return;
  }
  auto& client = clients_[key];
  if (!client) {
    client =
        std::make_unique<HttpClient>(context_.io_context.get_executor(),
                                     endpoint.value(), kMaxCheckResponseBytes);
  }
  HttpRequest request;
  request.target = service->health_path;
  context_.metrics.health_checks_sent.Add();
  context_.server_table.OnHealthCheckSent(key);
  const TimePoint sent_at = MonotonicNow();
  const auto response =
      co_await client->Send(std::move(request), kCheckTimeout);
  checks_in_flight_.erase(key);
  if (response) {
    HandleResponse(key, response.value());
    co_return;
  }
  // The server may have closed the kept-alive connection, so only a timeout or
  // a failed connection attempt makes it unreachable. A timeout does not count
  // when this process was stalled and may not have read the response yet.
  const TimePoint timeout_at = sent_at + kCheckTimeout;
  const TimePoint now = MonotonicNow();
  const bool has_timed_out =
      now >= timeout_at && !IsProcessStalled(timeout_at, now);
  if (response.error().code == ErrorCode::kUnavailable || has_timed_out) {
    const std::string error = response.error().ToString();
    context_.log->Record(
        EventId::kServerUnusable,
        {{"server_key", static_cast<std::int64_t>(key.value())},
         {"reason", "health check failed"},
         {"error", error}});
    context_.server_table.OnUnreachable(key, MonotonicNow());
  }
}

void HealthChecker::HandleResponse(ServerKey key,
                                   const HttpResponse& response) {
  const BackendServerState* server = context_.server_table.Find(key);
  if (server == nullptr) return;
  MessageHead head;
  head.status = response.status;
  for (const auto& [name, value] : response.headers) head.AddField(name, value);
  const auto headers = platform::ParseServerHeaders(head);
  const TimePoint now = MonotonicNow();
  if (!headers.server_id.empty() &&
      headers.server_id != server->registration.id.value()) {
    context_.log->Record(EventId::kServerUnusable,
                         {{"server", server->registration.id.value()},
                          {"reason", "another server responds at its address"},
                          {"found", headers.server_id}});
    context_.server_table.OnMisdirected(key);
    return;
  }
  ReportedLoad load{server->own_in_flight, 1};
  if (headers.load) {
    load = {headers.load->running_requests + headers.load->queued_requests,
            headers.load->slowdown};
  }
  const Duration cold_left = headers.cold_left.value_or(Duration::zero());
  const bool was_cold = server->cold_until > now;
  if (cold_left > Duration::zero() && !was_cold) {
    context_.log->Record(
        EventId::kServerCold,
        {{"server", server->registration.id.value()},
         {"cold_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(cold_left)
              .count()}});
  }
  context_.server_table.OnReport(key, ReportSource::kHealthCheck, load,
                                 headers.cold_left, now);
  ServerDirectives directives{headers.max_requests_per_second};
  if (headers.is_leaving)
    directives.leaving_started_at_ms = server->registration.started_at_ms;
  context_.ApplyDirectives(key, directives, ReportSource::kHealthCheck,
                           context_.settings.ip);
  if (headers.pause) context_.ApplyPause(key, *headers.pause);
}

}  // namespace dogwood
