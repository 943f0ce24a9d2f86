// Two gateways of a zone are stopped in turn. Each cuts requests that it has
// started in the last half second in which it accepts connections.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <cstdio>
#include <map>
#include <random>

#include "review/harness/harness.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kHostCount = 3;
constexpr std::size_t kStoppedHosts = 2;  // one after the other
constexpr int kServerCount = 18;
constexpr Duration kUsualWork = std::chrono::milliseconds(300);
// Below six times the mean of the work.
constexpr Duration kLongWork = std::chrono::milliseconds(2700);
constexpr double kLongShare = 0.15;
constexpr Duration kRequestDeadline = std::chrono::seconds(5);
constexpr Duration kRequestInterval = std::chrono::milliseconds(10);
constexpr Duration kTimeBeforeStop = std::chrono::seconds(4);
constexpr Duration kBetweenStops = std::chrono::milliseconds(1300);
constexpr Duration kRestartDelay = std::chrono::milliseconds(500);
constexpr Duration kTrafficAfterStop = std::chrono::seconds(9);
// Requests sent later than this after the SIGTERM are not excused.
constexpr Duration kExcusedUntil = std::chrono::seconds(3);
constexpr Duration kGrace = std::chrono::seconds(6);
constexpr Duration kReadinessInterval = std::chrono::seconds(1);
constexpr int kMissesUntilOut = 2;
constexpr Duration kCaseLimit = std::chrono::seconds(100);

struct Sent {
  TimePoint at{};
  std::size_t host = 0;
  bool has_run = false;
  bool is_answered = false;
};

struct HostState {
  int misses = 0;
  bool is_in_rotation = true;
  bool is_stopping = false;
  TimePoint stop_at = TimePoint::max();
};

class PlannedStopCase {
 public:
  PlannedStopCase(asio::io_context& io, const std::string& record_path)
      : io_(io), record_(record_path), fleet_(io), states_(kHostCount) {}

  asio::awaitable<int> Run();
  Record& record() { return record_; }

 private:
  // The platform's balancer, as in PROTOCOL.md under Ingress: asks each node
  // once a second, and takes it out of the rotation after two misses.
  asio::awaitable<void> AskReadiness(std::size_t host);
  // The node for a new connection. If fewer than half of the zone's nodes are
  // in rotation, all are used. There is always one in rotation here.
  std::size_t SelectHost();
  // Stops a host as the platform does, and starts it again.
  asio::awaitable<void> StopAndStart(std::size_t host);
  asio::awaitable<void> Send();
  Duration WorkOf(const BackendRequest& request);

  asio::io_context& io_;
  Record record_;
  Fleet fleet_;
  std::vector<HostState> states_;
  std::vector<std::unique_ptr<Backend>> servers_;
  std::map<std::string, Sent> sent_;  // by request ID
  std::mt19937 random_{3};
  int open_calls_ = 0;
  int served_ = 0;
  int late_ = 0;  // no answer until the caller's deadline
};

Duration PlannedStopCase::WorkOf(const BackendRequest& /*request*/) {
  std::uniform_real_distribution<double> draw(0, 1);
  return draw(random_) < kLongShare ? kLongWork : kUsualWork;
}

asio::awaitable<void> PlannedStopCase::AskReadiness(std::size_t host) {
  HostState& state = states_[host];
  CallerRequest question;
  question.target = "/v1/readiness";
  question.deadline = kReadinessInterval;
  for (TimePoint next = MonotonicNow();;) {
    const CallerAnswer answer = co_await Call(
        fleet_.host(host).endpoint(GatewayHost::kReadinessPort), question);
    state.misses = answer.status == 200 ? 0 : state.misses + 1;
    const bool was_in_rotation = state.is_in_rotation;
    if (state.misses == 0) state.is_in_rotation = true;
    if (state.misses >= kMissesUntilOut) state.is_in_rotation = false;
    if (was_in_rotation != state.is_in_rotation) {
      record_.Add(fleet_.host(host).ip() + (state.is_in_rotation
                                                ? " is in rotation"
                                                : " is out of rotation"));
    }
    next += kReadinessInterval;
    co_await Sleep(next - MonotonicNow());
  }
}

std::size_t PlannedStopCase::SelectHost() {
  std::vector<std::size_t> in_rotation;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    if (states_[i].is_in_rotation) in_rotation.push_back(i);
  }
  if (2 * in_rotation.size() < states_.size()) return random_() % kHostCount;
  return in_rotation[random_() % in_rotation.size()];
}

