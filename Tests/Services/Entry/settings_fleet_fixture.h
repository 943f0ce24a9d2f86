#pragma once

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Services/Entry/operator_api.h"
#include "Services/Entry/settings_service.h"
#include "Tests/Services/Entry/fake_peer_network.h"
#include "Tests/Services/Entry/settings_history.h"
#include "Tests/StandIns/memory_table_store.h"

namespace dogwood {

// Yields to other work a seeded number of times before and after each
// operation, so that concurrent operators interleave reproducibly.
class YieldingTableStore : public TableStore {
 public:
  YieldingTableStore(boost::asio::io_context& context, unsigned seed)
      : context_(context), random_(seed) {}

  boost::asio::awaitable<CommitResult> Commit(TableTransaction commit,
                                              Duration timeout) override {
    co_await Yield();
    CommitResult result = co_await memory.Commit(std::move(commit), timeout);
    co_await Yield();
    co_return result;
  }
  boost::asio::awaitable<Result<TableRow>> Read(std::string key,
                                                Duration timeout) override {
    co_await Yield();
    Result<TableRow> row = co_await memory.Read(std::move(key), timeout);
    co_return row;
  }
  boost::asio::awaitable<Result<std::vector<TableRow>>> Scan(
      std::string prefix, std::string after, std::size_t limit,
      Duration timeout) override {
    co_await Yield();
    Result<std::vector<TableRow>> rows = co_await memory.Scan(
        std::move(prefix), std::move(after), limit, timeout);
    co_return rows;
  }

  MemoryTableStore memory;

 private:
  boost::asio::awaitable<void> Yield() {
    const unsigned times = random_() % 4;
    for (unsigned i = 0; i < times; ++i)
      co_await boost::asio::post(context_, boost::asio::use_awaitable);
  }

  boost::asio::io_context& context_;
  std::minstd_rand random_;
};

// The settings services of several hosts that share one store and one network,
// and the history of their responses.
struct SettingsFleetFixture {
  explicit SettingsFleetFixture(int host_count, unsigned seed = 1)
      : store(context, seed) {
    for (int i = 0; i < host_count; ++i) {
      hosts.push_back(std::make_unique<Host>());
      hosts.back()->id = HostId("h" + std::to_string(i));
      RestartHost(i);
    }
  }

  struct Host {
    HostId id;
    std::unique_ptr<FakePeerNetwork::Channel> channel;
    std::unique_ptr<SettingsService> service;
    // The latest published configuration.
    std::shared_ptr<const FleetConfiguration> published;
  };

  void RestartHost(int index) {
    RunAll();  // handlers of the old process must have finished
    Host& host = *hosts[index];
    host.service.reset();
    host.channel.reset();
    host.published.reset();
    // A restarted process may have an older version, so the history tracks it
    // as a new host.
    const std::string name =
        host.id.value() + "/" + std::to_string(++launches_);
    host.channel = std::make_unique<FakePeerNetwork::Channel>(network, host.id);
    SettingsService::Options options;
    options.host = host.id;
    options.retry_delay = Duration::zero();
    host.service = std::make_unique<SettingsService>(
        context.get_executor(), options, store, *host.channel, nullptr,
        [this, &host,
         name](std::shared_ptr<const FleetConfiguration> configuration) {
          history.host_versions[name].push_back(configuration->version.value());
          host.published = std::move(configuration);
        });
  }

  SettingsService& service(int index) { return *hosts[index]->service; }

