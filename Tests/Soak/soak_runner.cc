#include "Tests/Soak/soak_world.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdio>

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(kUseTuple);
}

std::string AnswerBody(const std::string& id) { return "answer to " + id; }

std::string RouteOf(const std::string& name, const std::string& prefix,
                    const std::string& kind) {
  return R"({"entry_kind":"routes","metadata":{"name":")" + name +
         R"("},"spec":{"host":"a.example","prefix":")" + prefix +
         R"(","kind":")" + kind +
         R"(","timeout":"1500ms","latency_goal":"300ms","priority":1,)"
         R"("service":"s","max_attempts":2}},)";
}

std::string VersionPath(std::uint64_t version) {
  return "/v/" + std::to_string(version) + "/";
}

}  // namespace

SoakWorld::SoakWorld(SoakOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      store_(io_),
      block_lock_(io_) {
  PutPolicy();
  for (int i = 0; i < options_.servers; ++i) {
    servers_.push_back(std::make_unique<ScriptedBackend>(
        io_, "i-" + std::to_string(i), [this, i](const SeenRequest& request) {
          return AnswerOf(i, request);
        }));
    const auto endpoint = ParseEndpoint(servers_.back()->address());
    server_links_.push_back(
        std::make_unique<FaultProxy>(io_, endpoint.value()));
    failing_share_.push_back(0);
    draining_from_.push_back({});
    PutServer(i, "ready");
  }
  const std::string contact = ReserveAddresses();
  for (int i = 0; i < options_.hosts; ++i) {
    store_links_.push_back(
        std::make_unique<FaultProxy>(io_, store_.endpoint()));
    hosts_.push_back(std::make_unique<HostProcess>(HostProcess::Options{
        options_.program, options_.folder, contact + std::to_string(i + 1),
        i % 2 == 0 ? "z0" : "z1", store_links_.back()->address(),
        "\"" + contact + "1:1\", \"" + contact + "2:1\""}));
  }
}

std::string SoakWorld::ReserveAddresses() {
  // A part of loopback that no other test uses; soaks that run side by side
  // must not share a block, or they reach each other's gateways.
  constexpr int kBlocks = 250;
  for (int i = 0; i < kBlocks; ++i) {
    std::string prefix =
        "127.251." + std::to_string((::getpid() + i) % kBlocks) + ".";
    const asio::ip::tcp::endpoint lock(asio::ip::make_address(prefix + "254"),
                                       HostProcess::kCallersPort);
    boost::system::error_code error;
    block_lock_.open(lock.protocol(), error);
    if (!error) block_lock_.bind(lock, error);
    if (!error) block_lock_.listen(1, error);
    if (!error) return prefix;
    block_lock_.close(error);
  }
  VERIFY(false);  // 250 soaks at once
  return "";
}

int SoakWorld::Draw(int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(random_);
}

Duration SoakWorld::DrawDuration(Duration least, Duration most) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      least.count(), most.count())(random_));
}

void SoakWorld::Note(const std::string& text) const {
  std::printf(
      "%.3f %s\n",
      std::chrono::duration<double>(MonotonicNow().time_since_epoch()).count(),
      text.c_str());
  std::fflush(stdout);
}

void SoakWorld::PutPolicy() {
  ++version_;
  std::string routes =
      RouteOf("read", "/read/", "safe") + RouteOf("write", "/write/", "unsafe");
  for (std::uint64_t version = 1; version <= version_; ++version) {
    routes +=
        RouteOf("v" + std::to_string(version), VersionPath(version), "safe");
  }
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%08llx",
                static_cast<unsigned long long>(version_));
  store_.Put("op", "config",
             R"({"version":")" + std::string(text.data()) +
                 R"(","resources":[)" + routes +
                 R"({"entry_kind":"services","metadata":{"name":"s"},"spec":{
    "health_path":"/health","max_conns":260,"cold":"3s","cold_per_s":5}},
   {"entry_kind":"limits","metadata":{},"spec":{"header_bytes":4000,
    "body_bytes":100000,"header_timeout":"1s","idle_timeout":"5s"}}]})");
}

void SoakWorld::PutServer(int server, const std::string& state) {
  const auto index = static_cast<std::size_t>(server);
  const ScriptedBackend& backend = *servers_[index];
  std::string entry =
      backend.Registration("s", server % 2 == 0 ? "z0" : "z1", state);
  const std::string own = backend.address();
  entry.replace(entry.find(own), own.size(), server_links_[index]->address());
  store_.Put("servers", backend.id(), entry);
}

