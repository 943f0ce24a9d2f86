// Stand-ins and process control shared by the cases of the review. A case
// starts gateways as the deploy file does and plays the clients, the backend
// servers and the platform itself.
#pragma once

#include <sys/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"
#include "Tests/StandIns/fake_store_server.h"

namespace dogwood {

// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Whether the case runs with its disruption: TROUBLE=0 switches it off.
bool has_trouble();

boost::asio::awaitable<void> Sleep(Duration duration);

// What was sent, answered and run, in the order of time. Written to a file.
class Record {
 public:
  explicit Record(std::string path)
      : path_(std::move(path)), started_at_(MonotonicNow()) {}

  void Add(const std::string& text);
  double Seconds(TimePoint at) const;
  // Writes the file. Returns whether it was written.
  bool Save() const;

 private:
  std::string path_;
  TimePoint started_at_;
  std::vector<std::string> lines_;
};

// A route of the configuration.
struct RouteSpec {
  std::string name;
  std::string prefix;
  std::string kind;  // safe, unsafe or upload
  std::string service;
  std::string latency_goal;
  std::string timeout;  // empty: none
  int max_attempts = 2;
};

struct ServiceSpec {
  std::string name;
  double cold_per_s = 18;
};

inline constexpr const char* kCallerHost = "calls.example";

// Stores a configuration as the operator does.
void PublishConfiguration(FakeStoreServer& store,
                          const std::vector<RouteSpec>& routes,
                          const std::vector<ServiceSpec>& services);

struct BackendRequest {
  std::string method;
  std::string target;
  std::string id;
  std::string expected_server;
  Duration time_left{};
  std::string body;
};

// A backend server: slots, a queue, load and cold time in its responses,
// registration and heartbeat. Behaves as PROTOCOL.md says.
class Backend {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    unsigned slots = 6;
    std::size_t queue_length = 24;
    std::string address_ip = "127.0.0.1";
  };
  // Time that the work of a request takes on a warm server.
  using WorkTime = std::function<Duration(const BackendRequest& request)>;
  // Called when the server begins to work on a request.
  using OnRun =
      std::function<void(const Backend& server, const BackendRequest& request)>;

  static constexpr Duration kHeartbeat = std::chrono::milliseconds(1500);
  // Factor on the work time of a cold server.
  static constexpr int kColdFactor = 2;

  Backend(boost::asio::io_context& io, FakeStoreServer& store, Record& record,
          Options options, WorkTime work_time, OnRun on_run);
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  const Options& options() const { return options_; }
  // Requests that crash the server: `partial_answer` gives the bytes that it
  // sends after their work, before it crashes, and nothing for all others.
  using PartialAnswer =
      std::function<std::optional<std::string>(const BackendRequest& request)>;
  void set_partial_answer(PartialAnswer partial_answer) {
    partial_answer_ = std::move(partial_answer);
  }
  // Becomes cold for a time. The next heartbeat tells it.
  void BecomeCold(Duration duration);
  // Ends like a killed process: resets its connections and refuses new ones.
  void Crash();
  // Crashes now and starts again after a time.
  boost::asio::awaitable<void> CrashFor(Duration duration, Duration cold_time);
  // Starts again after a crash, under the same address and id, and is cold for
  // a time.
  void Restart(Duration cold_time);
  bool is_crashed() const { return is_crashed_; }
  bool is_cold() const { return MonotonicNow() < cold_until_; }
  unsigned running() const { return running_; }