  // Runs all ready handlers.
  void RunAll() {
    context.restart();
    context.poll();
  }
  void Start(int index) {
    boost::asio::co_spawn(
        context,
        [this, index]() -> boost::asio::awaitable<void> {
          (void)co_await service(index).Start();
        },
        boost::asio::detached);
    RunAll();
  }
  void StartAll() {
    for (int i = 0; i < static_cast<int>(hosts.size()); ++i) Start(i);
  }
  // Submits without waiting; the outcome is recorded in the history.
  void Submit(int index, const std::string& id, const std::string& path,
              nlohmann::json value, std::uint64_t base = 0) {
    const std::size_t operation_index = history.operations.size();
    history.operations.push_back({id, path, value});
    SettingsChangeRequest request{OperationId(id), path, std::move(value),
                                  "operator", SettingsVersion(base)};
    boost::asio::co_spawn(
        context,
        [this, index, operation_index,
         request]() -> boost::asio::awaitable<void> {
          SettingsChangeRequest copy = request;
          const auto outcome = co_await service(index).Submit(std::move(copy));
          RecordOutcome(history.operations[operation_index], outcome);
        },
        boost::asio::detached);
  }
  SettingsHistory::Operation SubmitAndRun(int index, const std::string& id,
                                          const std::string& path,
                                          nlohmann::json value,
                                          std::uint64_t base = 0) {
    const std::size_t operation_index = history.operations.size();
    Submit(index, id, path, std::move(value), base);
    RunAll();
    return history.operations[operation_index];
  }
  void Poll(int index) {
    boost::asio::co_spawn(
        context,
        [this, index]() -> boost::asio::awaitable<void> {
          co_await service(index).PollStore();
        },
        boost::asio::detached);
    RunAll();
  }
  void ExchangeAllPings() {
    for (const auto& left : hosts) {
      for (const auto& right : hosts) {
        if (left != right) network.Ping(left->id, right->id);
        RunAll();
      }
    }
  }

  // Ends all faults and lets the hosts converge.
  void Converge() {
    store.memory.is_down = false;
    store.memory.read_staleness = {};
    store.memory.next_commit_fault = MemoryTableStore::CommitFault::kNone;
    store.memory.ApplyDelayedCommits();
    network.HealPartitions();
    network.DeliverBroadcasts();
    RunAll();
    for (int i = 0; i < static_cast<int>(hosts.size()); ++i) {
      if (!service(i).is_ready()) Start(i);
    }
    for (int round = 0; round < 4; ++round) {
      ExchangeAllPings();
      for (int i = 0; i < static_cast<int>(hosts.size()); ++i) Poll(i);
      network.DeliverBroadcasts();
      RunAll();
    }
  }

  std::vector<std::string> FindViolations() const {
    std::vector<std::string> violations =
        history.Check(store.memory.table.Newest());
    for (const auto& host : hosts) {
      const SettingsChangeLog& change_log = host->service->change_log();
      if (change_log.version() != hosts[0]->service->change_log().version() ||
          change_log.EffectiveTree().root() !=
              hosts[0]->service->change_log().EffectiveTree().root())
        violations.push_back(host->id.value() + " differs from " +
                             hosts[0]->id.value());
      if (!change_log.orders().empty())
        violations.push_back(host->id.value() + " has pending orders");
    }
    return violations;
  }

  boost::asio::io_context context;
  YieldingTableStore store;
  FakePeerNetwork network{context};
  SettingsHistory history;
  std::vector<std::unique_ptr<Host>> hosts;

 private:
  static void RecordOutcome(SettingsHistory::Operation& operation,
                            const Result<ChangeOutcome>& outcome) {
    using Outcome = SettingsHistory::Outcome;
    if (!outcome) {
      operation.outcome = outcome.error().code == ErrorCode::kOutcomeUnknown
                              ? Outcome::kUnknown
                              : Outcome::kRefused;
    } else if (const auto* accepted =
                   std::get_if<ChangeAccepted>(&outcome.value())) {
      operation.outcome = Outcome::kAccepted;
      operation.version = accepted->version.value();
    } else {
      operation.outcome =
          std::holds_alternative<ChangeProvisional>(outcome.value())
              ? Outcome::kProvisional
              : Outcome::kRefused;
    }
  }

  int launches_ = 0;
};

}  // namespace dogwood
