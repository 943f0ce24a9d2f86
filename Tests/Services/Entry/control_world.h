#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/Platform/table_store.h"
#include "Services/Entry/control_clock.h"
#include "Services/Entry/peer_channel.h"

namespace dogwood::testing {

namespace asio = boost::asio;
using Json = nlohmann::json;
using std::chrono::milliseconds;

// Single-threaded simulation of several hosts: virtual time, a table store with
// injected faults and a lossy network. Deterministic for a given seed.
class ControlWorld {
 public:
  explicit ControlWorld(std::uint64_t seed) : random(seed) {}

  asio::io_context io;
  std::mt19937_64 random;
  TimePoint now{std::chrono::hours(1)};

  int Pick(int below) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(below));
  }
  bool Chance(int percent) { return Pick(100) < percent; }

  void At(TimePoint time, std::function<void()> action) {
    scheduled_actions_.emplace(std::pair(time, next_sequence_++),
                               std::move(action));
  }
  // Runs all actions due up to `end` and advances virtual time to it.
  void Run(TimePoint end) {
    while (true) {
      io.restart();
      io.poll();
      if (scheduled_actions_.empty() ||
          scheduled_actions_.begin()->first.first > end)
        break;
      now = std::max(now, scheduled_actions_.begin()->first.first);
      const auto action = std::move(scheduled_actions_.begin()->second);
      scheduled_actions_.erase(scheduled_actions_.begin());
      action();
    }
    now = end;
  }
  asio::awaitable<void> Sleep(Duration duration) {
    asio::steady_timer timer(io, asio::steady_timer::time_point::max());
    At(now + duration, [&timer] { timer.cancel(); });
    co_await WaitForCancel(timer);
  }
  static asio::awaitable<void> WaitForCancel(asio::steady_timer& timer) {
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }

  // Injected store faults. Percentages apply to each operation.
  bool is_store_down = false;
  bool are_checks_ignored = false;  // commits ignore their checks
  int slow_percent = 0;
  int lost_percent = 0;   // lost commit responses
  int stale_percent = 0;  // reads that lag by up to 1 s
  std::uint64_t commits = 0;

  // Injected network faults.
  int drop_percent = 0;

  struct RowVersion {
    TimePoint time;
    std::uint64_t version;
    std::string value;
    bool is_present;
  };
  std::map<std::string, std::vector<RowVersion>> rows;

  TableRow ReadAt(const std::string& key, TimePoint time) const {
    const auto found = rows.find(key);
    if (found == rows.end()) return {key};
    for (auto row = found->second.rbegin(); row != found->second.rend();
         ++row) {
      if (row->time > time) continue;
      if (!row->is_present) return {key};
      return {key, row->version, row->value};
    }
    return {key};
  }
  CommitResult Apply(const TableTransaction& commit) {
    CommitConflict conflict;
    for (const auto& check : commit.checks) {
      const TableRow row = ReadAt(check.key, now);
      if (row.version != check.version && !are_checks_ignored)
        conflict.current.push_back(row);
    }
    if (!conflict.current.empty()) return conflict;
    ++commits;
    for (const auto& put : commit.puts) {
      const std::uint64_t version = ReadAt(put.key, now).version + 1;
      rows[put.key].push_back({now, version, put.value, true});
    }
    for (const auto& key : commit.deletes)
      rows[key].push_back({now, 0, "", false});
    return Committed{};
  }

 private:
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>>
      scheduled_actions_;
  std::uint64_t next_sequence_ = 0;
};

// Pauses or kills a simulated host. Every operation that a host awaits ends
// with Pass(), so a paused host resumes later with its old state and a dead one
// never does.
class Gate {
 public:
  explicit Gate(ControlWorld& world)
      : signal_(world.io, asio::steady_timer::time_point::max()) {}
  enum class State { kRunning, kPaused, kDead };
  State state = State::kRunning;
  void Resume() {
    state = State::kRunning;
    signal_.cancel();
  }
  asio::awaitable<void> Pass() {
    while (state != State::kRunning)
      co_await ControlWorld::WaitForCancel(signal_);
  }

 private:
  asio::steady_timer signal_;
};

class SimulatedClock final : public ControlClock {
 public:
  SimulatedClock(ControlWorld& world, Gate& gate)
      : world_(world), gate_(gate) {}
  TimePoint Now() const override { return world_.now; }
  // Virtual time starts at 2026-12-04T00:00Z.
  WallTime Wall() const override {
    return WallTime(std::chrono::seconds(1796342400)) +
           std::chrono::duration_cast<std::chrono::microseconds>(
               world_.now.time_since_epoch());
  }
  asio::awaitable<void> Sleep(Duration duration) override {
    co_await world_.Sleep(duration);
    co_await gate_.Pass();
  }

 private:
  ControlWorld& world_;
  Gate& gate_;
};

class FakeTableStore final : public TableStore {
 public:
  FakeTableStore(ControlWorld& world, Gate& gate)
      : world_(world), gate_(gate) {}

  asio::awaitable<CommitResult> Commit(TableTransaction commit,
                                       Duration timeout) override {
    const CommitResult result =
        co_await CommitOverNetwork(std::move(commit), timeout);
    co_await gate_.Pass();
    co_return result;
  }
  asio::awaitable<Result<TableRow>> Read(std::string key,
                                         Duration timeout) override {
    co_await SimulateLatency(timeout);
    if (world_.is_store_down) co_return Fail(ErrorCode::kUnavailable, "down");
    co_return world_.ReadAt(key, ReadTime());
  }
  asio::awaitable<Result<std::vector<TableRow>>> Scan(
      std::string prefix, std::string after, std::size_t limit,
      Duration timeout) override {
    co_await SimulateLatency(timeout);
    if (world_.is_store_down) co_return Fail(ErrorCode::kUnavailable, "down");
    const TimePoint time = ReadTime();
    std::vector<TableRow> found;
    for (auto row = world_.rows.upper_bound(std::max(prefix, after));
         row != world_.rows.end() && row->first.starts_with(prefix) &&
         found.size() < limit;
         ++row) {
      TableRow read = world_.ReadAt(row->first, time);
      if (read.version > 0) found.push_back(std::move(read));
    }
    co_return found;
  }

