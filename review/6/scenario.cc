// Requests that gateways have given up, and answered with 504, reach a backend
// server seconds later, after it has begun to leave: the path to it was cut
// when they were sent, and closing the connection in order does not take them
// back.
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "Libraries/Http/http.h"
#include "Tests/StandIns/fake_store_server.h"
#include "review/harness-2/gateway_host.h"
#include "review/harness-2/held_link.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int kGateways = 3;
constexpr int kRequestsAtCut = 6;  // to each gateway
constexpr int kWarmUpRounds = 20;
constexpr const char* kService = "tracking";
constexpr const char* kZone = "palermo";
// The path between the zones is cut. No gateway runs here.
constexpr const char* kOtherZone = "catania";
constexpr const char* kHost = "calls.example";
constexpr unsigned kSlots = 6;
constexpr Duration kWorkTime = std::chrono::milliseconds(120);
constexpr Duration kDeadline = std::chrono::milliseconds(2500);
constexpr Duration kDrain = std::chrono::milliseconds(2000);
constexpr Duration kStableWindow = std::chrono::milliseconds(3000);
constexpr Duration kHeartbeat = std::chrono::milliseconds(1500);
// From the start of the cut.
constexpr Duration kCutTime = std::chrono::milliseconds(3100);
constexpr Duration kLeavingAt = std::chrono::milliseconds(3400);
constexpr Duration kEndAt = std::chrono::seconds(10);
constexpr std::uint64_t kMaxBodyBytes = 4096;

bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// What was sent, answered and run, in the order of time.
class CaseRecord {
 public:
  void Add(const std::string& text) {
    constexpr std::size_t kPrefixBytes = 32;
    char prefix[kPrefixBytes] = {};
    std::snprintf(prefix, sizeof(prefix), "%8.3f ",
                  ToMilliseconds(MonotonicNow() - started_at_) / 1000);
    lines_.append(prefix).append(text).append("\n");
  }
  bool Save(const std::string& path) const {
    std::ofstream file(path);
    file << lines_;
    file.close();
    return !file.fail();
  }

 private:
  TimePoint started_at_ = MonotonicNow();
  std::string lines_;
};

// A sound backend server behind a link.
class Backend {
 public:
  Backend(asio::io_context& io, FakeStoreServer& store, CaseRecord& record,
          std::string id, std::string zone)
      : store_(store),
        record_(record),
        id_(std::move(id)),
        zone_(std::move(zone)) {
    auto server = HttpServer::Listen(
        io.get_executor(), {asio::ip::make_address("127.0.0.1"), 0}, {},
        [this](HttpRequest request) { return Handle(std::move(request)); });
    VERIFY(server.has_value());
    server_ = std::make_unique<HttpServer>(std::move(server).value());
    link_ = std::make_unique<HeldLink>(io, server_->local_endpoint());
    started_at_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                         WallClockNow().time_since_epoch())
                         .count();
    Register();
    asio::co_spawn(io, SendHeartbeats(), asio::detached);
  }

  HeldLink& link() { return *link_; }
  void set_healed_at(TimePoint at) { healed_at_ = at; }
  void BeginLeaving() {
    is_leaving_ = true;
    Register();
    leaving_at_ = MonotonicNow();
    record_.Add("the store accepts that " + id_ + " leaves");
  }
  int late_count() const { return late_count_; }

 private:
  void Register() {
    const Json entry = {{"address", link_->address()},
                        {"born", static_cast<std::uint64_t>(started_at_ms_)},
                        {"info",
                         {{"service", kService},
                          {"version", "v1"},
                          {"zone", kZone},
                          {"slots", kSlots}}},
                        {"status",
                         {{"state", is_leaving_ ? "draining" : "ready"},
                          {"seq", ++sequence_},
                          {"cold_left", "0ms"}}}};
    store_.Put("servers", id_, entry.dump());
  }

  asio::awaitable<void> SendHeartbeats() {
    for (;;) {
      co_await SleepUntil(MonotonicNow() + kHeartbeat);
      Register();
    }
  }

  asio::awaitable<HttpResponse> Handle(HttpRequest request) {
    HttpResponse response;
    response.headers = {{"X-Backend-Id", id_}};
    if (is_leaving_) response.headers.emplace_back("Server-Leaving", "1");
    if (request.target == "/health") {
      response.status = is_leaving_ ? 503 : 200;
      AddLoad(response);
      co_return response;
    }
    const std::string request_id(
        FindHeader(request.headers, "X-Request-Id").value_or(""));
    response.headers.emplace_back("X-Request-Id", request_id);
    if (FindHeader(request.headers, "X-Expect-Instance").value_or(id_) != id_) {
      response.status = 421;
      co_return response;
    }
    RecordRun(request_id);
    ++running_;
    co_await SleepUntil(MonotonicNow() + kWorkTime);
    --running_;
    AddLoad(response);
    response.headers.emplace_back("X-Server-Stamp", "stamp-" + request_id);
    response.body = "answer to " + request_id + "\n";
    co_return response;
  }

  void RecordRun(const std::string& request_id) {
    const TimePoint now = MonotonicNow();
    const bool is_late = leaving_at_ != TimePoint{} &&
                         now - leaving_at_ > kDrain &&
                         now - healed_at_ > kStableWindow;
    if (is_late) ++late_count_;
    record_.Add(id_ + " runs " + request_id +
                (is_late ? ", too late after it has begun to leave" : ""));
  }

  void AddLoad(HttpResponse& response) const {
    response.headers.emplace_back(
        "X-Backend-Load",
        std::to_string(running_) + ",0," + std::to_string(kSlots) + ",100");
  }

  FakeStoreServer& store_;
  CaseRecord& record_;
  std::string id_;
  std::string zone_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HeldLink> link_;
  std::int64_t started_at_ms_ = 0;  // Unix time
  std::uint64_t sequence_ = 0;
  unsigned running_ = 0;
  bool is_leaving_ = false;
  TimePoint leaving_at_{};
  TimePoint healed_at_{};
  int late_count_ = 0;
};

