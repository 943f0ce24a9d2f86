#include "review/harness/harness.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "Libraries/Http/http.h"

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::tcp;
using Json = nlohmann::json;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBufferBytes = std::size_t{32} * 1024;
constexpr int kExitExecFailed = 127;  // as in shells

// Input source of BodyReader: a TCP socket with a receive buffer.
struct BufferedSocket {
  explicit BufferedSocket(tcp::socket connected_socket)
      : socket(std::move(connected_socket)) {}

  asio::awaitable<boost::system::error_code> Fill() {
    const auto [error, count] =
        co_await socket.async_read_some(buffer.Prepare(), kUseAwaitableTuple);
    if (!error) buffer.Commit(count);
    co_return error;
  }
  ReceiveBuffer& input() { return buffer; }

  tcp::socket socket;
  ReceiveBuffer buffer{kBufferBytes};
};

// Reads a message. Returns whether it is whole.
asio::awaitable<bool> ReadMessage(BufferedSocket& source, MessageParser& parser,
                                  std::string& body) {
  while (!parser.is_head_complete()) {
    if (source.buffer.empty()) {
      const auto error = co_await source.Fill();
      if (error) co_return false;
    }
    const auto result = parser.Feed(source.buffer.data());
    source.buffer.Consume(result.consumed_bytes);
    if (result.parse_error) co_return false;
    if (result.needs_more && !parser.is_head_complete()) {
      const auto error = co_await source.Fill();
      if (error) co_return false;
    }
  }
  BodyReader reader(source, parser);
  while (!parser.is_complete()) {
    const auto part = co_await reader.ReadSome();
    for (std::size_t i = 0; i < part.slice_count; ++i)
      body.append(part.slices[i]);
    if (part.has_failed()) co_return false;
  }
  reader.Release();
  co_return true;
}

std::uint64_t UnixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          WallClockNow().time_since_epoch())
          .count());
}

std::string MillisecondsText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

bool has_trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(kUseAwaitableTuple);
}

void Record::Add(const std::string& text) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f ", Seconds(MonotonicNow()));
  lines_.push_back(time.data() + text);
}

double Record::Seconds(TimePoint at) const {
  return std::chrono::duration<double>(at - started_at_).count();
}

bool Record::Save() const {
  std::ofstream file(path_);
  for (const std::string& line : lines_) file << line << "\n";
  file.close();
  return static_cast<bool>(file);
}

void PublishConfiguration(FakeStoreServer& store,
                          const std::vector<RouteSpec>& routes,
                          const std::vector<ServiceSpec>& services) {
  Json resources = Json::array();
  for (const RouteSpec& route : routes) {
    Json spec = {{"host", kCallerHost},
                 {"prefix", route.prefix},
                 {"kind", route.kind},
                 {"service", route.service},
                 {"latency_goal", route.latency_goal},
                 {"priority", 1},
                 {"max_attempts", route.max_attempts}};
    if (!route.timeout.empty()) spec["timeout"] = route.timeout;
    resources.push_back({{"entry_kind", "routes"},
                         {"metadata", {{"name", route.name}}},
                         {"spec", spec}});
  }
  for (const ServiceSpec& service : services) {
    resources.push_back({{"entry_kind", "services"},
                         {"metadata", {{"name", service.name}}},
                         {"spec",
                          {{"health_path", "/health"},
                           {"max_conns", 260},
                           {"cold", "3s"},
                           {"cold_per_s", service.cold_per_s}}}});
  }
  resources.push_back({{"entry_kind", "limits"},
                       {"metadata", {{"name", "limits"}}},
                       {"spec",
                        {{"header_bytes", 8192},
                         {"body_bytes", 1048576},
                         {"header_timeout", "5s"},
                         {"idle_timeout", "15s"}}}});
  store.Put("op", "config",
            Json{{"version", "0000000c"}, {"resources", resources}}.dump());
}

