#include "Services/Gateway/gateway.h"

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

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kMetricsPath = "/metrics";

Incarnation StartTime() {
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          WallNow().time_since_epoch())
          .count()));
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Gateway::Gateway(asio::io_context& io, platform::NodeSettings settings,
                 std::string settings_path, std::unique_ptr<EventLog> log)
    : io_(io),
      context_(io, std::move(settings), std::move(log)),
      settings_path_(std::move(settings_path)),
      settings_text_(ReadFile(settings_path_)),
      sync_(context_),
      placements_(context_,
                  [this](const std::string& ip, const PeerMessage& message) {
                    link_.Send(ip, message);
                  }),
      link_(context_, sync_, placements_, StartTime()),
      prober_(context_),
      relay_(context_, placements_),
      acceptor_(io),
      stop_signals_(io, SIGTERM, SIGINT),
      reload_signals_(io, SIGHUP) {}

Result<void> Gateway::Listen(const tcp::endpoint& endpoint,
                             HttpServer::Handler handler) {
  TRY_ASSIGN(HttpServer server, HttpServer::Listen(io_.get_executor(), endpoint,
                                                   {}, std::move(handler)));
  servers_.push_back(std::move(server));
  return outcome::success();
}

Result<void> Gateway::Start(std::optional<std::uint16_t> metrics_port) {
  const platform::NodeSettings& settings = context_.settings;
  boost::system::error_code error;
  acceptor_.open(settings.callers.protocol(), error);
  if (!error)
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(settings.callers, error);
  if (!error) acceptor_.listen(1024, error);
  if (error) {
    return Fail(ErrorCode::kIo, "listen on port " +
                                    std::to_string(settings.callers.port()) +
                                    ": " + error.message());
  }
  TRY(Listen(settings.readiness,
             [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
               co_return AnswerReadiness(request);
             }));
  const auto address = asio::ip::make_address(settings.ip);
  TRY(Listen({address, settings.first_peer_port},
             [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
               co_return sync_.AnswerPeer(request);
             }));
  if (metrics_port) {
    TRY(Listen({address, *metrics_port},
               [this](HttpRequest) -> asio::awaitable<HttpResponse> {
                 co_return AnswerMetrics();
               }));
  }
  TRY(link_.Start());
  sync_.Start();
  prober_.Start();
  asio::co_spawn(io_, Accept(), asio::detached);
  asio::co_spawn(io_, Sweep(), asio::detached);
  asio::co_spawn(io_, AwaitStop(), asio::detached);
  asio::co_spawn(io_, AwaitReload(), asio::detached);
  asio::co_spawn(io_, WatchSettings(), asio::detached);
  context_.log->Record(EventId::kProcessStarted,
                       {{"callers", settings.callers.address().to_string()},
                        {"zone", settings.zone.value()}});
  context_.log->Flush();
  return outcome::success();
}

HttpResponse Gateway::AnswerReadiness(const HttpRequest& request) const {
  HttpResponse response;
  const bool is_ready = context_.phase == ServingPhase::kServing &&
                        !context_.servers.All().empty();
  response.status = PathOf(request.target) != platform::kReadinessPath ? 404
                    : is_ready                                         ? 200
                                                                       : 503;
  return response;
}

HttpResponse Gateway::AnswerMetrics() {
  const TimePoint now = MonotonicNow();
  const auto freshness = sync_.Freshness(now);
  context_.metrics.store_age_ms.Set(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          freshness.front().age.value_or(Duration::zero()))
          .count());
  HttpResponse response;
  response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  response.body = context_.registry.ExpositionText();
  return response;
}

asio::awaitable<void> Gateway::Accept() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kUseTuple);
    if (error == asio::error::operation_aborted || !acceptor_.is_open())
      co_return;
    if (error) {
      // Out of descriptors, most likely; open connections end soon.
      asio::steady_timer pause(io_, std::chrono::milliseconds(20));
      co_await pause.async_wait(kUseTuple);
      continue;
    }
    asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> Gateway::Serve(tcp::socket socket) {
  CallerConnection connection(context_, relay_, load_, std::move(socket));
  connections_.insert(&connection);
  ++load_.connections;
  co_await connection.Run();
  --load_.connections;
  connections_.erase(&connection);
}

asio::awaitable<void> Gateway::Sweep() {
  asio::steady_timer timer(io_);
  for (;;) {
    timer.expires_after(kSweepInterval);
    co_await timer.async_wait(kUseTuple);
    const TimePoint now = MonotonicNow();
    for (CallerConnection* connection : connections_)
      connection->CheckTime(now);
    relay_.CloseIdleConnections(now);
    context_.log->Flush();
  }
}

asio::awaitable<void> Gateway::AwaitStop() {
  const auto [error, signal] = co_await stop_signals_.async_wait(kUseTuple);
  if (error) co_return;
  context_.log->Record(
      EventId::kStopRequested,
      {{"signal", static_cast<std::int64_t>(signal)},
       {"requests", static_cast<std::int64_t>(load_.requests)},
       {"connections", static_cast<std::int64_t>(load_.connections)}});
  asio::co_spawn(io_, Leave(), asio::detached);
}

asio::awaitable<void> Gateway::Leave() {
  const TimePoint stopped_at = MonotonicNow();
  const TimePoint forced_at =
      stopped_at + context_.settings.bounds.shutdown_grace - kGraceReserve;
  context_.phase = ServingPhase::kLeaving;
  link_.AnnounceLeaving();
  asio::steady_timer timer(io_);
  bool has_closed_idle = false;
  for (TimePoint now = stopped_at; now < forced_at; now = MonotonicNow()) {
    if (!has_closed_idle && now - stopped_at >= kCloseIdleAfterStop) {
      for (CallerConnection* connection : connections_)
        connection->CloseIfIdle();
      has_closed_idle = true;
    }
    if (now - stopped_at >= kAcceptAfterStop) {
      boost::system::error_code ignored;
      acceptor_.close(ignored);
      for (CallerConnection* connection : connections_)
        connection->CloseIfIdle();
      if (load_.requests == 0) break;
    }
    timer.expires_after(std::chrono::milliseconds(50));
    co_await timer.async_wait(kUseTuple);
  }
  context_.log->Record(EventId::kProcessStopped,
                       {{"cut", static_cast<std::int64_t>(load_.requests)}});
  context_.log->Flush();
  io_.stop();
}

asio::awaitable<void> Gateway::AwaitReload() {
  for (;;) {
    const auto [error, signal] = co_await reload_signals_.async_wait(kUseTuple);
    if (error) co_return;
    Reload();
  }
}

asio::awaitable<void> Gateway::WatchSettings() {
  asio::steady_timer timer(io_);
  for (;;) {
    timer.expires_after(kSettingsCheckInterval);
    co_await timer.async_wait(kUseTuple);
    Reload();
  }
}

void Gateway::Reload() {
  const std::string text = ReadFile(settings_path_);
  if (text == settings_text_) return;
  settings_text_ = text;
  auto settings = platform::ParseNodeSettings(text);
  if (!settings) {
    const std::string error = settings.error().ToString();
    context_.log->Record(EventId::kSettingsFileRefused, {{"error", error}});
    return;
  }
  // Addresses of a running process stay; bounds, limits and contacts change.
  context_.settings.bounds = settings.value().bounds;
  context_.settings.contact_ips = settings.value().contact_ips;
  context_.settings.memory_bytes = settings.value().memory_bytes;
  context_.log->Record(EventId::kSettingsFileReloaded);
}

}  // namespace dogwood