 private:
  boost::asio::awaitable<void> Accept(std::uint64_t epoch);
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket,
                                     std::uint64_t epoch);
  boost::asio::awaitable<std::string> Respond(const BackendRequest& request,
                                              std::uint64_t epoch);
  boost::asio::awaitable<void> Heartbeat();
  void Register();
  void ReleaseSlot();
  std::string HealthResponse() const;
  std::string LoadField() const;

  boost::asio::io_context& io_;
  FakeStoreServer& store_;
  Record& record_;
  Options options_;
  WorkTime work_time_;
  OnRun on_run_;
  PartialAnswer partial_answer_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::set<boost::asio::ip::tcp::socket*> sockets_;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> waiting_;
  std::uint64_t epoch_ = 0;  // counts the starts
  std::uint64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  unsigned running_ = 0;
  bool is_crashed_ = false;
  TimePoint cold_until_{};
  std::string registered_;  // without the sequence number
};

// A dogwood-gateway process, started like the platform does.
class GatewayHost {
 public:
  struct Options {
    std::string ip;  // a loopback address of its own
    std::string zone;
    std::string folder;  // of the settings file and the log
    std::string store;
    std::vector<std::string> seeds;
    std::vector<std::string> zones;
  };

  static constexpr std::uint16_t kCallerPort = 8161;
  static constexpr std::uint16_t kControlPort = 8166;
  static constexpr std::uint16_t kReadinessPort = 8167;
  static constexpr std::uint16_t kFirstPeerPort = 7720;

  explicit GatewayHost(Options options) : options_(std::move(options)) {}
  ~GatewayHost() { Kill(); }
  GatewayHost(const GatewayHost&) = delete;
  GatewayHost& operator=(const GatewayHost&) = delete;

  const std::string& ip() const { return options_.ip; }
  bool Start(bool is_first_start);
  void Signal(int signal) const;
  void Kill();
  // Whether the process runs. Collects it when it has ended.
  bool is_running();
  int exit_status() const { return exit_status_; }
  boost::asio::ip::tcp::endpoint endpoint(std::uint16_t port) const;
  // Resident memory in bytes; 0 when the process has ended.
  std::size_t resident_bytes() const;

 private:
  Options options_;
  pid_t process_ = -1;
  int exit_status_ = 0;
};

// Reserves a block of loopback addresses, 127.252.X.0/24, for one case. Keeps
// it until the end of the process. Returns "127.252.X.", or nothing if all are
// in use.
std::string ReserveAddresses(boost::asio::ip::tcp::acceptor& lock);

struct CallerRequest {
  std::string id;
  std::string method = "GET";
  std::string target;
  std::string body;
  Duration deadline{};
};

struct CallerAnswer {
  bool is_connected = false;
  bool is_complete = false;  // a whole answer was read
  bool is_late = false;      // none came until the caller's deadline
  unsigned status = 0;
  std::string stamp;
  std::string request_id;
  std::string body;
};

// Sends a request on a new connection and waits for its answer until its
// deadline.
boost::asio::awaitable<CallerAnswer> Call(
    boost::asio::ip::tcp::endpoint endpoint, const CallerRequest& request);

// Waits until a gateway says that it is ready.
boost::asio::awaitable<bool> AwaitReady(const GatewayHost& host,
                                        Duration timeout);

// A temporary folder that is removed with its content at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A store and gateways on addresses of their own.
class Fleet {
 public:
  explicit Fleet(boost::asio::io_context& io) : store_(io), lock_(io) {}

  FakeStoreServer& store() { return store_; }
  GatewayHost& host(std::size_t index) { return *hosts_[index]; }
  std::size_t size() const { return hosts_.size(); }
  // Adds a gateway for each element of `zones`. Returns false if there are no
  // free addresses.
  bool AddHosts(const std::vector<std::string>& zones);
  // Starts all gateways and waits until they are ready and know each other.
  boost::asio::awaitable<bool> Start();

 private:
  FakeStoreServer store_;
  boost::asio::ip::tcp::acceptor lock_;
  TemporaryFolder folder_;
  std::vector<std::unique_ptr<GatewayHost>> hosts_;
};

// Runs `body`, stops when it returns and gives its result. Ends the case with
// kCouldNotRun after `limit`.
int RunCase(boost::asio::io_context& io, Duration limit,
            boost::asio::awaitable<int> body);

}  // namespace dogwood