asio::awaitable<void> PlannedStopCase::StopAndStart(std::size_t index) {
  GatewayHost& host = fleet_.host(index);
  HostState& state = states_[index];
  state.stop_at = MonotonicNow();
  record_.Add("SIGTERM to " + host.ip());
  host.Signal(SIGTERM);
  while (host.is_running() && MonotonicNow() < state.stop_at + kGrace)
    co_await Sleep(std::chrono::milliseconds(20));
  record_.Add(host.ip() + " has ended, or its grace is over");
  host.Kill();
  co_await Sleep(kRestartDelay);
  record_.Add("start " + host.ip());
  host.Start(false);
}

asio::awaitable<void> PlannedStopCase::Send() {
  ++open_calls_;
  const std::string id = "r" + std::to_string(sent_.size());
  Sent& sent = sent_[id];
  sent.host = SelectHost();
  sent.at = MonotonicNow();
  const GatewayHost& host = fleet_.host(sent.host);
  record_.Add("send " + id + " POST to " + host.ip());
  const CallerRequest request{id, "POST", "/transfer/" + id, "once",
                              kRequestDeadline};
  const CallerAnswer answer =
      co_await Call(host.endpoint(GatewayHost::kCallerPort), request);
  // A request that reached its deadline is not judged.
  sent.is_answered =
      answer.is_complete || answer.is_late || !answer.is_connected;
  if (answer.is_complete && answer.status == 200) ++served_;
  if (answer.is_late) ++late_;
  record_.Add("answer " + id + " " +
              (answer.is_complete    ? std::to_string(answer.status)
               : answer.is_late      ? "none until the deadline"
               : answer.is_connected ? "none, the connection ended"
                                     : "none, not connected"));
  --open_calls_;
}

asio::awaitable<int> PlannedStopCase::Run() {
  const bool has_hosts =
      fleet_.AddHosts(std::vector<std::string>(kHostCount, "z0"));
  if (!has_hosts) co_return kCouldNotRun;
  for (int i = 0; i < kServerCount; ++i) {
    servers_.push_back(std::make_unique<Backend>(
        io_, fleet_.store(), record_,
        Backend::Options{"i-" + std::to_string(i), "ledger", "z0"},
        [this](const BackendRequest& request) { return WorkOf(request); },
        [this](const Backend&, const BackendRequest& request) {
          sent_[request.id].has_run = true;
        }));
  }
  PublishConfiguration(
      fleet_.store(),
      {{"transfer", "/transfer/", "unsafe", "ledger", "1s", "", 2}},
      {{"ledger"}});
  const bool is_started = co_await fleet_.Start();
  if (!is_started) co_return kCouldNotRun;
  for (std::size_t i = 0; i < kHostCount; ++i)
    asio::co_spawn(io_, AskReadiness(i), asio::detached);
  const TimePoint first_stop_at = MonotonicNow() + kTimeBeforeStop;
  while (MonotonicNow() < first_stop_at + kTrafficAfterStop) {
    for (std::size_t i = 0; i < kStoppedHosts && has_trouble(); ++i) {
      HostState& state = states_[i];
      const TimePoint stop_at =
          first_stop_at + static_cast<int>(i) * kBetweenStops;
      if (state.is_stopping || MonotonicNow() < stop_at) continue;
      state.is_stopping = true;
      asio::co_spawn(io_, StopAndStart(i), asio::detached);
    }
    asio::co_spawn(io_, Send(), asio::detached);
    co_await Sleep(kRequestInterval);
  }
  while (open_calls_ > 0) co_await Sleep(std::chrono::milliseconds(50));
  int lost = 0;
  int excused = 0;
  for (const auto& [id, request] : sent_) {
    if (!request.has_run || request.is_answered) continue;
    const TimePoint stop_at = states_[request.host].stop_at;
    const bool is_excused = request.at <= stop_at + kExcusedUntil;
    ++(is_excused ? excused : lost);
    record_.Add(
        (is_excused ? "excused: " : "LOST broken: ") + id + " sent " +
        std::to_string(record_.Seconds(request.at) - record_.Seconds(stop_at)) +
        " s after the SIGTERM was run and not answered");
  }
  std::printf(
      "%zu requests sent, %d served, %d late, %d run and cut (%d more are "
      "excused)\n",
      sent_.size(), served_, late_, lost, excused);
  if (served_ == 0) co_return kCouldNotRun;
  co_return lost > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  if (argc != 2) return dogwood::kCouldNotRun;
  boost::asio::io_context io(1);
  dogwood::PlannedStopCase review_case(io, argv[1]);
  const int result =
      dogwood::RunCase(io, dogwood::kCaseLimit, review_case.Run());
  if (!review_case.record().Save()) return dogwood::kCouldNotRun;
  return result;
}
