#include "Services/Entry/claim_coordinator.h"

#include <doctest/doctest.h>

#include <atomic>
#include <set>
#include <thread>

#include "Tests/Services/Entry/control_world.h"

namespace dogwood {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Decision = ClaimReply::Kind;

// What requesters did and were told, in order of time.
struct ClaimEvent {
  enum class Kind { kHandedOver, kNotRun, kUnknown, kCompleted };
  Kind kind;
  std::string key;
  int request;
  std::uint16_t status = 0;
};
using History = std::vector<ClaimEvent>;

// The first broken promise of a history, or an empty text.
std::string FindViolation(const History& history) {
  std::map<std::string, int> handed_over;
  std::set<int> refused;
  std::set<int> handed_requests;
  for (const ClaimEvent& event : history) {
    const std::string name =
        event.key + " request " + std::to_string(event.request);
    if (event.kind == ClaimEvent::Kind::kHandedOver) {
      if (!handed_over.emplace(event.key, event.request).second)
        return name + " handed over after another request of the key";
      if (refused.contains(event.request))
        return name + " handed over after the answer not run";
      handed_requests.insert(event.request);
    } else if (event.kind == ClaimEvent::Kind::kNotRun) {
      if (handed_requests.contains(event.request))
        return name + " answered not run after it was handed over";
      refused.insert(event.request);
    } else if (event.kind == ClaimEvent::Kind::kCompleted) {
      const auto first = handed_over.find(event.key);
      if (first == handed_over.end() ||
          event.status != 200 + first->second % 100)
        return name + " answered completed with a status nobody recorded";
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
  FakeClock clock;
  FakeStore store;
  FakePeers peers;
  ClaimCoordinator coordinator;
};

class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : world(seed) {
    EventLog::Options options;
    options.file = "/dev/null";
    events = EventLog::Open(options).value();
    for (int i = 0; i < kHosts; ++i) Restart(i);
    ShowTrueViews();
  }

  static constexpr int kHosts = 5;

  void Restart(int index) {
    const HostId id("host-" + std::to_string(index));
    running.resize(kHosts);
    if (running[index] != nullptr)
      running[index]->gate.state = Gate::State::kDead;
    hosts.push_back(std::make_unique<Host>(world, board, *events, id,
                                           Incarnation(++incarnations)));
    running[index] = hosts.back().get();
  }
  std::vector<Member> Others(int index) const {
    std::vector<Member> view;
    for (int i = 0; i < kHosts; ++i) {
      if (i != index && running[i]->peers.is_running())
        view.push_back({HostId("host-" + std::to_string(i)), ZoneId("a"),
                        running[i]->peers.incarnation()});
    }
    return view;
  }
  void ShowTrueViews() {
    for (int i = 0; i < kHosts; ++i) running[i]->peers.SetView(Others(i));
  }
  // A view that lacks or still lists some hosts.
  void ShowWrongView(int index) {
    std::vector<Member> view = Others(index);
    std::erase_if(view, [this](const Member&) { return world.Chance(40); });
    running[index]->peers.SetView(std::move(view));
  }

  asio::awaitable<void> Request(Host* host, std::string key, int request,
                                Duration patience) {
    const RequestId id("r" + std::to_string(request));
    const ClaimReply decision =
        co_await host->coordinator.Claim(key, id, world.now + patience);
    ++decisions[decision.kind];
    if (decision.kind == Decision::kNotRun)
      history.push_back({ClaimEvent::Kind::kNotRun, key, request});
    if (decision.kind == Decision::kOutcomeUnknown)
      history.push_back({ClaimEvent::Kind::kUnknown, key, request});
    if (decision.kind == Decision::kCompleted)
      history.push_back(
          {ClaimEvent::Kind::kCompleted, key, request, decision.status});
    if (decision.kind != Decision::kGranted) co_return;
    if (world.Chance(25)) {
      co_await host->clock.Sleep(milliseconds(world.Pick(100)));
      co_await host->coordinator.Finish(key, id, ClaimState::kReleased, 0);
      co_return;
    }
    history.push_back({ClaimEvent::Kind::kHandedOver, key, request});
    co_await host->clock.Sleep(milliseconds(world.Pick(300)));
    const bool is_known = world.Chance(80);
    co_await host->coordinator.Finish(
        key, id, is_known ? ClaimState::kCompleted : ClaimState::kUnknown,
        static_cast<std::uint16_t>(200 + request % 100));
  }
  void Send(int index, std::string key, Duration patience) {
    asio::co_spawn(
        world.io, Request(running[index], std::move(key), ++requests, patience),
        asio::detached);
  }
  void Pause(int index, Duration length) {
    Host* host = running[index];
    if (host->gate.state != Gate::State::kRunning) return;
    host->gate.state = Gate::State::kPaused;
    world.At(world.now + length, [host] {
      if (host->gate.state == Gate::State::kPaused) host->gate.Resume();
    });
  }

  // A minute of random requests and faults, then half a minute of calm.
  void RunRandomly() {
    const TimePoint start = world.now;
    world.Run(start + std::chrono::seconds(2));
    for (int step = 0; step < 600; ++step) {
      world.lost_percent = 10;
      world.stale_percent = 30;
      world.slow_percent = 10;
      world.drop_percent = 5;
      for (int i = world.Pick(4); i > 0; --i)
        Send(world.Pick(kHosts),
             "key-" + std::to_string(step / 60 * 12 + world.Pick(24)),
             milliseconds(50 + world.Pick(3000)));
      switch (world.Pick(60)) {
        case 0:
          world.is_store_down = !world.is_store_down;
          break;
        case 1:
          Restart(world.Pick(kHosts));
          break;
        case 2:
        case 3:
          Pause(world.Pick(kHosts), milliseconds(200 + world.Pick(6000)));
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

  // The world owns the suspended coroutines, which refer to the hosts, so it
  // goes first.
  std::unique_ptr<EventLog> events;
  ControlWorld world;
  Switchboard board;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Host*> running;
  History history;
  std::map<Decision, int> decisions;
  int requests = 0;
  std::uint64_t incarnations = 100;
};

// Guards against a checker that accepts everything.
TEST_CASE("The history check finds each planted violation") {
  using K = ClaimEvent::Kind;
  CHECK(
      FindViolation({{K::kHandedOver, "k", 1}, {K::kNotRun, "k", 2}}).empty());
  CHECK(!FindViolation({{K::kHandedOver, "k", 1}, {K::kHandedOver, "k", 2}})
             .empty());
  CHECK(
      !FindViolation({{K::kHandedOver, "k", 1}, {K::kNotRun, "k", 1}}).empty());
  CHECK(
      !FindViolation({{K::kNotRun, "k", 1}, {K::kHandedOver, "k", 1}}).empty());
  CHECK(!FindViolation({{K::kHandedOver, "k", 1}, {K::kCompleted, "k", 2, 299}})
             .empty());
}

// Guards against a second grant under kills, pauses, lost and late commits,
// stale reads and wrong views, and against a refusal that is not true.
TEST_CASE("A key is handed over at most once in random schedules") {
  int granted = 0;
  int completed = 0;
  int not_run = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Schedule schedule(seed);
    schedule.RunRandomly();
    INFO("seed " << seed);
    CHECK(FindViolation(schedule.history) == "");
    granted += schedule.decisions[Decision::kGranted];
    completed += schedule.decisions[Decision::kCompleted];
    not_run += schedule.decisions[Decision::kNotRun];
  }
  MESSAGE("granted " << granted << ", completed " << completed << ", not run "
                     << not_run);
  // The schedules must exercise every kind of answer.
  CHECK(granted > 1000);
  CHECK(completed > 1000);
  CHECK(not_run > 100);
}

// Guards against schedules too tame to show a missing epoch check.
TEST_CASE("Without the store's checks the schedules show a violation") {
  int violations = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Schedule schedule(seed);
    schedule.world.are_checks_ignored = true;
    schedule.RunRandomly();
    if (!FindViolation(schedule.history).empty()) ++violations;
  }
  CHECK(violations > 0);
}

// Guards against a key that stays claimed for a request that gave up, and
// against the use of a grant after the answer not run.
TEST_CASE("A grant that comes after the deadline is released") {
  Schedule schedule(1);
  schedule.world.Run(schedule.world.now + std::chrono::seconds(2));
  const ClaimShardId shard = ShardOf(HashClaimKey("k"));
  int holder = 0;
  while (!schedule.running[holder]->coordinator.holder().is_holder_of(shard))
    ++holder;
  const int requester = (holder + 1) % Schedule::kHosts;
  schedule.world.slow_percent = 100;
  schedule.Send(requester, "k", milliseconds(5));
  schedule.world.Run(schedule.world.now + std::chrono::seconds(10));
  REQUIRE(schedule.decisions[Decision::kNotRun] == 1);
  schedule.world.slow_percent = 0;
  schedule.Send(requester, "k", std::chrono::seconds(1));
  schedule.world.Run(schedule.world.now + std::chrono::seconds(5));
  CHECK(schedule.decisions[Decision::kGranted] == 1);
  CHECK(FindViolation(schedule.history) == "");
}

// Guards against shards that nobody serves after a planned stop, and against
// outcomes that the stop forgets.
TEST_CASE("Shards of a host that stops are served by the others") {
  Schedule schedule(3);
  schedule.world.Run(schedule.world.now + std::chrono::seconds(2));
  for (int i = 0; i < 40; ++i)
    schedule.Send(1, "key-" + std::to_string(i), std::chrono::seconds(1));
  schedule.world.Run(schedule.world.now + std::chrono::seconds(5));
  const int granted = schedule.decisions[Decision::kGranted];
  CHECK(granted == 40);
  Host* leaving = schedule.running[0];
  asio::co_spawn(schedule.world.io,
                 leaving->coordinator.HandOver(schedule.world.now +
                                               std::chrono::seconds(5)),
                 asio::detached);
  schedule.world.Run(schedule.world.now + std::chrono::seconds(5));
  CHECK(leaving->coordinator.holder().shard_count() == 0);
  leaving->gate.state = Gate::State::kDead;
  schedule.ShowTrueViews();
  schedule.world.Run(schedule.world.now + std::chrono::seconds(5));
  std::size_t held = 0;
  for (int i = 1; i < Schedule::kHosts; ++i)
    held += schedule.running[i]->coordinator.holder().shard_count();
  CHECK(held == kClaimShardCount);
  for (int i = 0; i < 40; ++i)
    schedule.Send(2, "key-" + std::to_string(i), std::chrono::seconds(1));
  schedule.world.Run(schedule.world.now + std::chrono::seconds(5));
  CHECK(schedule.decisions[Decision::kNotRun] == 0);
  CHECK(schedule.decisions[Decision::kCompleted] > 0);
  CHECK(FindViolation(schedule.history) == "");
}

// Guards against use of the coordinator outside of the control thread.
TEST_CASE("A claim from another thread runs on the control executor") {
  Schedule schedule(1);
  schedule.world.Run(schedule.world.now + std::chrono::seconds(2));
  ClaimClient client(schedule.running[0]->coordinator,
                     schedule.world.io.get_executor());
  asio::io_context caller;
  std::optional<ClaimReply> decision;
  std::thread::id resumed_on;
  // Virtual time runs while the other thread starts, so the deadline is far.
  const TimePoint deadline = schedule.world.now + std::chrono::hours(10000);
  asio::co_spawn(
      caller,
      [&]() -> asio::awaitable<void> {
        decision = co_await client.Claim("k", RequestId("r"), deadline);
        resumed_on = std::this_thread::get_id();
        const auto finished = co_await client.Finish(
            "k", RequestId("r"), ClaimState::kCompleted, 200);
        if (!finished) decision.reset();
      },
      asio::detached);
  std::thread thread([&] { caller.run(); });
  const std::thread::id caller_id = thread.get_id();
  // The caller's thread ends when both calls have returned.
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
  REQUIRE(decision);
  CHECK(decision->kind == Decision::kGranted);
  CHECK(resumed_on == caller_id);
}

}  // namespace
}  // namespace dogwood
