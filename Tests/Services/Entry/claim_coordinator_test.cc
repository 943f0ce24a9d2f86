#include "Services/Entry/claim_coordinator.h"

#include <doctest/doctest.h>

#include <atomic>
#include <set>
#include <thread>

#include "Tests/Services/Entry/control_world.h"

namespace dogwood {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using ResultKind = ClaimResult::Kind;

// What a requester did or was answered. A history is in order of time.
struct ClaimEvent {
  enum class Kind { kForwarded, kNotRun, kUnknown, kCompleted };
  Kind kind;
  std::string key;
  int request;
  std::uint16_t status = 0;
};
using History = std::vector<ClaimEvent>;

// Returns a description of the first violation of the at-most-once guarantee,
// or an empty string.
std::string FindViolation(const History& history) {
  std::map<std::string, int> forwarded_by_key;
  std::set<int> not_run_requests;
  std::set<int> forwarded_requests;
  for (const ClaimEvent& event : history) {
    const std::string name =
        event.key + " request " + std::to_string(event.request);
    if (event.kind == ClaimEvent::Kind::kForwarded) {
      if (!forwarded_by_key.emplace(event.key, event.request).second)
        return name + " forwarded after another request of the key";
      if (not_run_requests.contains(event.request))
        return name + " forwarded after it was answered as not run";
      forwarded_requests.insert(event.request);
    } else if (event.kind == ClaimEvent::Kind::kNotRun) {
      if (forwarded_requests.contains(event.request))
        return name + " answered as not run after it was forwarded";
      not_run_requests.insert(event.request);
    } else if (event.kind == ClaimEvent::Kind::kCompleted) {
      const auto first = forwarded_by_key.find(event.key);
      if (first == forwarded_by_key.end() ||
          event.status != 200 + first->second % 100)
        return name +
               " answered as completed with a status that no request recorded";
    }
  }
  return "";
}

struct Host {
  Host(ControlWorld& world, Switchboard& board, EventLog& events,
       const HostId& id, Incarnation incarnation)
      : gate(world),
        clock(world, gate),
        store(world, gate),
        peers(world, gate, board, id, incarnation),
        coordinator(world.io.get_executor(), clock, store, peers, events, id,
                    incarnation, {}) {
    coordinator.Start();
  }
  Gate gate;
  SimulatedClock clock;
  FakeTableStore store;
  FakePeers peers;
  ClaimCoordinator coordinator;
};

class FaultSchedule {
 public:
  explicit FaultSchedule(std::uint64_t seed) : world(seed) {
    EventLog::Options options;
    options.file = "/dev/null";
    events = EventLog::Open(options).value();
    for (int i = 0; i < kHosts; ++i) RestartHost(i);
    ShowTrueViews();
  }

  static constexpr int kHosts = 5;

  void RestartHost(int index) {
    const HostId id("host-" + std::to_string(index));
    running.resize(kHosts);
    if (running[index] != nullptr)
      running[index]->gate.state = Gate::State::kDead;
    hosts.push_back(std::make_unique<Host>(world, board, *events, id,
                                           Incarnation(++incarnations)));
    running[index] = hosts.back().get();
  }
  std::vector<Member> LiveMembersExcept(int index) const {
    std::vector<Member> view;
    for (int i = 0; i < kHosts; ++i) {
      if (i != index && running[i]->peers.is_running())
        view.push_back({HostId("host-" + std::to_string(i)), ZoneId("a"),
                        running[i]->peers.incarnation()});
    }
    return view;
  }
  void ShowTrueViews() {
    for (int i = 0; i < kHosts; ++i)
      running[i]->peers.SetView(LiveMembersExcept(i));
  }
  // Shows the host a view that lacks some live hosts.
  void ShowWrongView(int index) {
    std::vector<Member> view = LiveMembersExcept(index);
    std::erase_if(view, [this](const Member&) { return world.Chance(40); });
    running[index]->peers.SetView(std::move(view));
  }

