// A gateway is killed and started again while its requests wait at the
// dispatcher of its zone. The new process numbers its requests from 1 again and
// takes decisions that were made for requests of the old one.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <cstdio>
#include <map>
#include <random>

#include "Libraries/Routing/rendezvous.h"
#include "review/harness/harness.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

constexpr int kHostCount = 3;
// Per service: 4 servers of 6 slots. Work, goal and deadline are about those of
// the large deployment's uploads.
constexpr int kServersPerService = 4;
constexpr int kSlotsPerService = 24;
constexpr Duration kWork = std::chrono::milliseconds(1500);
constexpr Duration kRequestDeadline = std::chrono::seconds(20);
// Requests to the host that is killed, before the kill and after the restart.
constexpr int kRequestsOfKilledHost = 10;
// When the requests to the first host begin, after all slots are in use.
constexpr Duration kFirstHostDelay = std::chrono::milliseconds(800);
constexpr Duration kKillDelay = std::chrono::milliseconds(50);
constexpr Duration kRestartDelay = std::chrono::milliseconds(200);
constexpr Duration kStartTimeout = std::chrono::seconds(15);
constexpr Duration kCaseLimit = std::chrono::seconds(100);

struct Sent {
  std::string service;  // of its route
  std::string target;
};

class StaleDecisionCase {
 public:
  StaleDecisionCase(asio::io_context& io, const std::string& record_path)
      : io_(io), record_(record_path), fleet_(io) {}

  asio::awaitable<int> Run();
  Record& record() { return record_; }

 private:
  // A service name whose dispatcher is the host with this address.
  std::string NameOfServiceAt(const std::string& ip, const std::string& prefix);
  asio::awaitable<void> Send(std::size_t host, std::string service);
  // Requests to the first host, each for one of the services at random.
  asio::awaitable<void> SendMixed(std::vector<std::string> services);
  void OnRun(const Backend& server, const BackendRequest& request);

  asio::io_context& io_;
  Record record_;
  Fleet fleet_;
  std::vector<std::unique_ptr<Backend>> servers_;
  std::map<std::string, Sent> sent_;  // by request ID
  std::map<std::string, int> runs_;
  std::mt19937 random_{30};
  int open_calls_ = 0;
  int answered_ = 0;
  int wrong_service_runs_ = 0;
  int foreign_answers_ = 0;
};

std::string StaleDecisionCase::NameOfServiceAt(const std::string& ip,
                                               const std::string& prefix) {
  for (int i = 0;; ++i) {
    std::string name = prefix + std::to_string(i);
    const std::uint64_t task = HashName(name);
    bool is_top = true;
    for (std::size_t host = 0; host < fleet_.size(); ++host) {
      const std::string& other = fleet_.host(host).ip();
      is_top = is_top && (other == ip || CombineHashes(HashName(other), task) <
                                             CombineHashes(HashName(ip), task));
    }
    if (is_top) return name;
  }
}

void StaleDecisionCase::OnRun(const Backend& server,
                              const BackendRequest& request) {
  const auto sent = sent_.find(request.id);
  if (++runs_[request.id] > 1) record_.Add("TWICE " + request.id);
  if (sent == sent_.end()) {
    record_.Add("UNASKED " + request.id);
    return;
  }
  if (sent->second.service == server.options().service) return;
  ++wrong_service_runs_;
  record_.Add("ROUTE broken: " + request.id + " " + request.target +
              " belongs to " + sent->second.service + " and is run by " +
              server.options().id + " of " + server.options().service);
}

