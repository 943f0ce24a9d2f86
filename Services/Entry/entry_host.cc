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

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);
// Keeps the listener open after the last request, so that requests already in
// transit receive a refusal instead of a connection error.
constexpr Duration kRefusalPeriodAfterDrain = std::chrono::milliseconds(200);
// Time that aborted sessions get to finish.
constexpr Duration kAbortTimeout = std::chrono::milliseconds(500);
// Delay after a failed accept, for example when file descriptors run out.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(10);

std::string RandomHexId() {
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
                     const EntryHostDependencies& dependencies)
    : settings_(std::move(settings)),
      dependencies_(dependencies),
      metrics_(dependencies.metrics),
      fleet_(std::move(fleet)),
      pool_(settings_.workers),
      relay_{.dispatcher = dependencies_.dispatcher,
             .pool = pool_,
             .fleet = fleet_,
             .log = dependencies_.log,
             .metrics = metrics_,
             .claims = dependencies_.claims,
             .usage = dependencies_.usage},
      control_context_(dependencies.control),
      signals_(control_context_) {
  const std::string process_id = RandomHexId();
  for (unsigned i = 0; i < settings_.workers; ++i) {
    workers_.push_back(std::make_unique<RelayWorker>(
        relay_, i, process_id + "-" + std::to_string(i) + "-"));
  }
  RegisterBuiltInRoutes();
}

EntryHost::~EntryHost() {
  for (const auto& worker : workers_) worker->Join();
  acceptor_.reset();
  pool_.Close();
  workers_.clear();
}

Result<void> EntryHost::Start() {
  TRY(LoadOperatorToken());
  TRY(OpenCallerListener());
  if (settings_.operators) {
    TRY(operator_listener_.Listen(control_context_.get_executor(),
                                  *settings_.operators));
  }
  asio::co_spawn(workers_.front()->io_context(), AcceptCallerConnections(),
                 asio::detached);
  for (const auto& worker : workers_) worker->Start();
  life_cycle_.Process(HostEvent::kStarted);
  dependencies_.log.Record(
      EventId::kProcessStarted,
      {{"callers_port", static_cast<std::int64_t>(callers_endpoint().port())},
       {"workers", static_cast<std::int64_t>(settings_.workers)}});
  return outcome::success();
}

Result<void> EntryHost::LoadOperatorToken() {
  if (settings_.operator_token_file.empty()) return outcome::success();
  TRY_ASSIGN(std::string token, ReadWholeFile(settings_.operator_token_file));
  while (!token.empty() && (token.back() == '\n' || token.back() == '\r'))
    token.pop_back();
  if (token.empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                "operator_token_file: the file holds no token");
  }
  operator_listener_.set_token(std::move(token));
  return outcome::success();
}

Result<void> EntryHost::OpenCallerListener() {
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
    return Fail(ErrorCode::kIo,
                "cannot listen on " + endpoint.address().to_string() + ":" +
                    std::to_string(endpoint.port()) + ": " + error.message());
  }
  return outcome::success();
}

tcp::endpoint EntryHost::callers_endpoint() const {
  return acceptor_->local_endpoint();
}

asio::awaitable<void> EntryHost::AcceptCallerConnections() {
  asio::steady_timer retry_timer(workers_.front()->io_context());
  for (std::size_t next = 0;; ++next) {
    RelayWorker& worker = *workers_[next % workers_.size()];
    auto [error, socket] = co_await acceptor_->async_accept(worker.io_context(),
                                                            kUseAwaitableTuple);
    if (error == asio::error::operation_aborted || !acceptor_->is_open())
      co_return;
    if (error) {
      retry_timer.expires_after(kAcceptRetryDelay);
      co_await retry_timer.async_wait(kUseAwaitableTuple);
      continue;
    }
    worker.Serve(std::move(socket));
  }
}

void EntryHost::HandleSignals() {
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  asio::co_spawn(control_context_, WaitForSignals(), asio::detached);
}

asio::awaitable<void> EntryHost::WaitForSignals() {
  while (true) {
    const auto [error, number] =
        co_await signals_.async_wait(kUseAwaitableTuple);
    if (error) co_return;
    HandleStopRequest();
  }
}

void EntryHost::Run() {
  const auto work = asio::make_work_guard(control_context_);
  control_context_.run();
}

void EntryHost::RequestStop() {
  asio::post(control_context_, [this] { HandleStopRequest(); });
}

void EntryHost::HandleStopRequest() {
  if (!life_cycle_.Process(HostEvent::kStopRequested)) return;
  if (life_cycle_.phase() == HostPhase::kStopped) {
    FinishStop();
    return;
  }
  relay_.is_leaving.store(true);
  dependencies_.log.Record(EventId::kStopRequested,
                           {{"in_flight", in_flight()}});
  asio::co_spawn(control_context_, DrainAndStop(), asio::detached);
}

// Waits for the last admitted request or the stop deadline, then stops.
asio::awaitable<void> EntryHost::DrainAndStop() {
  const TimePoint deadline = MonotonicNow() + settings_.stop_deadline;
  std::optional<TimePoint> drained_at;
  asio::steady_timer timer(control_context_);
  if (dependencies_.on_leaving) co_await dependencies_.on_leaving();
  while (life_cycle_.phase() == HostPhase::kDraining) {
    const TimePoint now = MonotonicNow();
    if (!drained_at && in_flight() == 0) drained_at = now;
    if (drained_at && now >= *drained_at + kRefusalPeriodAfterDrain) {
      if (dependencies_.on_drained) co_await dependencies_.on_drained();
      life_cycle_.Process(HostEvent::kDrained);
      FinishStop();
    } else if (now >= deadline) {
      life_cycle_.Process(HostEvent::kStopTimedOut);
      FinishStop();
    } else {
      timer.expires_after(kDrainPollInterval);
      co_await timer.async_wait(kUseAwaitableTuple);
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
  for (const auto& worker : workers_)
    aborted_request_count_ += worker->AbortAllRequests().get();
  const TimePoint limit = MonotonicNow() + kAbortTimeout;
  // A session whose worker stops while it waits for the end of an upload is
  // never destroyed, because the two own each other.
  while (session_count() > 0 && MonotonicNow() < limit)
    std::this_thread::sleep_for(kDrainPollInterval);
  for (const auto& worker : workers_) worker->Join();
  operator_listener_.Stop();
  if (life_cycle_.is_forced()) {
    dependencies_.log.Record(
        EventId::kStopForced,
        {{"cut", static_cast<std::int64_t>(aborted_request_count_)}});
  }
  dependencies_.log.Record(
      EventId::kProcessStopped,
      {{"cut", static_cast<std::int64_t>(aborted_request_count_)}});
  dependencies_.log.Flush();
  control_context_.stop();
}

std::size_t EntryHost::session_count() const {
  std::size_t sum = 0;
  for (const auto& worker : workers_) sum += worker->session_count();
  return sum;
}

std::int64_t EntryHost::in_flight() const {
  std::int64_t sum = 0;
  for (const auto& worker : workers_) sum += worker->in_flight();
  return sum;
}

void EntryHost::ApplyFleetConfiguration(FleetConfiguration fleet) {
  fleet_.Replace(std::move(fleet));
}

void EntryHost::RegisterBuiltInRoutes() {
  operator_listener_.AddRoute(
      "GET", "/metrics",
      [this](const HttpRequest& /*request*/) -> asio::awaitable<HttpResponse> {
        co_return TextResponse("text/plain; version=0.0.4",
                               dependencies_.metrics.ToPrometheusText());
      });
  operator_listener_.AddRoute(
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