ScriptedAnswer SoakWorld::AnswerOf(int server, const SeenRequest& request) {
  const auto index = static_cast<std::size_t>(server);
  const bool is_probe = request.target.starts_with("/v/");
  ScriptedAnswer answer{ScriptedBackend::Sound(request, AnswerBody(request.id)),
                        AfterAnswer::kKeep,
                        DrawDuration(std::chrono::milliseconds(1),
                                     std::chrono::milliseconds(30))};
  const TimePoint draining_from = draining_from_[index];
  if (is_calm_ && draining_from != TimePoint{} &&
      MonotonicNow() - draining_from > kDrainBound) {
    ledger_.OnViolation(Promise::kDrained,
                        request.id + " at " + servers_[index]->id());
  }
  if (is_probe) return answer;
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  if (draw < failing_share_[index] / 3) {  // sheds
    answer.bytes =
        "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + request.id +
        "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    return answer;
  }
  ledger_.OnRun({request.id, request.method, request.target, request.body},
                servers_[index]->id());
  if (draw < 2 * failing_share_[index] / 3) {  // runs and resets
    answer.bytes.clear();
    answer.then = AfterAnswer::kReset;
  } else if (draw < failing_share_[index]) {  // runs and breaks off
    answer.bytes.resize(answer.bytes.size() - 3);
    answer.then = AfterAnswer::kClose;
  }
  return answer;
}

asio::awaitable<void> SoakWorld::Call(int number) {
  constexpr Duration kPatience = std::chrono::seconds(3);
  std::unique_ptr<HttpClient> client;
  while (!is_over_) {
    co_await Sleep(DrawDuration(std::chrono::milliseconds(5),
                                std::chrono::milliseconds(60)));
    // Open connections are used until they end, whatever becomes of the host.
    if (!client || Draw(20) == 0) {
      const auto host = static_cast<std::size_t>(Draw(options_.hosts));
      client = std::make_unique<HttpClient>(
          io_.get_executor(),
          asio::ip::tcp::endpoint(
              asio::ip::make_address(hosts_[host]->address()),
              HostProcess::kCallersPort));
    }
    AskedRequest asked;
    asked.id = std::to_string(number) + "-" + std::to_string(++last_request_);
    asked.may_repeat = Draw(2) == 0;
    asked.method = asked.may_repeat ? "GET" : "POST";
    asked.target =
        (asked.may_repeat ? "/read/" : "/write/") + std::to_string(Draw(1000));
    if (!asked.may_repeat)
      asked.body.assign(static_cast<std::size_t>(Draw(3000)) + 1, 'b');
    ledger_.OnAsked(asked);
    HttpRequest request{asked.method,
                        asked.target,
                        {{"Host", "a.example"},
                         {"X-Request-Id", asked.id},
                         {"X-Deadline-Ms", "3000"}},
                        asked.body};
    const auto answer = co_await client->Send(std::move(request), kPatience);
    if (!answer) {
      client.reset();
      // A connection that was not opened asked for nothing.
      if (answer.error().code != ErrorCode::kUnavailable)
        ledger_.OnAnswer(asked.id, 0, false);
      continue;
    }
    ledger_.OnAnswer(asked.id, answer.value().status,
                     answer.value().body == AnswerBody(asked.id));
  }
}

asio::awaitable<void> SoakWorld::ProbeVersions(int number) {
  HostProcess& host = *hosts_[static_cast<std::size_t>(number)];
  while (!is_over_) {
    co_await Sleep(std::chrono::milliseconds(150));
    HttpClient client(
        io_.get_executor(),
        {asio::ip::make_address(host.address()), HostProcess::kCallersPort});
    const std::uint64_t version = version_;
    const int incarnation = host.incarnation();
    HttpRequest request{"GET",
                        VersionPath(version),
                        {{"Host", "a.example"},
                         {"X-Request-Id", "probe"},
                         {"X-Deadline-Ms", "2000"}},
                        ""};
    const auto answer =
        co_await client.Send(std::move(request), std::chrono::seconds(2));
    if (answer && incarnation == host.incarnation()) {
      ledger_.OnVersionProbe(host.address(), incarnation, version,
                             answer.value().status);
    }
  }
}

asio::awaitable<void> SoakWorld::KeepHostsRunning() {
  while (!is_over_) {
    for (auto& host : hosts_) {
      if (host->is_running()) continue;
      if (const auto started = host->Start(); !started)
        Note("no start: " + started.error().ToString());
    }
    co_await Sleep(std::chrono::milliseconds(100));
  }
}