 private:
  TimePoint ReadTime() {
    return world_.Chance(world_.stale_percent)
               ? world_.now - milliseconds(world_.Pick(1000))
               : world_.now;
  }
  asio::awaitable<void> SimulateLatency(Duration timeout) {
    co_await world_.Sleep(
        std::min(timeout, Duration(milliseconds(1 + world_.Pick(8)))));
    co_await gate_.Pass();
  }
  asio::awaitable<CommitResult> CommitOverNetwork(TableTransaction commit,
                                                  Duration timeout) {
    const bool is_slow = world_.Chance(world_.slow_percent);
    co_await world_.Sleep(milliseconds(1 + world_.Pick(is_slow ? 900 : 8)));
    if (world_.is_store_down) co_return CommitUnavailable{};
    if (!world_.Chance(world_.lost_percent)) {
      co_return world_.Apply(commit);
    }
    // A commit without a response takes effect now, up to 3 s later or never.
    const int effect = world_.Pick(3);
    if (effect == 0) world_.Apply(commit);
    if (effect == 1) {
      world_.At(world_.now + milliseconds(world_.Pick(3000)),
                [this, commit] { world_.Apply(commit); });
    }
    co_await world_.Sleep(timeout);
    co_return CommitOutcomeUnknown{};
  }

  ControlWorld& world_;
  Gate& gate_;
};

// The channels of all hosts by host id. A restarted host replaces its entry.
class FakePeers;
using Switchboard = std::map<HostId, FakePeers*>;

class FakePeers final : public PeerChannel {
 public:
  FakePeers(ControlWorld& world, Gate& gate, Switchboard& board, HostId host,
            Incarnation incarnation)
      : world_(world),
        gate_(gate),
        board_(board),
        host_(std::move(host)),
        incarnation_(incarnation) {
    board_[host_] = this;
  }

  Incarnation incarnation() const { return incarnation_; }
  bool is_running() const { return gate_.state != Gate::State::kDead; }
  void SetView(std::vector<Member> view) {
    view_ = std::move(view);
    for (const auto& listener : listeners_) listener(view_);
  }

  std::vector<Member> members() const override { return view_; }
  void AddMemberListener(MemberListener listener) override {
    listeners_.push_back(std::move(listener));
  }
  TimePoint last_acknowledged_send_time() const override { return world_.now; }
  void Handle(std::string kind, Handler handler) override {
    handlers_[kind] = std::move(handler);
  }
  asio::awaitable<Result<Json>> Call(HostId to, std::string kind, Json body,
                                     Duration timeout) override {
    const auto target = board_.find(to);
    co_await world_.Sleep(milliseconds(1 + world_.Pick(2)));
    if (target == board_.end() || !target->second->is_running()) {
      co_await gate_.Pass();
      co_return Fail(ErrorCode::kUnavailable, "connection refused");
    }
    // Shared by the handler and the caller, which may time out first.
    struct PendingCall {
      std::optional<Result<Json>> response;
      asio::steady_timer* signal = nullptr;
    };
    auto pending_call = std::make_shared<PendingCall>();
    asio::steady_timer signal(world_.io, asio::steady_timer::time_point::max());
    pending_call->signal = &signal;
    if (!world_.Chance(world_.drop_percent)) {
      asio::co_spawn(
          world_.io,
          [](FakePeers* peer, HostId from, std::string name, Json request,
             std::shared_ptr<PendingCall> call) -> asio::awaitable<void> {
            co_await peer->gate_.Pass();
            Result<Json> response =
                co_await peer->handlers_.at(name)(from, std::move(request));
            co_await peer->world_.Sleep(milliseconds(1));
            if (peer->world_.Chance(peer->world_.drop_percent)) co_return;
            call->response = std::move(response);
            if (call->signal != nullptr) call->signal->cancel();
          }(target->second, host_, kind, std::move(body), pending_call),
          asio::detached);
    }
    world_.At(world_.now + timeout, [pending_call] {
      if (pending_call->signal != nullptr) pending_call->signal->cancel();
    });
    co_await ControlWorld::WaitForCancel(signal);
    pending_call->signal = nullptr;
    const auto response = pending_call->response;
    co_await gate_.Pass();
    if (!response) co_return Fail(ErrorCode::kOutcomeUnknown, "no response");
    co_return *response;
  }
  void Broadcast(std::string kind, Json body) override {
    for (const Member& member : view_) {
      asio::co_spawn(
          world_.io,
          [](FakePeers* self, HostId to, std::string name,
             Json request) -> asio::awaitable<void> {
            co_await self->Call(to, name, std::move(request),
                                std::chrono::seconds(1));
          }(this, member.host, kind, body),
          asio::detached);
    }
  }
  void AddPiggyback(std::string, PiggybackSource, PiggybackSink) override {}

 private:
  ControlWorld& world_;
  Gate& gate_;
  Switchboard& board_;
  HostId host_;
  Incarnation incarnation_;
  std::vector<Member> view_;
  std::vector<MemberListener> listeners_;
  std::map<std::string, Handler> handlers_;
};

}  // namespace dogwood::testing