Backend::Backend(asio::io_context& io, FakeStoreServer& store, Record& record,
                 Options options, WorkTime work_time, OnRun on_run)
    : io_(io),
      store_(store),
      record_(record),
      options_(std::move(options)),
      work_time_(std::move(work_time)),
      on_run_(std::move(on_run)),
      acceptor_(io,
                tcp::endpoint(asio::ip::make_address(options_.address_ip), 0)),
      endpoint_(acceptor_.local_endpoint()),
      born_ms_(UnixMilliseconds()) {
  Register();
  asio::co_spawn(io_, Accept(epoch_), asio::detached);
  asio::co_spawn(io_, Heartbeat(), asio::detached);
}

void Backend::Register() {
  const Duration cold_left =
      std::max(Duration::zero(), Duration(cold_until_ - MonotonicNow()));
  Json row = {
      {"address", options_.address_ip + ":" + std::to_string(endpoint_.port())},
      {"born", born_ms_},
      {"info",
       {{"service", options_.service},
        {"version", "v1"},
        {"zone", options_.zone},
        {"slots", options_.slots}}},
      {"status",
       {{"state", "ready"},
        {"cold_left", MillisecondsText(cold_left) + "ms"}}}};
  // An entry changes when more than its sequence number does.
  const std::string text = row.dump();
  ++sequence_;
  if (text == registered_) return;
  registered_ = text;
  row["status"]["seq"] = sequence_;
  store_.Put("servers", options_.id, row.dump());
}

asio::awaitable<void> Backend::Heartbeat() {
  for (;;) {
    co_await Sleep(kHeartbeat);
    if (!is_crashed_) Register();
  }
}

void Backend::BecomeCold(Duration duration) {
  cold_until_ = MonotonicNow() + duration;
  record_.Add(options_.id + " becomes cold for " + MillisecondsText(duration) +
              " ms");
}

void Backend::Crash() {
  record_.Add(options_.id + " crashes with " + std::to_string(running_) +
              " requests at work");
  is_crashed_ = true;
  ++epoch_;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (tcp::socket* socket : sockets_) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  sockets_.clear();
  for (const auto& timer : waiting_) timer->cancel();
  waiting_.clear();
  running_ = 0;
}

void Backend::Restart(Duration cold_time) {
  record_.Add(options_.id + " is back");
  is_crashed_ = false;
  born_ms_ = UnixMilliseconds();
  sequence_ = 0;
  cold_until_ = MonotonicNow() + cold_time;
  acceptor_ = tcp::acceptor(io_, endpoint_);
  endpoint_ = acceptor_.local_endpoint();
  Register();
  asio::co_spawn(io_, Accept(epoch_), asio::detached);
}

asio::awaitable<void> Backend::CrashFor(Duration duration, Duration cold_time) {
  Crash();
  co_await Sleep(duration);
  Restart(cold_time);
}

asio::awaitable<void> Backend::Accept(std::uint64_t epoch) {
  while (epoch == epoch_) {
    auto [error, socket] = co_await acceptor_.async_accept(kUseAwaitableTuple);
    if (error) co_return;
    asio::co_spawn(io_, Serve(std::move(socket), epoch), asio::detached);
  }
}

std::string Backend::LoadField() const {
  return "X-Backend-Load: " + std::to_string(running_) + "," +
         std::to_string(waiting_.size()) + "," +
         std::to_string(options_.slots) + "," +
         std::to_string(is_cold() ? 100 * kColdFactor : 100) + "\r\n";
}

std::string Backend::HealthResponse() const {
  std::string response =
      "HTTP/1.1 200 OK\r\nX-Backend-Id: " + options_.id + "\r\n" + LoadField();
  if (is_cold()) {
    response +=
        "X-Cold-Ms: " + MillisecondsText(cold_until_ - MonotonicNow()) + "\r\n";
  }
  return response + "Content-Length: 0\r\n\r\n";
}

void Backend::ReleaseSlot() {
  --running_;
  if (waiting_.empty()) return;
  ++running_;
  waiting_.front()->cancel();
  waiting_.pop_front();
}

