#include "Services/Gateway/gateway.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <fstream>
#include <sstream>

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kMetricsPath = "/metrics";
constexpr int kListenBacklog = 1024;  // connections
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr Duration kShutdownPollInterval = std::chrono::milliseconds(50);

Incarnation IncarnationFromStartTime() {
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          WallClockNow().time_since_epoch())
          .count()));
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Gateway::Gateway(asio::io_context& io_context, platform::HostSettings settings,
                 std::string settings_path, std::unique_ptr<EventLog> log)
    : io_context_(io_context),
      context_(io_context, std::move(settings), std::move(log)),
      settings_path_(std::move(settings_path)),
      settings_text_(ReadFile(settings_path_)),
      replicator_(context_),
      server_selector_(
          context_,
          [this](const std::string& ip, const PeerMessage& message) {
            messenger_.Send(ip, message);
          }),
      poison_request_guard_(context_,
                            [this](const PoisonRequestGuard::Records& records) {
                              ShareSuspects(records);
                            }),
      refused_request_store_(context_, replicator_.store()),
      quota_gate_(context_,
                  [this](const std::string& ip, const PeerMessage& message) {
                    messenger_.Send(ip, message);
                  }),
      rollout_controller_(
          context_, replicator_.store(),
          [this](const std::string& ip, const PeerMessage& message) {
            messenger_.Send(ip, message);
          }),
      messenger_(context_, replicator_, server_selector_, poison_request_guard_,
                 quota_gate_, rollout_controller_, IncarnationFromStartTime()),
      health_checker_(context_),
      request_forwarder_(context_, server_selector_, poison_request_guard_,
                         quota_gate_),
      request_memory_(context_.settings.memory_bytes,
                      request_forwarder_.response_memory()),
      acceptor_(io_context),
      stop_signals_(io_context, SIGTERM, SIGINT),
      reload_signals_(io_context, SIGHUP) {
  request_forwarder_.response_memory().set_on_exhausted(
      [this] { AbandonMostStalledCaller(); });
  server_selector_.set_on_attempt_ended(
      [this](ServerKey server, std::uint64_t request_kind,
             AttemptOutcome outcome, double service_time_ratio) {
        rollout_controller_.OnAttemptEnded(server, request_kind, outcome,
                                           service_time_ratio);
      });
  request_memory_.set_give_up_slowest(
      [this](RequestMemory::Part part) { return GiveUpSlowestRequest(part); });
}

Result<void> Gateway::Listen(const tcp::endpoint& endpoint,
                             std::size_t max_connections,
                             HttpServer::Handler handler) {
  HttpServer::Options options;
  options.body_limit_bytes = kMaxInternalBodyBytes;
  options.idle_timeout = kInternalRequestTimeout;
  options.max_connections = max_connections;
  options.max_buffer_bytes = kMaxInternalBufferBytes;
  TRY_ASSIGN(HttpServer server,
             HttpServer::Listen(io_context_.get_executor(), endpoint, options,
                                std::move(handler)));
  http_servers_.push_back(std::move(server));
  return outcome::success();
}

