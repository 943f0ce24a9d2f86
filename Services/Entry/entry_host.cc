#include "Services/Entry/entry_host.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);
// New work is refused for this long after the last request ended, so that
// requests already on their way get an answer.
constexpr Duration kRefusalPeriod = std::chrono::milliseconds(200);
// How long cut requests may take to end.
constexpr Duration kCutLimit = std::chrono::milliseconds(500);
// Pause after a failed accept, for example when file descriptors run out.
constexpr Duration kAcceptPause = std::chrono::milliseconds(10);

std::string RandomHex() {
  std::random_device random;
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", random(), random());
  return std::string(text.data(), 16);
}

HttpResponse TextResponse(std::string_view type, std::string body) {
  HttpResponse response;
  response.headers.emplace_back("Content-Type", std::string(type));
  response.body = std::move(body);
  return response;
}

}  // namespace

EntryHost::EntryHost(EntrySettings settings, FleetConfiguration fleet,
                     const EntryParts& parts)
    : settings_(std::move(settings)),
      parts_(parts),
      metrics_(parts.metrics),
      fleet_(std::move(fleet)),
      pool_(settings_.workers),
      shared_{.dispatcher = parts_.dispatcher,
              .pool = pool_,
              .fleet = fleet_,
              .log = parts_.log,
              .metrics = metrics_,
              .claims = parts_.claims,
              .usage = parts_.usage},
      control_(parts.control),
      signals_(control_) {
  const std::string start = RandomHex();
  for (unsigned i = 0; i < settings_.workers; ++i) {
    workers_.push_back(std::make_unique<RelayWorker>(
        shared_, i, start + "-" + std::to_string(i) + "-"));
  }
  AddOwnRoutes();
}

EntryHost::~EntryHost() {
  for (const auto& worker : workers_) worker->Join();
  acceptor_.reset();
  pool_.Close();
  workers_.clear();
}

Result<void> EntryHost::Start() {
  TRY(LoadToken());
  TRY(OpenCallers());
  if (settings_.operators) {
    TRY(operators_.Listen(control_.get_executor(), *settings_.operators));
  }
  asio::co_spawn(workers_.front()->io_context(), AcceptCallers(),
                 asio::detached);
  for (const auto& worker : workers_) worker->Start();
  life_cycle_.Process(HostEvent::kStarted);
  parts_.log.Record(
      EventId::kProcessStarted,
      {{"callers_port", static_cast<std::int64_t>(callers_endpoint().port())},
       {"workers", static_cast<std::int64_t>(settings_.workers)}});
  return outcome::success();
}

Result<void> EntryHost::LoadToken() {
  if (settings_.operator_token_file.empty()) return outcome::success();
  TRY_ASSIGN(std::string token, ReadWholeFile(settings_.operator_token_file));
  while (!token.empty() && (token.back() == '\n' || token.back() == '\r'))
    token.pop_back();
  if (token.empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                "operator_token_file: the file holds no token");
  }
  operators_.set_token(std::move(token));
  return outcome::success();
}

Result<void> EntryHost::OpenCallers() {
  const tcp::endpoint& endpoint = settings_.callers;
  acceptor_.emplace(workers_.front()->io_context());
  boost::system::error_code error;
  acceptor_->open(endpoint.protocol(), error);
  if (!error)
    acceptor_->set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_->bind(endpoint, error);
  if (!error)
    acceptor_->listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Fail(ErrorCode::kIo, "listen on " + endpoint.address().to_string() +
                                    ":" + std::to_string(endpoint.port()) +
                                    ": " + error.message());
  }
  return outcome::success();
}

tcp::endpoint EntryHost::callers_endpoint() const {
  return acceptor_->local_endpoint();
}

asio::awaitable<void> EntryHost::AcceptCallers() {
  asio::steady_timer pause(workers_.front()->io_context());
  for (std::size_t next = 0;; ++next) {
    RelayWorker& worker = *workers_[next % workers_.size()];
    auto [error, socket] =
        co_await acceptor_->async_accept(worker.io_context(), kUseTuple);
    if (error == asio::error::operation_aborted || !acceptor_->is_open())
      co_return;
    if (error) {
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(kUseTuple);
      continue;
    }
    worker.Serve(std::move(socket));
  }
}