  asio::awaitable<void> RunRequest(Host* host, std::string key, int request,
                                   Duration timeout) {
    const RequestId id("r" + std::to_string(request));
    const ClaimResult result =
        co_await host->coordinator.Claim(key, id, world.now + timeout);
    ++result_counts[result.kind];
    if (result.kind == ResultKind::kNotRun)
      history.push_back({ClaimEvent::Kind::kNotRun, key, request});
    if (result.kind == ResultKind::kOutcomeUnknown)
      history.push_back({ClaimEvent::Kind::kUnknown, key, request});
    if (result.kind == ResultKind::kCompleted)
      history.push_back(
          {ClaimEvent::Kind::kCompleted, key, request, result.status});
    if (result.kind != ResultKind::kGranted) co_return;
    if (world.Chance(25)) {
      co_await host->clock.Sleep(milliseconds(world.Pick(100)));
      co_await host->coordinator.Finish(key, id, ClaimState::kReleased, 0);
      co_return;
    }
    history.push_back({ClaimEvent::Kind::kForwarded, key, request});
    co_await host->clock.Sleep(milliseconds(world.Pick(300)));
    const bool is_known = world.Chance(80);
    co_await host->coordinator.Finish(
        key, id, is_known ? ClaimState::kCompleted : ClaimState::kUnknown,
        static_cast<std::uint16_t>(200 + request % 100));
  }
  void StartRequest(int index, std::string key, Duration timeout) {
    asio::co_spawn(
        world.io,
        RunRequest(running[index], std::move(key), ++requests, timeout),
        asio::detached);
  }
  void PauseHost(int index, Duration length) {
    Host* host = running[index];
    if (host->gate.state != Gate::State::kRunning) return;
    host->gate.state = Gate::State::kPaused;
    world.At(world.now + length, [host] {
      if (host->gate.state == Gate::State::kPaused) host->gate.Resume();
    });
  }

  // Runs a minute of random requests and faults, then 30 s without faults.
  void RunRandomFaults() {
    const TimePoint start = world.now;
    world.Run(start + std::chrono::seconds(2));
    for (int step = 0; step < 600; ++step) {
      world.lost_percent = 10;
      world.stale_percent = 30;
      world.slow_percent = 10;
      world.drop_percent = 5;
      for (int i = world.Pick(4); i > 0; --i)
        StartRequest(world.Pick(kHosts),
                     "key-" + std::to_string(step / 60 * 12 + world.Pick(24)),
                     milliseconds(50 + world.Pick(3000)));
      switch (world.Pick(60)) {
        case 0:
          world.is_store_down = !world.is_store_down;
          break;
        case 1:
          RestartHost(world.Pick(kHosts));
          break;
        case 2:
        case 3:
          PauseHost(world.Pick(kHosts), milliseconds(200 + world.Pick(6000)));
          break;
        case 4:
        case 5:
          ShowWrongView(world.Pick(kHosts));
          break;
        case 6:
          ShowTrueViews();
          break;
        default:
          world.is_store_down = world.is_store_down && !world.Chance(5);
      }
      world.Run(world.now + milliseconds(100));
    }
    world.is_store_down = false;
    world.lost_percent = world.drop_percent = 0;
    ShowTrueViews();
    world.Run(world.now + std::chrono::seconds(30));
  }

  // Declared before the hosts because it owns suspended coroutines that refer
  // to them.
  std::unique_ptr<EventLog> events;
  ControlWorld world;
  Switchboard board;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Host*> running;
  History history;
  std::map<ResultKind, int> result_counts;
  int requests = 0;
  std::uint64_t incarnations = 100;
};

// Guards against a history check that accepts every history.
TEST_CASE("The history check detects each kind of violation") {
  using EventKind = ClaimEvent::Kind;
  CHECK(FindViolation(
            {{EventKind::kForwarded, "k", 1}, {EventKind::kNotRun, "k", 2}})
            .empty());
  CHECK(!FindViolation(
             {{EventKind::kForwarded, "k", 1}, {EventKind::kForwarded, "k", 2}})
             .empty());
  CHECK(!FindViolation(
             {{EventKind::kForwarded, "k", 1}, {EventKind::kNotRun, "k", 1}})
             .empty());
  CHECK(!FindViolation(
             {{EventKind::kNotRun, "k", 1}, {EventKind::kForwarded, "k", 1}})
             .empty());
  CHECK(!FindViolation({{EventKind::kForwarded, "k", 1},
                        {EventKind::kCompleted, "k", 2, 299}})
             .empty());
}

// Guards against a second grant of a key, and against the answer that a request
// did not run although it was forwarded, under killed and paused hosts, lost
// and late commits, stale reads and wrong membership views.
TEST_CASE("A key is forwarded at most once under random faults") {
  int granted = 0;
  int completed = 0;
  int not_run = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FaultSchedule schedule(seed);
    schedule.RunRandomFaults();
    INFO("seed " << seed);
    CHECK(FindViolation(schedule.history) == "");
    granted += schedule.result_counts[ResultKind::kGranted];
    completed += schedule.result_counts[ResultKind::kCompleted];
    not_run += schedule.result_counts[ResultKind::kNotRun];
  }
  MESSAGE("granted " << granted << ", completed " << completed << ", not run "
                     << not_run);
  // The schedules must produce each of these answers.
  CHECK(granted > 1000);
  CHECK(completed > 1000);
  CHECK(not_run > 100);
}

// Guards against schedules that cannot reveal a missing epoch check.
TEST_CASE(
    "Without the store's version checks some schedule violates the guarantee") {
  int violations = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FaultSchedule schedule(seed);
    schedule.world.are_checks_ignored = true;
    schedule.RunRandomFaults();
    if (!FindViolation(schedule.history).empty()) ++violations;
  }
  CHECK(violations > 0);
}