asio::awaitable<std::string> Backend::Respond(const BackendRequest& request,
                                              std::uint64_t epoch) {
  const std::string id_field = "X-Request-Id: " + request.id + "\r\n";
  if (!request.expected_server.empty() &&
      request.expected_server != options_.id) {
    co_return "HTTP/1.1 421 Misdirected Request\r\n" + id_field +
        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  const TimePoint deadline = MonotonicNow() + request.time_left;
  const std::string rejection = "HTTP/1.1 503 Service Unavailable\r\n" +
                                id_field + "X-Not-Executed: 1\r\n" +
                                LoadField() + "Content-Length: 0\r\n\r\n";
  if (running_ < options_.slots) {
    ++running_;
  } else if (waiting_.size() < options_.queue_length) {
    const auto turn =
        std::make_shared<asio::steady_timer>(io_, TimePoint::max());
    waiting_.push_back(turn);
    co_await turn->async_wait(kUseAwaitableTuple);
    if (epoch != epoch_) co_return "";
    if (MonotonicNow() >= deadline) {
      ReleaseSlot();
      co_return rejection;
    }
  } else {
    co_return rejection;
  }
  record_.Add(options_.id + " (" + options_.service + ") runs " + request.id +
              " " + request.method + " " + request.target);
  on_run_(*this, request);
  if (epoch != epoch_) co_return "";  // on_run_ has made it crash
  Duration work = work_time_(request);
  if (is_cold()) work *= kColdFactor;
  const bool is_cut = MonotonicNow() + work > deadline;
  co_await Sleep(is_cut ? deadline - MonotonicNow() : work);
  if (epoch != epoch_) co_return "";
  ReleaseSlot();
  const std::string body = options_.service + " did " + request.id + "\n";
  record_.Add(options_.id + (is_cut ? " gives up " : " has done ") +
              request.id);
  co_return std::string(is_cut ? "HTTP/1.1 504 Gateway Timeout\r\n"
                               : "HTTP/1.1 200 OK\r\n") +
      id_field + "X-Server-Stamp: " + options_.id + "." + request.id + "\r\n" +
      LoadField() + "Content-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
}

asio::awaitable<void> Backend::Serve(tcp::socket socket, std::uint64_t epoch) {
  BufferedSocket source(std::move(socket));
  boost::system::error_code ignored;
  source.socket.set_option(tcp::no_delay(true), ignored);
  sockets_.insert(&source.socket);
  MessageParser parser(MessageKind::kRequest);
  for (;;) {
    parser.Reset();
    std::string body;
    const bool is_read = co_await ReadMessage(source, parser, body);
    if (!is_read || epoch != epoch_) break;
    const MessageHead& head = parser.head();
    BackendRequest request{
        head.method,
        head.target,
        std::string(head.FieldValue("x-request-id")),
        std::string(head.FieldValue("x-expect-instance")),
        std::chrono::milliseconds(
            std::strtoll(std::string(head.FieldValue("x-deadline-ms")).c_str(),
                         nullptr, 10)),
        std::move(body)};
    std::string response;
    if (request.target == "/health") {
      response = HealthResponse();
    } else {
      response = co_await Respond(request, epoch);
    }
    if (epoch != epoch_) break;
    const auto last_words =
        partial_answer_ ? partial_answer_(request) : std::nullopt;
    if (last_words) {
      co_await asio::async_write(source.socket, asio::buffer(*last_words),
                                 kUseAwaitableTuple);
      // The bytes arrive before the reset.
      constexpr Duration kCrashDelay = std::chrono::milliseconds(20);
      co_await Sleep(kCrashDelay);
      if (epoch != epoch_) break;
      constexpr Duration kDownTime = std::chrono::seconds(3);
      constexpr Duration kColdTime = std::chrono::seconds(3);
      asio::co_spawn(io_, CrashFor(kDownTime, kColdTime), asio::detached);
      break;
    }
    const auto [error, written] = co_await asio::async_write(
        source.socket, asio::buffer(response), kUseAwaitableTuple);
    if (error) break;
  }
  sockets_.erase(&source.socket);
}

bool GatewayHost::Start(bool is_first_start) {
  const std::string settings = options_.folder + "/" + options_.ip + ".yaml";
  std::ofstream file(settings);
  const std::string& ip = options_.ip;
  file << "node_name: \"front-" << ip << "\"\nrole: \"gateway\"\n"
       << "machine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n"
       << "ip: \"" << ip << "\"\nzone: \"" << options_.zone
       << "\"\nregion: \"r\"\nzones:\n";
  for (const std::string& zone : options_.zones)
    file << "  " << zone << ": \"r\"\n";
  file << "listen:\n  front: \"" << ip << ":" << kCallerPort
       << "\"\n  ready_addr: \"" << ip << ":" << kReadinessPort
       << "\"\n  control: \"" << ip << ":" << kControlPort
       << "\"\nport_range:\n  - " << kFirstPeerPort << "\n  - "
       << kFirstPeerPort + 15 << "\nseeds:\n";
  for (const std::string& seed : options_.seeds)
    file << "  - \"" << seed << ":" << kControlPort << "\"\n";
  file << "first_start: " << (is_first_start ? "true" : "false")
       << "\nin_fault_budget: false\nheartbeat: \"1500ms\"\nlimits:\n"
       << "  cpu_share: 1\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n"
       << "bounds:\n  stable_window: \"3000ms\"\n  drain: \"2000ms\"\n"
       << "  grace: \"6s\"\n  config_apply: \"2000ms\"\n"
       << "  budget_ratio: 0.2\n  budget_window: \"10s\"\n"
       << "  budget_extra: 62\n  cold_excess: 1.5\n  cold_slack: 5\n"
       << "  recover: \"15s\"\n  probes_per_s: 60\nplatform:\n  address: \""
       << options_.store << "\"\n  form: \"table\"\n";
  file.close();
  if (!file) return false;
  const std::string log = options_.folder + "/" + ip + ".log";
  const std::string variable = "DOGWOODCOURSE_NODE_FILE=" + settings;
  const pid_t process = ::fork();
  if (process < 0) return false;
  if (process == 0) {
    // The process ends with the case, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // The process must not hold the sockets of the stand-ins.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    std::array<char*, 2> environment = {const_cast<char*>(variable.c_str()),
                                        nullptr};
    // The command of deploy/system.toml.
    ::execle("target/bin/dogwood-gateway", "target/bin/dogwood-gateway",
             "--metrics-port", "9090", nullptr, environment.data());
    ::_exit(kExitExecFailed);
  }
  process_ = process;
  return true;
}

