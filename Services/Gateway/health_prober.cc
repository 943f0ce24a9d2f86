#include "Services/Gateway/health_prober.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

#include "Services/Gateway/own_stall.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

void HealthProber::Start() {
  asio::co_spawn(context_.io, Scan(), asio::detached);
}

bool HealthProber::is_due(const ServerState& server, TimePoint now) const {
  if (asking_.contains(server.key)) return false;
  if (server.entry.phase != ServerPhase::kReady || server.is_misdirected)
    return false;
  const auto asked = asked_at_.find(server.key);
  const Duration since_asked =
      asked == asked_at_.end() ? Duration::max() : now - asked->second;
  // Never above the rate that the settings allow.
  const Duration least(static_cast<Duration::rep>(
      1.2e9 / std::max(context_.settings.bounds.probes_per_second, 0.01)));
  if (since_asked < least) return false;
  if (server.next_check_at > now) return false;
  if (context_.servers.evacuated().contains(server.entry.zone) &&
      since_asked < kIdleRenewAfter) {
    return false;
  }
  const bool is_fresh =
      !server.needs_check && server.load && now - server.load_at < kRenewAfter;
  return !is_fresh;
}

asio::awaitable<void> HealthProber::Scan() {
  asio::steady_timer timer(context_.io);
  for (;;) {
    timer.expires_after(has_duty_ ? kScanInterval : kIdleScanInterval);
    co_await timer.async_wait(kUseTuple);
    if (!context_.routes) continue;
    const TimePoint now = MonotonicNow();
    if (now - duties_at_ >= kIdleScanInterval) FindDuties(now);
    for (const ServerKey key : duties_) {
      const ServerState* server = context_.servers.Find(key);
      if (server == nullptr || !is_due(*server, now)) continue;
      asking_.insert(key);
      asked_at_[key] = now;
      asio::co_spawn(context_.io, Ask(key), asio::detached);
    }
  }
}

void HealthProber::FindDuties(TimePoint now) {
  duties_at_ = now;
  duties_.clear();
  // The answer is the same for all servers of a service in a zone.
  std::map<std::pair<ServiceId, ZoneId>, bool> is_responsible;
  for (const ServerState* server : context_.servers.All()) {
    const ServiceId& service = server->entry.service;
    const ZoneId& zone = server->entry.zone;
    const auto [known, is_new] =
        is_responsible.try_emplace({service, zone}, false);
    if (is_new)
      known->second = context_.peers.is_responsible(service, zone, now);
    if (known->second) duties_.push_back(server->key);
  }
  has_duty_ = !duties_.empty();
  std::erase_if(clients_, [&](const auto& item) {
    return context_.servers.Find(item.first) == nullptr &&
           !asking_.contains(item.first);
  });
}

asio::awaitable<void> HealthProber::Ask(ServerKey key) {
  const ServerState* server = context_.servers.Find(key);
  const ServiceEntry* service =
      server == nullptr ? nullptr
                        : context_.routes->FindService(server->entry.service);
  const auto endpoint = server == nullptr
                            ? Result<asio::ip::tcp::endpoint>(
                                  Fail(ErrorCode::kNotFound, "server is gone"))
                            : ParseEndpoint(server->entry.address);
  if (service == nullptr || !endpoint) {
    asking_.erase(key);
    co_return;
  }
  auto& client = clients_[key];
  if (!client) {
    client = std::make_unique<HttpClient>(context_.io.get_executor(),
                                          endpoint.value());
  }
  HttpRequest request;
  request.target = service->health_path;
  context_.metrics.health_checks.Add();
  const TimePoint asked_at = MonotonicNow();
  const auto response = co_await client->Send(std::move(request), kTimeout);
  asking_.erase(key);
  if (response) {
    TakeAnswer(key, response.value());
    co_return;
  }
  // A kept connection may have been closed meanwhile; only silence or a refused
  // connection speaks against the server.
  const TimePoint due_at = asked_at + kTimeout;
  const TimePoint now = MonotonicNow();
  const bool is_silent = now >= due_at && !HasStalled(due_at, now);
  if (response.error().code == ErrorCode::kUnavailable || is_silent) {
    const std::string error = response.error().ToString();
    context_.log->Record(
        EventId::kServerUnusable,
        {{"server_key", static_cast<std::int64_t>(key.value())},
         {"reason", "health check"},
         {"error", error}});
    context_.servers.OnUnreachable(key, MonotonicNow());
  }
}

void HealthProber::TakeAnswer(ServerKey key, const HttpResponse& response) {
  const ServerState* server = context_.servers.Find(key);
  if (server == nullptr) return;
  MessageHead head;
  head.status = response.status;
  for (const auto& [name, value] : response.headers) head.AddField(name, value);
  const auto headers = platform::ReadServerHeaders(head);
  const TimePoint now = MonotonicNow();
  if (!headers.server_id.empty() &&
      headers.server_id != server->entry.id.value()) {
    context_.log->Record(EventId::kServerUnusable,
                         {{"server", server->entry.id.value()},
                          {"reason", "another server has its address"},
                          {"found", headers.server_id}});
    context_.servers.OnMisdirected(key);
    return;
  }
  ReportedLoad load{server->own_in_flight, 1};
  if (headers.load) {
    load = {headers.load->running + headers.load->waiting,
            headers.load->slowdown};
  }
  const Duration cold_left = headers.cold_left.value_or(Duration::zero());
  const bool was_cold = server->cold_until > now;
  if (cold_left > Duration::zero() && !was_cold) {
    context_.log->Record(
        EventId::kServerCold,
        {{"server", server->entry.id.value()},
         {"cold_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(cold_left)
              .count()}});
  }
  context_.servers.OnReport(key, ReportSource::kHealthCheck, load,
                            headers.cold_left, now);
}

}  // namespace dogwood