// Gateways, two backend servers and the clients of the case.
class LateDeliveryCase {
 public:
  LateDeliveryCase(asio::io_context& io, CaseRecord& record,
                   std::string program, std::string directory)
      : io_(io),
        record_(record),
        program_(std::move(program)),
        directory_(std::move(directory)),
        store_(io),
        lock_(io) {}

  asio::awaitable<int> Run();

 private:
  bool StartGateways();
  void PublishConfiguration();
  // Sends a request that must not run twice and records its answer.
  asio::awaitable<void> Send(const GatewayHost& gateway, std::string id);

  asio::io_context& io_;
  CaseRecord& record_;
  std::string program_;
  std::string directory_;
  FakeStoreServer store_;
  asio::ip::tcp::acceptor lock_;  // reserves the addresses of the gateways
  std::vector<std::unique_ptr<GatewayHost>> gateways_;
  int served_count_ = 0;
};

bool LateDeliveryCase::StartGateways() {
  constexpr int kBlocks = 250;
  for (int block = 1; block <= kBlocks && !lock_.is_open(); ++block) {
    const std::string prefix = "127.246." + std::to_string(block) + ".";
    boost::system::error_code error;
    lock_.open(asio::ip::tcp::v4(), error);
    lock_.bind(
        {asio::ip::make_address(prefix + "254"), GatewayHost::kCallerPort},
        error);
    if (!error) lock_.listen(1, error);
    if (error) {
      lock_.close(error);
      continue;
    }
    std::vector<std::string> addresses;
    for (int i = 1; i <= kGateways; ++i)
      addresses.push_back(prefix + std::to_string(i));
    for (const std::string& address : addresses) {
      gateways_.push_back(std::make_unique<GatewayHost>(GatewayHost::Options{
          program_, directory_, address, kZone,
          "127.0.0.1:" + std::to_string(store_.endpoint().port()), addresses}));
      if (!gateways_.back()->Start()) return false;
    }
  }
  return !gateways_.empty();
}

void LateDeliveryCase::PublishConfiguration() {
  const Json configuration = {{"version", "00000001"},
                              {"resources",
                               {{{"entry_kind", "routes"},
                                 {"metadata", {{"name", "delivery-confirm"}}},
                                 {"spec",
                                  {{"host", kHost},
                                   {"prefix", "/confirm/"},
                                   {"kind", "unsafe"},
                                   {"service", kService},
                                   {"max_attempts", 2},
                                   {"timeout", "2s"},
                                   {"latency_goal", "500ms"},
                                   {"priority", 0}}}},
                                {{"entry_kind", "services"},
                                 {"metadata", {{"name", kService}}},
                                 {"spec",
                                  {{"health_path", "/health"},
                                   {"max_conns", 260},
                                   {"cold_per_s", 18}}}},
                                {{"entry_kind", "limits"},
                                 {"metadata", {{"name", "limits"}}},
                                 {"spec",
                                  {{"header_bytes", 16384},
                                   {"body_bytes", 1048576},
                                   {"header_timeout", "5s"},
                                   {"idle_timeout", "20s"}}}}}}};
  store_.Put("op", "config", configuration.dump());
}