Result<void> Gateway::Start(std::optional<std::uint16_t> metrics_port) {
  const platform::HostSettings& settings = context_.settings;
  boost::system::error_code error;
  acceptor_.open(settings.caller_endpoint.protocol(), error);
  if (!error)
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(settings.caller_endpoint, error);
  if (!error) acceptor_.listen(kListenBacklog, error);
  if (error) {
    return Fail(ErrorCode::kIo,
                "cannot listen for callers on port " +
                    std::to_string(settings.caller_endpoint.port()) + ": " +
                    error.message());
  }
  TRY(Listen(settings.readiness_endpoint, kMaxPollingConnections,
             [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
               co_return HandleReadiness(request);
             }));
  const auto address = asio::ip::make_address(settings.ip);
  TRY(Listen({address, settings.first_peer_port}, kMaxPeerConnections,
             [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
               co_return replicator_.HandlePeerRequest(request);
             }));
  if (metrics_port) {
    TRY(Listen({address, *metrics_port}, kMaxPollingConnections,
               [this](HttpRequest) -> asio::awaitable<HttpResponse> {
                 co_return HandleMetrics();
               }));
  }
  TRY(messenger_.Start());
  replicator_.Start();
  refused_request_store_.Start(
      [this](const PoisonRequestGuard::Records& records) {
        messenger_.ShareSuspects(
            poison_request_guard_.Merge(records, MonotonicNow()));
      });
  rollout_controller_.Start();
  health_checker_.Start();
  asio::co_spawn(io_context_, AcceptConnections(), asio::detached);
  asio::co_spawn(io_context_, RunSweep(), asio::detached);
  asio::co_spawn(io_context_, AwaitStopSignal(), asio::detached);
  asio::co_spawn(io_context_, AwaitReloadSignal(), asio::detached);
  asio::co_spawn(io_context_, WatchSettingsFile(), asio::detached);
  context_.log->Record(
      EventId::kProcessStarted,
      {{"callers", settings.caller_endpoint.address().to_string()},
       {"zone", settings.zone.value()}});
  context_.log->Flush();
  return outcome::success();
}

HttpResponse Gateway::HandleReadiness(const HttpRequest& request) const {
  HttpResponse response;
  const bool is_ready =
      context_.serving_state == ServingState::kServing &&
      !context_.server_table.All().empty() &&
      context_.CurrentKeyKnowledge(MonotonicNow()).may_use_keys;
  response.status = TargetPath(request.target) != platform::kReadinessPath ? 404
                    : is_ready                                             ? 200
                               : 503;
  return response;
}

HttpResponse Gateway::HandleMetrics() {
  const TimePoint now = MonotonicNow();
  const auto version_ages = replicator_.ReplicaVersionAges(now);
  context_.metrics.store_age_ms.Set(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          version_ages.front().age.value_or(Duration::zero()))
          .count());
  const auto key_age = context_.KeyAge(now);
  context_.metrics.key_age_ms.Set(
      key_age ? std::chrono::duration_cast<std::chrono::milliseconds>(*key_age)
                    .count()
              : -1);
  context_.metrics.request_bytes.Set(
      static_cast<std::int64_t>(request_memory_.used_bytes()));
  context_.metrics.response_body_bytes.Set(static_cast<std::int64_t>(
      request_forwarder_.response_memory().used_bytes()));
  HttpResponse response;
  response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  response.body = context_.registry.ToPrometheusText();
  return response;
}

void Gateway::ShareSuspects(const PoisonRequestGuard::Records& records) {
  messenger_.ShareSuspects(records);
  const TimePoint now = MonotonicNow();
  PoisonRequestGuard::Records refused = records;
  std::erase_if(refused, [&](const SuspectRecord& record) {
    return !poison_request_guard_.is_refused(record.fingerprint, now);
  });
  refused_request_store_.Save(refused);
}

std::size_t Gateway::MaxCallerConnections() const {
  const std::size_t all = context_.settings.max_file_descriptors;
  const std::size_t sockets = all - std::min(kReservedFileDescriptors, all / 2);
  return sockets - sockets / 4;
}

bool Gateway::has_room_for_connection() const {
  return caller_connection_totals_.connections < MaxCallerConnections() &&
         request_memory_.has_room(RequestMemory::Part::kConnection,
                                  RequestMemory::kConnectionBytes);
}

asio::awaitable<void> Gateway::AcceptConnections() {
  for (;;) {
    while (!has_room_for_connection() && acceptor_.is_open()) {
      GiveUpConnection();
      asio::steady_timer pause(io_context_, kAcceptRetryDelay);
      co_await pause.async_wait(kUseAwaitableTuple);
    }
    auto [error, socket] = co_await acceptor_.async_accept(kUseAwaitableTuple);
    // A connection may have been accepted just before the acceptor was closed.
    if (error && !acceptor_.is_open()) co_return;
    if (error) {
      // Most likely out of file descriptors; open connections release some.
      asio::steady_timer pause(io_context_, kAcceptRetryDelay);
      co_await pause.async_wait(kUseAwaitableTuple);
      continue;
    }
    asio::co_spawn(io_context_, ServeConnection(std::move(socket)),
                   asio::detached);
    if (!acceptor_.is_open()) co_return;
  }
}