asio::awaitable<void> SoakWorld::PlayOne(FaultKind kind, Duration length) {
  const auto host = static_cast<std::size_t>(Draw(options_.hosts));
  const auto server = static_cast<std::size_t>(Draw(options_.servers));
  const auto link_fault = static_cast<LinkFault>(1 + Draw(5));
  const auto where = [&](std::string_view what, const std::string& which) {
    Note("fault " + std::string(what) + " " + which + " for " +
         std::to_string(length / std::chrono::milliseconds(1)) + " ms");
  };
  ++faults_open_;
  switch (kind) {
    case FaultKind::kServerLink:
      where(kLinkFaultNames.NameOf(link_fault), servers_[server]->id());
      server_links_[server]->SetFault(link_fault);
      co_await Sleep(length);
      server_links_[server]->SetFault(LinkFault::kNone);
      break;
    case FaultKind::kStoreLink:
      where(kLinkFaultNames.NameOf(link_fault),
            "store of " + hosts_[host]->address());
      store_links_[host]->SetFault(link_fault);
      co_await Sleep(length);
      store_links_[host]->SetFault(LinkFault::kNone);
      break;
    case FaultKind::kStore:
      where("store", "of all");
      store_.set_fault(static_cast<StoreFault>(1 + Draw(3)));
      if (Draw(2) == 0) store_.ForgetHistory();
      co_await Sleep(length);
      store_.set_fault(StoreFault::kNone);
      break;
    case FaultKind::kPause:
      where("pause", hosts_[host]->address());
      hosts_[host]->Signal(SIGSTOP);
      co_await Sleep(length);
      hosts_[host]->Signal(SIGCONT);
      break;
    case FaultKind::kKill:
      where("kill", hosts_[host]->address());
      hosts_[host]->Kill();
      break;
    case FaultKind::kStop:
      where("stop", hosts_[host]->address());
      hosts_[host]->Signal(SIGTERM);
      break;
    case FaultKind::kConfigure:
      where("configure", std::to_string(version_ + 1));
      PutPolicy();
      break;
    case FaultKind::kServerAnswers:
      where("failing answers", servers_[server]->id());
      failing_share_[server] = 0.4;
      co_await Sleep(length);
      failing_share_[server] = 0;
      break;
    case FaultKind::kDrain:
      where("drain", servers_[server]->id());
      PutServer(static_cast<int>(server), "draining");
      co_await Sleep(length);
      PutServer(static_cast<int>(server), "ready");
      break;
  }
  --faults_open_;
}

asio::awaitable<void> SoakWorld::PlayFaults() {
  const TimePoint until = MonotonicNow() + options_.length;
  while (MonotonicNow() < until) {
    asio::co_spawn(io_,
                   PlayOne(static_cast<FaultKind>(Draw(kFaultKinds)),
                           DrawDuration(kLeastPause, kLongestFault)),
                   asio::detached);
    co_await Sleep(DrawDuration(kLeastPause, kLongestPause));
  }
  while (faults_open_ > 0) co_await Sleep(kLeastPause);
}

asio::awaitable<void> SoakWorld::PlayCalm() {
  co_await Sleep(kSettle);
  Note("calm");
  PutServer(0, "draining");
  draining_from_[0] = MonotonicNow();
  is_calm_ = true;
  ledger_.BeginCalm();
  co_await Sleep(kCalm);
  Note("planned stop of " + hosts_.back()->address());
  hosts_.back()->Signal(SIGTERM);
  co_await Sleep(2 * kCalm);
  is_calm_ = false;
  ledger_.EndCalm(kLeastServed);
  if (ledger_.calm_lost_count() > 0) {
    ledger_.OnViolation(Promise::kPlannedStop,
                        std::to_string(ledger_.calm_lost_count()));
  }
}

asio::awaitable<void> SoakWorld::Play() {
  co_await Sleep(std::chrono::seconds(2));
  for (int i = 0; i < options_.callers; ++i)
    asio::co_spawn(io_, Call(i), asio::detached);
  for (int i = 0; i < options_.hosts; ++i)
    asio::co_spawn(io_, ProbeVersions(i), asio::detached);
  co_await PlayFaults();
  if (options_.judged == Judged::kAll) co_await PlayCalm();
  is_over_ = true;
  io_.stop();
}

Result<void> SoakWorld::Run() {
  for (auto& host : hosts_) {
    TRY(host->Start());
  }
  asio::co_spawn(io_, KeepHostsRunning(), asio::detached);
  asio::co_spawn(io_, Play(), asio::detached);
  io_.run();
  for (auto& host : hosts_) host->Kill();
  return outcome::success();
}

}  // namespace dogwood
