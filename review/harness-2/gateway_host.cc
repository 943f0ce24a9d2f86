#include "review/harness-2/gateway_host.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>

#include "Libraries/Http/http.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr int kExitExecFailed = 127;  // as in shells

}  // namespace

asio::awaitable<void> SleepUntil(TimePoint time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

GatewayHost::~GatewayHost() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
}

bool GatewayHost::WriteSettings(const std::string& path) const {
  const auto quoted = [](const std::string& ip, std::uint16_t port) {
    return "\"" + ip + ":" + std::to_string(port) + "\"";
  };
  const std::string& ip = options_.address;
  std::string seeds;
  for (const std::string& seed : options_.seeds)
    seeds += (seeds.empty() ? "" : ", ") + quoted(seed, kControlPort);
  std::ofstream file(path);
  file << "node_name: \"front-" << ip << "\"\nrole: \"gateway\"\n"
       << "machine_class: \"front\"\nserves: [\"front\", \"control\"]\n"
       << "ip: \"" << ip << "\"\nzone: \"" << options_.zone << "\"\n"
       << "listen:\n  front: " << quoted(ip, kCallerPort)
       << "\n  ready_addr: " << quoted(ip, kReadinessPort)
       << "\n  control: " << quoted(ip, kControlPort)
       << "\nport_range: [7720, 7735]\nseeds: [" << seeds << "]\n"
       << "first_start: true\nlimits:\n  cpu_share: 0.2\n  cores: 1\n"
       << "  memory_mb: 260\n  max_fds: 4100\nheartbeat: \"1500ms\"\n"
       << "bounds:\n  stable_window: \"3000ms\"\n  drain: \"2000ms\"\n"
       << "  grace: \"6s\"\n  config_apply: \"2000ms\"\n"
       << "  budget_ratio: 0.2\n  budget_window: \"10s\"\n"
       << "  budget_extra: 62\n  cold_excess: 1.5\n  cold_slack: 5\n"
       << "  evac: \"5000ms\"\n  probes_per_s: 60\nplatform:\n  address: \""
       << options_.store << "\"\n";
  file.close();
  return !file.fail();
}

bool GatewayHost::Start() {
  const std::string base = options_.directory + "/" + options_.address;
  const std::string settings = base + ".yaml";
  const std::string log = base + ".log";
  if (!WriteSettings(settings)) return false;
  const pid_t parent = ::getpid();
  process_ = ::fork();
  if (process_ != 0) return process_ > 0;
  // The process ends with the case, however that ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(kExitExecFailed);
  constexpr int kLogMode = 0644;
  const int file =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  ::dup2(file, STDOUT_FILENO);
  ::dup2(file, STDERR_FILENO);
  // Sockets of the case must not stay open in the gateway.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::setenv("DOGWOODCOURSE_NODE_FILE", settings.c_str(), 1);
  ::execl(options_.program.c_str(), options_.program.c_str(), "--metrics-port",
          "9090", nullptr);
  ::_exit(kExitExecFailed);
}

bool GatewayHost::is_running() {
  if (process_ <= 0) return false;
  if (::waitpid(process_, nullptr, WNOHANG) != process_) return true;
  process_ = -1;
  return false;
}

asio::ip::tcp::endpoint GatewayHost::endpoint(std::uint16_t port) const {
  return {asio::ip::make_address(options_.address), port};
}

asio::awaitable<bool> AwaitReady(const GatewayHost& host, Duration timeout) {
  constexpr std::uint64_t kMaxBodyBytes = 4096;
  constexpr Duration kPollInterval = std::chrono::milliseconds(100);
  const TimePoint deadline = MonotonicNow() + timeout;
  while (MonotonicNow() < deadline) {
    HttpClient client(co_await asio::this_coro::executor,
                      host.endpoint(GatewayHost::kReadinessPort),
                      kMaxBodyBytes);
    HttpRequest request;
    request.target = "/v1/readiness";
    const auto response =
        co_await client.Send(std::move(request), std::chrono::seconds(1));
    if (response && response.value().status == 200) co_return true;
    co_await SleepUntil(MonotonicNow() + kPollInterval);
  }
  co_return false;
}

}  // namespace dogwood