void EntryHost::HandleSignals() {
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  asio::co_spawn(control_, AwaitSignals(), asio::detached);
}

asio::awaitable<void> EntryHost::AwaitSignals() {
  while (true) {
    const auto [error, number] = co_await signals_.async_wait(kUseTuple);
    if (error) co_return;
    HandleStopRequest();
  }
}

void EntryHost::Run() {
  const auto work = asio::make_work_guard(control_);
  control_.run();
}

void EntryHost::RequestStop() {
  asio::post(control_, [this] { HandleStopRequest(); });
}

void EntryHost::HandleStopRequest() {
  if (!life_cycle_.Process(HostEvent::kStopRequested)) return;
  if (life_cycle_.phase() == HostPhase::kStopped) {
    FinishStop();
    return;
  }
  shared_.is_leaving.store(true);
  parts_.log.Record(EventId::kStopRequested, {{"in_flight", in_flight()}});
  asio::co_spawn(control_, Leave(), asio::detached);
}

// Waits until the last admitted request has ended.
asio::awaitable<void> EntryHost::Leave() {
  const TimePoint deadline = MonotonicNow() + settings_.stop_deadline;
  std::optional<TimePoint> drained_at;
  asio::steady_timer timer(control_);
  if (parts_.on_leaving) co_await parts_.on_leaving();
  while (life_cycle_.phase() == HostPhase::kLeaving) {
    const TimePoint now = MonotonicNow();
    if (!drained_at && in_flight() == 0) drained_at = now;
    if (drained_at && now >= *drained_at + kRefusalPeriod) {
      if (parts_.on_drained) co_await parts_.on_drained();
      life_cycle_.Process(HostEvent::kDrained);
      FinishStop();
    } else if (now >= deadline) {
      life_cycle_.Process(HostEvent::kDeadlinePassed);
      FinishStop();
    } else {
      timer.expires_after(kDrainPollInterval);
      co_await timer.async_wait(kUseTuple);
    }
  }
}

void EntryHost::FinishStop() {
  std::promise<void> closed;
  asio::post(workers_.front()->io_context(), [this, &closed] {
    boost::system::error_code ignored;
    acceptor_->close(ignored);
    closed.set_value();
  });
  closed.get_future().wait();
  for (const auto& worker : workers_) cut_ += worker->CutAll().get();
  const TimePoint limit = MonotonicNow() + kCutLimit;
  while (in_flight() > 0 && MonotonicNow() < limit)
    std::this_thread::sleep_for(kDrainPollInterval);
  for (const auto& worker : workers_) worker->Join();
  operators_.Stop();
  if (life_cycle_.is_forced()) {
    parts_.log.Record(EventId::kStopForced,
                      {{"cut", static_cast<std::int64_t>(cut_)}});
  }
  parts_.log.Record(EventId::kProcessStopped,
                    {{"cut", static_cast<std::int64_t>(cut_)}});
  parts_.log.Flush();
  control_.stop();
}

std::int64_t EntryHost::in_flight() const {
  std::int64_t sum = 0;
  for (const auto& worker : workers_) sum += worker->in_flight();
  return sum;
}

void EntryHost::ApplyFleet(FleetConfiguration fleet) {
  fleet_.Replace(std::move(fleet));
}

void EntryHost::AddOwnRoutes() {
  operators_.Route(
      "GET", "/metrics",
      [this](const HttpRequest& /*request*/) -> asio::awaitable<HttpResponse> {
        co_return TextResponse("text/plain; version=0.0.4",
                               parts_.metrics.ExpositionText());
      });
  operators_.Route(
      "GET", "/v1/status",
      [this](const HttpRequest& /*request*/) -> asio::awaitable<HttpResponse> {
        nlohmann::ordered_json status;
        status["host"] = settings_.host.value();
        status["zone"] = settings_.zone.value();
        status["phase"] = kHostPhaseNames.NameOf(life_cycle_.phase());
        status["in_flight"] = in_flight();
        status["workers"] = workers_.size();
        co_return TextResponse("application/json", status.dump() + "\n");
      });
}

}  // namespace dogwood