void Gateway::AbandonMostStalledCaller() {
  const TimePoint now = MonotonicNow();
  if (now - caller_abandoned_at_ < kAbandonInterval) return;
  CallerConnection* most_stalled = nullptr;
  Duration longest_stall = kMinWriteStall;
  for (CallerConnection* connection : caller_connections_) {
    const auto stall = connection->WriteStall(now);
    if (!stall || *stall < longest_stall) continue;
    longest_stall = *stall;
    most_stalled = connection;
  }
  if (most_stalled == nullptr) return;
  caller_abandoned_at_ = now;
  most_stalled->AbandonStalledCaller();
}

CallerConnection* Gateway::FindSlowestRequest(
    const std::function<bool(const CallerConnection&)>& is_candidate) const {
  const TimePoint now = MonotonicNow();
  CallerConnection* slowest = nullptr;
  double lowest_rate = 0;
  for (CallerConnection* connection : caller_connections_) {
    const auto rate = connection->ReadRate(now);
    if (!rate || !is_candidate(*connection)) continue;
    if (slowest != nullptr && *rate >= lowest_rate) continue;
    lowest_rate = *rate;
    slowest = connection;
  }
  return slowest;
}

bool Gateway::GiveUpSlowestRequest(RequestMemory::Part part) {
  CallerConnection* slowest =
      FindSlowestRequest([part](const CallerConnection& connection) {
        return connection.reserved_bytes(part) > 0;
      });
  if (slowest == nullptr) return false;
  slowest->GiveUpRequest("memory");
  return true;
}

bool Gateway::GiveUpConnection() {
  CallerConnection* connection =
      FindSlowestRequest([](const CallerConnection&) { return true; });
  if (connection == nullptr) {
    const TimePoint now = MonotonicNow();
    Duration longest = kMinIdleTime;
    for (CallerConnection* candidate : caller_connections_) {
      const auto idle_time = candidate->IdleTime(now);
      if (!idle_time || *idle_time < longest) continue;
      longest = *idle_time;
      connection = candidate;
    }
  }
  if (connection == nullptr) return false;
  connection->GiveUpRequest("connections");
  return true;
}

bool Gateway::CloseIdleCallerConnections() {
  bool is_any_busy = false;
  for (CallerConnection* connection : caller_connections_) {
    connection->CloseIfIdle();
    is_any_busy = is_any_busy || connection->is_busy();
  }
  return is_any_busy;
}

void Gateway::StopAccepting() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  // Closing the acceptor resets the connections that wait.
  while (!error) {
    tcp::socket socket(io_context_);
    acceptor_.accept(socket, error);
    if (!error) {
      asio::co_spawn(io_context_, ServeConnection(std::move(socket)),
                     asio::detached);
    }
  }
  acceptor_.close(error);
}

asio::awaitable<void> Gateway::ServeConnection(tcp::socket socket) {
  CallerConnection connection(context_, request_forwarder_,
                              caller_connection_totals_, request_memory_,
                              std::move(socket));
  caller_connections_.insert(&connection);
  ++caller_connection_totals_.connections;
  request_memory_.AddConnection();
  co_await connection.Run();
  request_memory_.Release(RequestMemory::Part::kConnection,
                          RequestMemory::kConnectionBytes);
  --caller_connection_totals_.connections;
  caller_connections_.erase(&connection);
}