asio::awaitable<void> StaleDecisionCase::Send(std::size_t host,
                                              std::string service) {
  ++open_calls_;
  const std::string id = "r" + std::to_string(sent_.size());
  const std::string target = "/" + service + "/" + id;
  sent_[id] = {service, target};
  record_.Add("send " + id + " POST " + target + " to " +
              fleet_.host(host).ip());
  const CallerRequest request{id, "POST", target, "once", kRequestDeadline};
  const CallerAnswer answer = co_await Call(
      fleet_.host(host).endpoint(GatewayHost::kCallerPort), request);
  const bool is_success = answer.is_complete && answer.status == 200;
  if (is_success) ++answered_;
  record_.Add("answer " + id + " " +
              (answer.is_complete ? std::to_string(answer.status) : "none") +
              " " + answer.stamp);
  if (is_success && !answer.body.starts_with(service)) {
    ++foreign_answers_;
    record_.Add("the caller of " + target + " gets: " + answer.body);
  }
  --open_calls_;
}

asio::awaitable<void> StaleDecisionCase::SendMixed(
    std::vector<std::string> services) {
  for (int i = 0; i < kRequestsOfKilledHost; ++i) {
    asio::co_spawn(io_, Send(0, services[random_() % services.size()]),
                   asio::detached);
    co_await Sleep(std::chrono::milliseconds(5));
  }
}

asio::awaitable<int> StaleDecisionCase::Run() {
  const bool has_hosts =
      fleet_.AddHosts(std::vector<std::string>(kHostCount, "z0"));
  if (!has_hosts) co_return kCouldNotRun;
  GatewayHost& killed_host = fleet_.host(0);
  const std::string& dispatcher_ip = fleet_.host(1).ip();
  // The dispatcher of both services is the second host, the one that is killed
  // the first.
  const std::vector<std::string> services = {
      NameOfServiceAt(dispatcher_ip, "ledger"),
      NameOfServiceAt(dispatcher_ip, "proofs")};
  std::vector<RouteSpec> routes;
  for (const std::string& service : services) {
    routes.push_back(
        {"to-" + service, "/" + service + "/", "unsafe", service, "4s", "", 2});
    for (int i = 0; i < kServersPerService; ++i) {
      servers_.push_back(std::make_unique<Backend>(
          io_, fleet_.store(), record_,
          Backend::Options{"i-" + service + std::to_string(i), service, "z0"},
          [](const BackendRequest&) { return kWork; },
          [this](const Backend& server, const BackendRequest& request) {
            OnRun(server, request);
          }));
    }
  }
  PublishConfiguration(fleet_.store(), routes, {{services[0]}, {services[1]}});
  const bool is_started = co_await fleet_.Start();
  if (!is_started) co_return kCouldNotRun;
  // All slots are in use, so what comes next waits at the dispatcher.
  for (int i = 0; i < kSlotsPerService; ++i) {
    for (const std::string& service : services) {
      asio::co_spawn(io_, Send(1 + static_cast<std::size_t>(i) % 2, service),
                     asio::detached);
    }
    co_await Sleep(std::chrono::milliseconds(2));
  }
  co_await Sleep(kFirstHostDelay);
  co_await SendMixed(services);
  co_await Sleep(kKillDelay);
  if (has_trouble()) {
    record_.Add("SIGKILL to " + killed_host.ip());
    killed_host.Kill();
  }
  co_await Sleep(kRestartDelay);
  if (has_trouble()) {
    record_.Add("start " + killed_host.ip());
    if (!killed_host.Start(false)) co_return kCouldNotRun;
  }
  const bool is_back = co_await AwaitReady(killed_host, kStartTimeout);
  if (!is_back) co_return kCouldNotRun;
  co_await SendMixed(services);
  while (open_calls_ > 0) co_await Sleep(std::chrono::milliseconds(50));
  std::printf(
      "%zu requests sent, %d served, %d run by a service that their route "
      "does not name, %d answers of a foreign service\n",
      sent_.size(), answered_, wrong_service_runs_, foreign_answers_);
  if (answered_ == 0) co_return kCouldNotRun;
  co_return wrong_service_runs_ > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  if (argc != 2) return dogwood::kCouldNotRun;
  boost::asio::io_context io(1);
  dogwood::StaleDecisionCase review_case(io, argv[1]);
  const int result =
      dogwood::RunCase(io, dogwood::kCaseLimit, review_case.Run());
  if (!review_case.record().Save()) return dogwood::kCouldNotRun;
  return result;
}
