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

// Lets other work run before and after each operation, a seeded number of
// times, so that concurrent operators interleave in a fixed way.
class YieldingTableStore : public TableStore {
 public:
  YieldingTableStore(boost::asio::io_context& context, unsigned seed)
      : context_(context), random_(seed) {}

  boost::asio::awaitable<CommitResult> Commit(TableCommit commit,
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

// Several hosts' settings services over one store and one network, with the
// history of what they answered.
struct SettingsFleet {
  explicit SettingsFleet(int host_count, unsigned seed = 1)
      : store(context, seed) {
    for (int i = 0; i < host_count; ++i) {
      hosts.push_back(std::make_unique<Host>());
      hosts.back()->id = HostId("h" + std::to_string(i));
      Launch(i);
    }
  }

  struct Host {
    HostId id;
    std::unique_ptr<FakePeerNetwork::Channel> channel;
    std::unique_ptr<SettingsService> service;
    // As given to the publisher.
    std::shared_ptr<const FleetConfiguration> published;
  };

  void Launch(int index) {
    RunAll();  // no work of the old process may be left
    Host& host = *hosts[index];
    host.service.reset();
    host.channel.reset();
    host.published.reset();
    // A restarted process may start behind; it is a new host to the history.
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

  // Runs everything that is ready.
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
  // Submits without waiting; the answer goes to the history.
  void Submit(int index, const std::string& id, const std::string& path,
              nlohmann::json value, std::uint64_t base = 0) {
    const std::size_t slot = history.operations.size();
    history.operations.push_back({id, path, value});
    ChangeRequest request{OperationId(id), path, std::move(value), "operator",
                          SettingsVersion(base)};
    boost::asio::co_spawn(
        context,
        [this, index, slot, request]() -> boost::asio::awaitable<void> {
          ChangeRequest copy = request;
          const auto outcome = co_await service(index).Submit(std::move(copy));
          NoteAnswer(history.operations[slot], outcome);
        },
        boost::asio::detached);
  }
  SettingsHistory::Operation SubmitAndRun(int index, const std::string& id,
                                          const std::string& path,
                                          nlohmann::json value,
                                          std::uint64_t base = 0) {
    const std::size_t slot = history.operations.size();
    Submit(index, id, path, std::move(value), base);
    RunAll();
    return history.operations[slot];
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
  void PingAll() {
    for (const auto& left : hosts) {
      for (const auto& right : hosts) {
        if (left != right) network.Ping(left->id, right->id);
        RunAll();
      }
    }
  }

  // Ends all faults and lets every host settle.
  void Settle() {
    store.memory.is_down = false;
    store.memory.stale_reads = {};
    store.memory.next_fate = MemoryTableStore::Fate::kNormal;
    store.memory.ApplyLate();
    network.Heal();
    network.Deliver();
    RunAll();
    for (int i = 0; i < static_cast<int>(hosts.size()); ++i) {
      if (!service(i).is_ready()) Start(i);
    }
    for (int round = 0; round < 4; ++round) {
      PingAll();
      for (int i = 0; i < static_cast<int>(hosts.size()); ++i) Poll(i);
      network.Deliver();
      RunAll();
    }
  }

  std::vector<std::string> Violations() const {
    std::vector<std::string> violations =
        history.Check(store.memory.table.Newest());
    for (const auto& host : hosts) {
      const SettingsChain& chain = host->service->chain();
      if (chain.version() != hosts[0]->service->chain().version() ||
          chain.EffectiveTree().root() !=
              hosts[0]->service->chain().EffectiveTree().root())
        violations.push_back(host->id.value() + " differs from " +
                             hosts[0]->id.value());
      if (!chain.orders().empty())
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
  static void NoteAnswer(SettingsHistory::Operation& operation,
                         const Result<ChangeOutcome>& outcome) {
    using Answer = SettingsHistory::Answer;
    if (!outcome) {
      operation.answer = outcome.error().code == ErrorCode::kOutcomeUnknown
                             ? Answer::kUnknown
                             : Answer::kRefused;
    } else if (const auto* accepted =
                   std::get_if<ChangeAccepted>(&outcome.value())) {
      operation.answer = Answer::kAccepted;
      operation.version = accepted->version.value();
    } else {
      operation.answer =
          std::holds_alternative<ChangeProvisional>(outcome.value())
              ? Answer::kProvisional
              : Answer::kRefused;
    }
  }

  int launches_ = 0;
};

}  // namespace dogwood