void GatewayHost::Signal(int signal) const {
  if (process_ > 0) ::kill(process_, signal);
}

void GatewayHost::Kill() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, &exit_status_, 0);
  process_ = -1;
}

bool GatewayHost::is_running() {
  if (process_ <= 0) return false;
  if (::waitpid(process_, &exit_status_, WNOHANG) != process_) return true;
  process_ = -1;
  return false;
}

tcp::endpoint GatewayHost::endpoint(std::uint16_t port) const {
  return {asio::ip::make_address(options_.ip), port};
}

std::size_t GatewayHost::resident_bytes() const {
  std::ifstream file("/proc/" + std::to_string(process_) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  if (!(file >> total >> resident)) return 0;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string ReserveAddresses(tcp::acceptor& lock) {
  constexpr int kBlockCount = 250;
  constexpr std::uint16_t kMetricsPort = 9090;
  for (int i = 0; i < kBlockCount; ++i) {
    std::string prefix =
        "127.252." + std::to_string((::getpid() + i) % kBlockCount) + ".";
    const auto address = asio::ip::make_address(prefix + "254");
    boost::system::error_code error;
    // A process that listens on all addresses takes a port of each block.
    for (const std::uint16_t port : {kMetricsPort, GatewayHost::kReadinessPort,
                                     GatewayHost::kFirstPeerPort}) {
      tcp::acceptor trial(lock.get_executor());
      if (!error) trial.open(tcp::v4(), error);
      if (!error) trial.bind({address, port}, error);
    }
    if (!error) lock.open(tcp::v4(), error);
    if (!error) lock.bind({address, GatewayHost::kCallerPort}, error);
    if (!error) lock.listen(1, error);
    if (!error) return prefix;
    lock.close(error);
  }
  return "";
}

namespace {

asio::awaitable<void> Exchange(tcp::endpoint endpoint,
                               const CallerRequest& request,
                               CallerAnswer& answer) {
  BufferedSocket source(tcp::socket(co_await asio::this_coro::executor));
  const auto [connect_error] =
      co_await source.socket.async_connect(endpoint, kUseAwaitableTuple);
  if (connect_error) co_return;
  answer.is_connected = true;
  std::string text =
      request.method + " " + request.target +
      " HTTP/1.1\r\nHost: " + kCallerHost + "\r\nX-Request-Id: " + request.id +
      "\r\nX-Deadline-Ms: " + MillisecondsText(request.deadline) + "\r\n";
  if (request.method != "GET")
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  text += "\r\n" + request.body;
  const auto [write_error, written] = co_await asio::async_write(
      source.socket, asio::buffer(text), kUseAwaitableTuple);
  if (write_error) co_return;
  MessageParser parser(MessageKind::kResponse);
  answer.is_complete = co_await ReadMessage(source, parser, answer.body);
  if (!parser.is_head_complete()) co_return;
  answer.status = parser.head().status;
  answer.stamp = parser.head().FieldValue("x-server-stamp");
  answer.request_id = parser.head().FieldValue("x-request-id");
}

}  // namespace

asio::awaitable<CallerAnswer> Call(tcp::endpoint endpoint,
                                   const CallerRequest& request) {
  using asio::experimental::awaitable_operators::operator||;
  CallerAnswer answer;
  const auto completed =
      co_await (Exchange(std::move(endpoint), request, answer) ||
                Sleep(request.deadline));
  answer.is_late = completed.index() == 1;
  co_return answer;
}

asio::awaitable<bool> AwaitReady(const GatewayHost& host, Duration timeout) {
  const TimePoint deadline = MonotonicNow() + timeout;
  // Not a temporary: g++ 12 destroys aggregates in co_await expressions twice.
  CallerRequest question;
  question.target = "/v1/readiness";
  question.deadline = std::chrono::seconds(1);
  while (MonotonicNow() < deadline) {
    const CallerAnswer answer =
        co_await Call(host.endpoint(GatewayHost::kReadinessPort), question);
    if (answer.status == 200) co_return true;
    co_await Sleep(std::chrono::milliseconds(20));
  }
  co_return false;
}

TemporaryFolder::TemporaryFolder() {
  const char* const parent = std::getenv("TMPDIR");
  std::string pattern =
      std::string(parent == nullptr ? "/tmp" : parent) + "/review-XXXXXX";
  if (::mkdtemp(pattern.data()) != nullptr) path_ = pattern;
}

TemporaryFolder::~TemporaryFolder() {
  if (path_.empty() || std::getenv("KEEP_LOGS") != nullptr) return;
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

bool Fleet::AddHosts(const std::vector<std::string>& zones) {
  const std::string prefix = ReserveAddresses(lock_);
  if (prefix.empty() || folder_.path().empty()) return false;
  std::vector<std::string> ips;
  for (std::size_t i = 1; i <= zones.size(); ++i)
    ips.push_back(prefix + std::to_string(i));
  std::vector<std::string> seeds = ips;
  constexpr std::size_t kMaxSeeds = 3;
  if (seeds.size() > kMaxSeeds) seeds.resize(kMaxSeeds);
  std::vector<std::string> names = zones;
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  for (std::size_t i = 0; i < zones.size(); ++i) {
    hosts_.push_back(std::make_unique<GatewayHost>(GatewayHost::Options{
        ips[i], zones[i], folder_.path(),
        "127.0.0.1:" + std::to_string(store_.endpoint().port()), seeds,
        names}));
  }
  return true;
}

asio::awaitable<bool> Fleet::Start() {
  constexpr Duration kStartTimeout = std::chrono::seconds(15);
  constexpr Duration kConvergenceTime = std::chrono::seconds(3);
  for (const auto& host : hosts_) {
    if (!host->Start(true)) co_return false;
  }
  for (const auto& host : hosts_) {
    const bool is_ready = co_await AwaitReady(*host, kStartTimeout);
    if (!is_ready) co_return false;
  }
  co_await Sleep(kConvergenceTime);
  co_return true;
}

int RunCase(asio::io_context& io, Duration limit, asio::awaitable<int> body) {
  int result = kCouldNotRun;
  asio::co_spawn(io, std::move(body),
                 [&](const std::exception_ptr& exception, int returned) {
                   if (!exception) result = returned;
                   io.stop();
                 });
  asio::steady_timer watchdog(io, limit);
  watchdog.async_wait([&](const boost::system::error_code& error) {
    if (!error) io.stop();
  });
  io.run();
  return result;
}

}  // namespace dogwood