// Guards against a key that stays claimed by a request whose deadline passed,
// and against a grant that is used after the request was answered as not run.
TEST_CASE("A grant that arrives after the deadline is released") {
  FaultSchedule schedule(1);
  schedule.world.Run(schedule.world.now + std::chrono::seconds(2));
  const ClaimShardId shard = ShardOfKey(HashIdempotencyKey("k"));
  int holder = 0;
  while (!schedule.running[holder]->coordinator.holder().is_holder_of(shard))
    ++holder;
  const int requester = (holder + 1) % FaultSchedule::kHosts;
  schedule.world.slow_percent = 100;
  schedule.StartRequest(requester, "k", milliseconds(5));
  schedule.world.Run(schedule.world.now + std::chrono::seconds(10));
  REQUIRE(schedule.result_counts[ResultKind::kNotRun] == 1);
  schedule.world.slow_percent = 0;
  schedule.StartRequest(requester, "k", std::chrono::seconds(1));
  schedule.world.Run(schedule.world.now + std::chrono::seconds(5));
  CHECK(schedule.result_counts[ResultKind::kGranted] == 1);
  CHECK(FindViolation(schedule.history) == "");
}

// Guards against shards without a holder after a graceful stop, and against
// outcomes that are lost by the stop.
TEST_CASE("Other hosts serve the shards of a gracefully stopped host") {
  FaultSchedule schedule(3);
  schedule.world.Run(schedule.world.now + std::chrono::seconds(2));
  for (int i = 0; i < 40; ++i)
    schedule.StartRequest(1, "key-" + std::to_string(i),
                          std::chrono::seconds(1));
  schedule.world.Run(schedule.world.now + std::chrono::seconds(5));
  const int granted = schedule.result_counts[ResultKind::kGranted];
  CHECK(granted == 40);
  Host* stopping_host = schedule.running[0];
  asio::co_spawn(schedule.world.io,
                 stopping_host->coordinator.HandOver(schedule.world.now +
                                                     std::chrono::seconds(5)),
                 asio::detached);
  schedule.world.Run(schedule.world.now + std::chrono::seconds(5));
  CHECK(stopping_host->coordinator.holder().shard_count() == 0);
  stopping_host->gate.state = Gate::State::kDead;
  schedule.ShowTrueViews();
  schedule.world.Run(schedule.world.now + std::chrono::seconds(5));
  std::size_t held_shards = 0;
  for (int i = 1; i < FaultSchedule::kHosts; ++i)
    held_shards += schedule.running[i]->coordinator.holder().shard_count();
  CHECK(held_shards == kClaimShardCount);
  for (int i = 0; i < 40; ++i)
    schedule.StartRequest(2, "key-" + std::to_string(i),
                          std::chrono::seconds(1));
  schedule.world.Run(schedule.world.now + std::chrono::seconds(5));
  CHECK(schedule.result_counts[ResultKind::kNotRun] == 0);
  CHECK(schedule.result_counts[ResultKind::kCompleted] > 0);
  CHECK(FindViolation(schedule.history) == "");
}

// Guards against access to the coordinator from outside the control thread.
TEST_CASE("A claim from another thread runs on the control executor") {
  FaultSchedule schedule(1);
  schedule.world.Run(schedule.world.now + std::chrono::seconds(2));
  ClaimCoordinatorClient client(schedule.running[0]->coordinator,
                                schedule.world.io.get_executor());
  asio::io_context caller;
  std::optional<ClaimResult> result;
  std::thread::id resumed_on;
  // Virtual time advances while the other thread starts, so the deadline is far
  // in the future.
  const TimePoint deadline = schedule.world.now + std::chrono::hours(10000);
  asio::co_spawn(
      caller,
      [&]() -> asio::awaitable<void> {
        result = co_await client.Claim("k", RequestId("r"), deadline);
        resumed_on = std::this_thread::get_id();
        const auto finished = co_await client.Finish(
            "k", RequestId("r"), ClaimState::kCompleted, 200);
        if (!finished) result.reset();
      },
      asio::detached);
  std::thread thread([&] { caller.run(); });
  const std::thread::id caller_id = thread.get_id();
  // The caller's thread exits when both calls have returned.
  std::atomic<bool> is_done{false};
  std::thread waiter([&] {
    thread.join();
    is_done = true;
  });
  while (!is_done) {
    schedule.world.Run(schedule.world.now + milliseconds(1));
    std::this_thread::yield();
  }
  waiter.join();
  REQUIRE(result);
  CHECK(result->kind == ResultKind::kGranted);
  CHECK(resumed_on == caller_id);
}

}  // namespace
}  // namespace dogwood