asio::awaitable<void> LateDeliveryCase::Send(const GatewayHost& gateway,
                                             std::string id) {
  HttpClient client(io_.get_executor(),
                    gateway.endpoint(GatewayHost::kCallerPort), kMaxBodyBytes);
  HttpRequest request;
  request.method = "POST";
  request.target = "/confirm/" + id;
  request.headers = {
      {"Host", kHost},
      {"X-Request-Id", id},
      {"X-Deadline-Ms",
       std::to_string(static_cast<int>(ToMilliseconds(kDeadline)))}};
  request.body = "signed";
  const auto response = co_await client.Send(std::move(request), kDeadline);
  const bool is_served = response && response.value().status == 200;
  if (is_served) ++served_count_;
  record_.Add("the client of " + id + " at " + gateway.address() + " gets " +
              (response ? std::to_string(response.value().status)
                        : response.error().ToString()));
}

asio::awaitable<int> LateDeliveryCase::Run() {
  PublishConfiguration();
  Backend leaving(io_, store_, record_, "i-leaving", kOtherZone);
  Backend staying(io_, store_, record_, "i-staying", kZone);
  if (!StartGateways()) co_return kCouldNotRun;
  for (const auto& gateway : gateways_) {
    const bool is_ready =
        co_await AwaitReady(*gateway, std::chrono::seconds(10));
    if (!is_ready) co_return kCouldNotRun;
  }
  co_await SleepUntil(MonotonicNow() + std::chrono::seconds(4));
  // Gives each gateway idle connections to both servers.
  int last_request = 0;
  for (int round = 0; round < kWarmUpRounds; ++round) {
    for (const auto& gateway : gateways_) {
      for (int i = 0; i < 3; ++i) {
        asio::co_spawn(io_,
                       Send(*gateway, "w" + std::to_string(++last_request)),
                       asio::detached);
      }
    }
    co_await SleepUntil(MonotonicNow() + std::chrono::milliseconds(200));
  }
  const TimePoint cut_at = MonotonicNow();
  if (HasTrouble()) {
    record_.Add("the zone of i-leaving is cut off");
    leaving.link().Cut();
  }
  for (const auto& gateway : gateways_) {
    for (int i = 0; i < kRequestsAtCut; ++i) {
      asio::co_spawn(io_, Send(*gateway, "r" + std::to_string(++last_request)),
                     asio::detached);
    }
  }
  co_await SleepUntil(cut_at + kCutTime);
  if (HasTrouble()) {
    record_.Add("the zone of i-leaving is back");
    leaving.link().Heal();
  }
  leaving.set_healed_at(cut_at + kCutTime);
  co_await SleepUntil(cut_at + kLeavingAt);
  leaving.BeginLeaving();
  co_await SleepUntil(cut_at + kEndAt);
  for (const auto& gateway : gateways_) {
    if (!gateway->is_running()) co_return kCouldNotRun;
  }
  if (served_count_ == 0) co_return kCouldNotRun;
  record_.Add(std::to_string(leaving.late_count()) +
              " requests reached i-leaving too late");
  co_return leaving.late_count() > 0 ? kRuleBroken : kRuleHeld;
}

int RunCase(const std::string& program, const std::string& record_path) {
  std::string directory =
      (std::filesystem::temp_directory_path() / "dogwood-review-XXXXXX")
          .string();
  if (::mkdtemp(directory.data()) == nullptr) return kCouldNotRun;
  CaseRecord record;
  int result = kCouldNotRun;
  {
    asio::io_context io(1);
    LateDeliveryCase late_delivery(io, record, program, directory);
    constexpr Duration kLimit = std::chrono::seconds(60);
    asio::steady_timer timer(io, kLimit);
    timer.async_wait([&](const boost::system::error_code& error) {
      if (!error) io.stop();
    });
    asio::co_spawn(io, late_delivery.Run(),
                   [&](const std::exception_ptr& failure, int code) {
                     if (!failure) result = code;
                     io.stop();
                   });
    io.run();
  }
  std::error_code ignored;
  std::filesystem::remove_all(directory, ignored);
  return record.Save(record_path) ? result : kCouldNotRun;
}

}  // namespace
}  // namespace dogwood

// Usage: scenario-6 GATEWAY RECORD
int main(int argc, char** argv) {
  if (argc != 3) return dogwood::kCouldNotRun;
  return dogwood::RunCase(argv[1], argv[2]);
}
