#include "Libraries/Routing/crash_suspects.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace dogwood {
namespace {

using std::chrono::seconds;
using Outcome = CrashSuspects::Outcome;

const ServerId kFirst("first");
const ServerId kSecond("second");
const ServerId kThird("third");

struct Host {
  void Lose(const ServerId& server, std::uint64_t fingerprint, TimePoint now) {
    suspects.OnEnd(server, fingerprint, Outcome::kLost, now, changes);
  }
  CrashSuspects suspects;
  CrashSuspects::Records changes;
};

// Guards against a request that goes on crashing servers, and against refusal
// of requests that only ran beside it.
TEST_CASE("The crashing request is refused after two servers, others are not") {
  Host host;
  TimePoint now{};
  const std::uint64_t killer = 1;
  const std::vector<std::uint64_t> innocents = {2, 3, 4};
  host.suspects.OnStart(kFirst, killer, now);
  for (const auto id : innocents) host.suspects.OnStart(kFirst, id, now);
  now += seconds(1);
  host.Lose(kFirst, killer, now);
  for (const auto id : innocents) host.Lose(kFirst, id, now);
  CHECK_FALSE(host.suspects.is_suspect(killer, now));  // not confirmed yet
  host.suspects.OnCrash(kFirst, "start-1", now, host.changes);
  CHECK(host.changes.size() == 4);
  CHECK(host.suspects.is_suspect(killer, now));
  CHECK_FALSE(host.suspects.is_refused(killer, now));

  host.suspects.OnStart(kSecond, killer, now);
  host.suspects.OnStart(kSecond, 10, now);  // never a suspect
  host.suspects.OnStart(kThird, 2, now);
  host.suspects.OnEnd(kThird, 2, Outcome::kSucceeded, now, host.changes);
  CHECK_FALSE(host.suspects.is_suspect(2, now));
  now += seconds(1);
  host.Lose(kSecond, killer, now);
  host.Lose(kSecond, 10, now);
  host.suspects.OnCrash(kSecond, "start-7", now, host.changes);
  CHECK(host.suspects.is_refused(killer, now));
  CHECK_FALSE(host.suspects.is_suspect(10, now));
  for (const auto id : innocents)
    CHECK_FALSE(host.suspects.is_refused(id, now));
  CHECK(host.suspects.is_refused(killer, now + seconds(3600)));
  CHECK_FALSE(host.suspects.is_refused(killer, now + seconds(3601)));
}

// Guards against one crash that counts as two when it is confirmed twice or by
// two hosts.
TEST_CASE("A crash counts once") {
  Host left;
  Host right;
  TimePoint now{};
  for (Host* host : {&left, &right}) {
    host->suspects.OnStart(kFirst, 1, now);
    host->Lose(kFirst, 1, now);
    host->suspects.OnCrash(kFirst, "start-1", now, host->changes);
    host->suspects.OnCrash(kFirst, "start-1", now, host->changes);
  }
  for (const SuspectRecord& record : left.changes) {
    right.suspects.Merge(record, now);
  }
  CHECK(right.suspects.is_suspect(1, now));
  CHECK_FALSE(right.suspects.is_refused(1, now));
}

// Guards against a loss that is noticed after the crash was confirmed.
TEST_CASE("A late loss belongs to the crash") {
  Host host;
  TimePoint now{};
  host.suspects.OnStart(kFirst, 1, now);
  host.suspects.OnCrash(kFirst, "start-1", now, host.changes);
  host.Lose(kFirst, 1, now + std::chrono::milliseconds(500));
  CHECK(host.suspects.is_suspect(1, now + seconds(1)));
}

// Guards against blame that stays on one host: the resend may go to another.
TEST_CASE("Blame on two hosts adds up and the refusal reaches all") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 engine(seed);
    std::vector<Host> hosts(3);
    TimePoint now{};
    const std::uint64_t killer = 1;
    std::uint64_t next_innocent = 100;
    int crashes = 0;
    std::vector<std::uint64_t> innocents;
    for (int round = 0; round < 6; ++round) {
      Host& host = hosts[engine() % hosts.size()];
      now += seconds(5);
      if (host.suspects.is_refused(killer, now)) break;
      const ServerId server("server" + std::to_string(engine() % 4));
      std::vector<std::uint64_t> running = {killer};
      for (std::uint64_t count = engine() % 5; count > 0; --count) {
        running.push_back(next_innocent);
        innocents.push_back(next_innocent++);
      }
      for (const auto id : running) host.suspects.OnStart(server, id, now);
      for (const auto id : running) host.Lose(server, id, now);
      host.suspects.OnCrash(server, "start" + std::to_string(round), now,
                            host.changes);
      ++crashes;
      for (Host& other : hosts) {
        for (const SuspectRecord& record : host.changes) {
          other.suspects.Merge(record, now);
        }
      }
      host.changes.clear();
    }
    CHECK(crashes == 2);
    for (const Host& host : hosts) {
      CHECK(host.suspects.is_refused(killer, now));
      for (const auto id : innocents) {
        CHECK_FALSE(host.suspects.is_refused(id, now));
      }
    }
  }
}

}  // namespace
}  // namespace dogwood
