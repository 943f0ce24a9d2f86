// A backend server joins whose id has the same 32-bit hash as the id of a
// server of another service.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <map>
#include <unordered_map>

#include "Libraries/Routing/rendezvous.h"
#include "review/harness/harness.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

constexpr int kHostCount = 3;
constexpr Duration kWork = std::chrono::milliseconds(100);
constexpr Duration kRequestDeadline = std::chrono::milliseconds(2500);
constexpr Duration kRequestInterval = std::chrono::milliseconds(15);
constexpr Duration kTimeBeforeJoin = std::chrono::seconds(4);
constexpr Duration kTimeBetweenJoins = std::chrono::seconds(4);
constexpr Duration kTimeAfterJoin = std::chrono::seconds(14);
constexpr Duration kCaseLimit = std::chrono::seconds(100);
// Three servers join the ten of a service: a share of 0.3.
constexpr std::uint32_t kServersPerService = 10;
constexpr std::uint32_t kFirstOtherId = 0x7f3a91c2;
constexpr std::array<const char*, 2> kServices = {"ledger", "proofs"};

std::string ServerIdOf(std::uint32_t number) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "i-%08x", number);
  return text.data();
}

// The first two ids of the form that backends use whose hashes are equal in
// their lower 32 bits.
std::pair<std::string, std::string> FindCollidingIds() {
  std::unordered_map<std::uint32_t, std::uint32_t> known;
  for (std::uint32_t number = 0;; ++number) {
    const auto key = static_cast<std::uint32_t>(HashName(ServerIdOf(number)));
    const auto [found, is_new] = known.try_emplace(key, number);
    if (!is_new) return {ServerIdOf(found->second), ServerIdOf(number)};
  }
}

class EqualKeysCase {
 public:
  EqualKeysCase(asio::io_context& io, const std::string& record_path)
      : io_(io), record_(record_path), fleet_(io) {}

  asio::awaitable<int> Run();
  Record& record() { return record_; }

 private:
  void AddServer(const std::string& id, const std::string& service);
  asio::awaitable<void> Send();
  void CheckHosts();

  asio::io_context& io_;
  Record record_;
  Fleet fleet_;
  std::vector<std::unique_ptr<Backend>> servers_;
  std::map<std::string, std::string> service_of_;  // by request ID
  std::set<std::string> ended_hosts_;
  int sent_ = 0;
  int served_ = 0;
  int foreign_answers_ = 0;
  int wrong_service_runs_ = 0;
  int open_calls_ = 0;
};

void EqualKeysCase::AddServer(const std::string& id,
                              const std::string& service) {
  record_.Add("server " + id + " of " + service + " joins");
  servers_.push_back(std::make_unique<Backend>(
      io_, fleet_.store(), record_, Backend::Options{id, service, "z0"},
      [](const BackendRequest&) { return kWork; },
      [this](const Backend& server, const BackendRequest& request) {
        const std::string& asked = service_of_[request.id];
        if (asked == server.options().service) return;
        ++wrong_service_runs_;
        record_.Add("ROUTE broken: " + request.id + " belongs to " + asked +
                    " and is run by " + server.options().id + " of " +
                    server.options().service);
      }));
}

asio::awaitable<void> EqualKeysCase::Send() {
  ++open_calls_;
  const int number = sent_++;
  const std::string id = "r" + std::to_string(number);
  const std::string service =
      kServices[static_cast<std::size_t>(number) % kServices.size()];
  const auto host = static_cast<std::size_t>(number / 2) % fleet_.size();
  service_of_[id] = service;
  record_.Add("send " + id + " POST /" + service + "/ to " +
              fleet_.host(host).ip());
  const CallerRequest request{id, "POST", "/" + service + "/" + id, "once",
                              kRequestDeadline};
  const CallerAnswer answer = co_await Call(
      fleet_.host(host).endpoint(GatewayHost::kCallerPort), request);
  const bool is_success = answer.is_complete && answer.status == 200;
  if (is_success) ++served_;
  if (is_success && !answer.body.starts_with(service)) ++foreign_answers_;
  record_.Add("answer " + id + " " +
              (answer.is_complete ? std::to_string(answer.status) : "none") +
              " " + answer.stamp);
  --open_calls_;
}

void EqualKeysCase::CheckHosts() {
  for (std::size_t i = 0; i < fleet_.size(); ++i) {
    GatewayHost& host = fleet_.host(i);
    if (host.is_running() || !ended_hosts_.insert(host.ip()).second) continue;
    record_.Add("the process of " + host.ip() +
                " has ended by itself, status " +
                std::to_string(host.exit_status()));
  }
}

asio::awaitable<int> EqualKeysCase::Run() {
  const auto ids = FindCollidingIds();
  const bool has_hosts =
      fleet_.AddHosts(std::vector<std::string>(kHostCount, "z0"));
  if (!has_hosts) co_return kCouldNotRun;
  AddServer(ids.first, "ledger");
  AddServer(ServerIdOf(kFirstOtherId), "proofs");
  for (std::uint32_t i = 1; i < kServersPerService; ++i) {
    AddServer(ServerIdOf(kFirstOtherId + 2 * i), "ledger");
    AddServer(ServerIdOf(kFirstOtherId + 2 * i + 1), "proofs");
  }
  PublishConfiguration(
      fleet_.store(),
      {{"ledger", "/ledger/", "unsafe", "ledger", "300ms", "", 2},
       {"proofs", "/proofs/", "unsafe", "proofs", "300ms", "", 2}},
      {{"ledger"}, {"proofs"}});
  const bool is_started = co_await fleet_.Start();
  if (!is_started) co_return kCouldNotRun;
  const TimePoint first_join_at = MonotonicNow() + kTimeBeforeJoin;
  // The first of three new servers has the id with the equal hash.
  std::deque<std::string> joining = {has_trouble() ? ids.second : "i-e6e9145a",
                                     "i-d7f7e757", "i-5460bb09"};
  TimePoint next_join_at = first_join_at;
  while (MonotonicNow() < first_join_at + kTimeAfterJoin) {
    if (!joining.empty() && MonotonicNow() >= next_join_at) {
      AddServer(joining.front(), "proofs");
      joining.pop_front();
      next_join_at += kTimeBetweenJoins;
    }
    asio::co_spawn(io_, Send(), asio::detached);
    CheckHosts();
    co_await Sleep(kRequestInterval);
  }
  while (open_calls_ > 0) co_await Sleep(std::chrono::milliseconds(50));
  CheckHosts();
  std::printf(
      "ids %s and %s: %d requests sent, %d served, %d run by a service that "
      "their route does not name, %d answers of a foreign service, %zu "
      "processes ended by themselves\n",
      ids.first.c_str(), ids.second.c_str(), sent_, served_,
      wrong_service_runs_, foreign_answers_, ended_hosts_.size());
  if (served_ == 0) co_return kCouldNotRun;
  co_return wrong_service_runs_ > 0 || !ended_hosts_.empty() ? kRuleBroken
                                                             : kRuleHeld;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  if (argc != 2) return dogwood::kCouldNotRun;
  boost::asio::io_context io(1);
  dogwood::EqualKeysCase review_case(io, argv[1]);
  const int result =
      dogwood::RunCase(io, dogwood::kCaseLimit, review_case.Run());
  if (!review_case.record().Save()) return dogwood::kCouldNotRun;
  return result;
}
