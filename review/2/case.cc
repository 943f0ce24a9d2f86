// A planned stop of a gateway cuts requests that it has started in the last
// half second in which it accepts connections.
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

constexpr Duration kUsualWork = std::chrono::milliseconds(400);
constexpr Duration kLongWork = std::chrono::milliseconds(2700);
constexpr double kLongShare = 0.15;
// Below six times the mean of the work.
constexpr Duration kRequestDeadline = std::chrono::seconds(5);
constexpr Duration kRequestInterval = std::chrono::milliseconds(30);
constexpr Duration kTimeBeforeStop = std::chrono::seconds(4);
// Requests sent later than this after the SIGTERM are not excused.
constexpr Duration kExcusedUntil = std::chrono::seconds(3);
constexpr Duration kGrace = std::chrono::seconds(6);
constexpr Duration kCaseLimit = std::chrono::seconds(100);

struct Sent {
  TimePoint at{};
  bool has_run = false;
  bool is_answered = false;
};

class PlannedStopCase {
 public:
  PlannedStopCase(asio::io_context& io, const std::string& record_path)
      : io_(io), record_(record_path), fleet_(io) {}

  asio::awaitable<int> Run();
  Record& record() { return record_; }

 private:
  asio::awaitable<void> Send();
  Duration WorkOf(const BackendRequest& request);

  asio::io_context& io_;
  Record record_;
  Fleet fleet_;
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

asio::awaitable<void> PlannedStopCase::Send() {
  ++open_calls_;
  const std::string id = "r" + std::to_string(sent_.size());
  sent_[id].at = MonotonicNow();
  record_.Add("send " + id + " POST");
  const CallerRequest request{id, "POST", "/transfer/" + id, "once",
                              kRequestDeadline};
  const CallerAnswer answer =
      co_await Call(fleet_.host(0).endpoint(GatewayHost::kCallerPort), request);
  // A request that reached its deadline is not judged.
  sent_[id].is_answered =
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
  // With one host in each zone, the platform sends the clients of a zone to its
  // host also while it isn't ready.
  const bool has_hosts = fleet_.AddHosts({"z0", "z1", "z2"});
  if (!has_hosts) co_return kCouldNotRun;
  for (int i = 0; i < 9; ++i) {
    servers_.push_back(std::make_unique<Backend>(
        io_, fleet_.store(), record_,
        Backend::Options{"i-" + std::to_string(i), "ledger",
                         "z" + std::to_string(i % 3)},
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
  const TimePoint stop_at = MonotonicNow() + kTimeBeforeStop;
  bool is_stopped = false;
  while (MonotonicNow() < stop_at + kGrace) {
    if (!is_stopped && MonotonicNow() >= stop_at && has_trouble()) {
      record_.Add("SIGTERM to the host");
      fleet_.host(0).Signal(SIGTERM);
      is_stopped = true;
    }
    asio::co_spawn(io_, Send(), asio::detached);
    co_await Sleep(kRequestInterval);
    if (is_stopped && !fleet_.host(0).is_running()) break;
  }
  record_.Add("the host has ended, or its grace is over");
  fleet_.host(0).Kill();
  co_await Sleep(std::chrono::milliseconds(100));
  int lost = 0;
  int excused = 0;
  while (has_trouble() && open_calls_ > 0)
    co_await Sleep(std::chrono::milliseconds(50));
  for (const auto& [id, request] : sent_) {
    if (!request.has_run || request.is_answered) continue;
    // Without a stop, the case itself ends the host at last.
    if (!has_trouble()) continue;
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