asio::awaitable<void> Gateway::RunSweep() {
  asio::steady_timer timer(io_context_);
  for (;;) {
    timer.expires_after(kSweepInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
    const TimePoint now = MonotonicNow();
    for (CallerConnection* connection : caller_connections_)
      connection->CloseIfTimedOut(now);
    request_forwarder_.CloseExpiredConnections(now);
    LogKeyLease(now);
    context_.log->Flush();
  }
}

void Gateway::LogKeyLease(TimePoint now) {
  const bool may_use_keys = context_.CurrentKeyKnowledge(now).may_use_keys;
  if (std::exchange(may_use_keys_, may_use_keys) == may_use_keys) return;
  const auto age = context_.KeyAge(now);
  context_.log->Record(
      EventId::kKeyLeaseChanged,
      {{"is_valid", may_use_keys},
       {"age_ms",
        age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age)
                  .count()
            : -1}});
}

asio::awaitable<void> Gateway::AwaitStopSignal() {
  const auto [error, signal] =
      co_await stop_signals_.async_wait(kUseAwaitableTuple);
  if (error) co_return;
  context_.log->Record(
      EventId::kStopRequested,
      {{"signal", static_cast<std::int64_t>(signal)},
       {"requests",
        static_cast<std::int64_t>(caller_connection_totals_.requests)},
       {"connections",
        static_cast<std::int64_t>(caller_connection_totals_.connections)}});
  asio::co_spawn(io_context_, ShutDown(), asio::detached);
}

asio::awaitable<void> Gateway::ShutDown() {
  const TimePoint stop_requested_at = MonotonicNow();
  const TimePoint forced_stop_at =
      stop_requested_at + context_.settings.platform_limits.shutdown_grace -
      kShutdownReserve;
  context_.serving_state = ServingState::kDraining;
  context_.shutdown = ShutdownSchedule{
      stop_requested_at + kForecastPeriodAfterStop,
      stop_requested_at + kAcceptPeriodAfterStop, forced_stop_at};
  context_.peer_table.BeginDraining();
  messenger_.AnnounceDraining();
  asio::steady_timer timer(io_context_);
  bool has_closed_idle = false;
  for (TimePoint now = stop_requested_at; now < forced_stop_at;
       now = MonotonicNow()) {
    if (!has_closed_idle && now - stop_requested_at >= kCloseIdleAfterStop) {
      CloseIdleCallerConnections();
      has_closed_idle = true;
    }
    if (now >= context_.shutdown->accept_until) {
      // Requests on the last connections are read until the next round.
      const bool has_stopped_accepting = !acceptor_.is_open();
      if (!has_stopped_accepting) StopAccepting();
      if (has_stopped_accepting && !CloseIdleCallerConnections()) break;
    }
    server_selector_.RefuseLateSelections(*context_.shutdown, now);
    timer.expires_after(kShutdownPollInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
  }
  for (const CallerConnection* connection : caller_connections_)
    connection->LogCutRequests(stop_requested_at);
  context_.log->Record(
      EventId::kProcessStopped,
      {{"cut", static_cast<std::int64_t>(caller_connection_totals_.requests)}});
  context_.log->Flush();
  io_context_.stop();
}

asio::awaitable<void> Gateway::AwaitReloadSignal() {
  for (;;) {
    const auto [error, signal] =
        co_await reload_signals_.async_wait(kUseAwaitableTuple);
    if (error) co_return;
    ReloadSettings();
  }
}

asio::awaitable<void> Gateway::WatchSettingsFile() {
  asio::steady_timer timer(io_context_);
  for (;;) {
    timer.expires_after(kSettingsCheckInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
    ReloadSettings();
  }
}

void Gateway::ReloadSettings() {
  const std::string text = ReadFile(settings_path_);
  if (text == settings_text_) return;
  settings_text_ = text;
  auto settings = platform::ParseHostSettings(text);
  if (!settings) {
    const std::string error = settings.error().ToString();
    context_.log->Record(EventId::kSettingsFileRefused, {{"error", error}});
    return;
  }
  // Addresses cannot change while the process runs.
  context_.settings.platform_limits = settings.value().platform_limits;
  context_.settings.seed_ips = settings.value().seed_ips;
  context_.settings.memory_bytes = settings.value().memory_bytes;
  context_.log->Record(EventId::kSettingsFileReloaded);
}

}  // namespace dogwood
