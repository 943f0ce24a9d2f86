#include "Libraries/Platform/platform.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "Libraries/Http/http.h"
#include "Tests/StandIns/platform_simulator.h"
#include "Tests/StandIns/run_awaitable.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr Duration kTimeout = std::chrono::seconds(10);

// Stand-in for the platform on a loopback port, with a clock that the test
// sets.
struct PlatformFixture {
  asio::io_context context;
  TimePoint now{std::chrono::hours(1)};
  PlatformSimulator service{
      PlatformSimulator::Options{.host_list_lag = std::chrono::seconds(5)}};
  HttpServer server =
      HttpServer::Listen(
          context.get_executor(), ParseEndpoint("127.0.0.1:0").value(), {},
          [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
            co_return service.Handle(request, now);
          })
          .value();
  HttpTableStore store{context.get_executor(), server.local_endpoint()};

  template <typename T>
  T Run(asio::awaitable<T> work) {
    return RunAwaitable(context, std::move(work));
  }

  void SetFaults(const Json& faults) {
    REQUIRE(
        service.Handle({"POST", "/faults", {}, faults.dump()}, now).status ==
        200);
  }
};

TableTransaction ConditionalPut(const std::string& key, std::uint64_t version,
                                const std::string& value) {
  return {.checks = {{key, version}}, .puts = {{key, value}}};
}

// Guards against a client that drops the rows of a conflict or applies a part
// of a transaction.
TEST_CASE("A conditional commit takes effect as a whole or not at all") {
  PlatformFixture platform;
  CHECK(std::holds_alternative<Committed>(platform.Run(
      platform.store.Commit(ConditionalPut("a", 0, "1"), kTimeout))));
  TableTransaction both = ConditionalPut("a", 7, "2");
  both.puts.push_back({"b", "2"});
  const CommitResult result =
      platform.Run(platform.store.Commit(both, kTimeout));
  const auto* conflict = std::get_if<CommitConflict>(&result);
  REQUIRE(conflict != nullptr);
  REQUIRE(conflict->current.size() == 1);
  CHECK(conflict->current[0].version == 1);
  CHECK(conflict->current[0].value == "1");
  const TableRow absent =
      platform.Run(platform.store.Read("b", kTimeout)).value();
  CHECK(absent.version == 0);
}

// Guards against reporting a commit that took effect as one that did not.
TEST_CASE("A commit in force whose response was lost is reported as unknown") {
  PlatformFixture platform;
  platform.SetFaults({{"lose_answers", 1.0}});
  CHECK(std::holds_alternative<CommitOutcomeUnknown>(platform.Run(
      platform.store.Commit(ConditionalPut("a", 0, "1"), kTimeout))));
  CHECK(platform.Run(platform.store.Read("a", kTimeout)).value().version == 1);
}

TEST_CASE(
    "A platform that is down or over its rate limit refuses commits without "
    "effect") {
  PlatformFixture platform;
  platform.SetFaults({{"down", true}});
  CHECK(std::holds_alternative<CommitUnavailable>(platform.Run(
      platform.store.Commit(ConditionalPut("a", 0, "1"), kTimeout))));
  CHECK(platform.Run(platform.store.Read("a", kTimeout)).error().code ==
        ErrorCode::kUnavailable);
  platform.SetFaults({{"down", false}});
  int refused = 0;
  for (int i = 0; i < 60; ++i) {
    const CommitResult result =
        platform.Run(platform.store.Commit({.puts = {{"c", "1"}}}, kTimeout));
    if (std::holds_alternative<CommitUnavailable>(result)) ++refused;
  }
  // The stand-in allows 400 writes per second in bursts of 0.1 s: 40 writes.
  CHECK(refused == 20);
  CHECK(platform.Run(platform.store.Read("c", kTimeout)).value().version == 40);
}

// Guards against a client that does not detect an unreachable platform.
TEST_CASE("A commit whose connection is refused is unavailable, not unknown") {
  PlatformFixture platform;
  const auto endpoint = platform.server.local_endpoint();
  platform.server.Stop();
  HttpTableStore store(platform.context.get_executor(), endpoint);
  CHECK(std::holds_alternative<CommitUnavailable>(
      platform.Run(store.Commit(ConditionalPut("a", 0, "1"), kTimeout))));
}

TEST_CASE("A scan pages by key and a stale read returns an older row") {
  PlatformFixture platform;
  for (const char* key : {"k/1", "k/2", "k/3", "l/1"}) {
    (void)platform.Run(
        platform.store.Commit({.puts = {{key, "old"}}}, kTimeout));
  }
  platform.now += std::chrono::seconds(2);
  (void)platform.Run(
      platform.store.Commit({.puts = {{"k/2", "new"}}}, kTimeout));
  const auto rows =
      platform.Run(platform.store.Scan("k/", "k/1", 10, kTimeout)).value();
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].value == "new");
  CHECK(rows[1].key == "k/3");
  platform.SetFaults({{"stale_reads_ms", 1000}});
  CHECK(platform.Run(platform.store.Read("k/2", kTimeout)).value().value ==
        "old");
}

// Guards against accepting a corrupted object or the object of another writer.
TEST_CASE("An object is returned only when its SHA-256 is the expected one") {
  PlatformFixture platform;
  HttpObjectStore objects(platform.context.get_executor(),
                          platform.server.local_endpoint());
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  const std::string sha256 =
      platform.Run(objects.Put("usage/2026-01", "abc", kTimeout)).value();
  CHECK(platform.Run(objects.Read("usage/2026-01", sha256, kTimeout)).value() ==
        "abc");
  (void)platform.Run(objects.Put("usage/2026-01", "abd", kTimeout));
  CHECK(platform.Run(objects.Read("usage/2026-01", sha256, kTimeout))
            .error()
            .code == ErrorCode::kProtocol);
  CHECK(platform.Run(objects.Read("none", sha256, kTimeout)).error().code ==
        ErrorCode::kNotFound);
}

TEST_CASE("The host list shows an announced host only after its delay") {
  PlatformFixture platform;
  HostListClient hosts(platform.context.get_executor(),
                       platform.server.local_endpoint());
  const HostListEntry host{HostId("h1"), ZoneId("z1"), "127.0.0.1:1",
                           "127.0.0.1:2", HostListEntry::State::kLeaving};
  REQUIRE(platform.Run(hosts.Announce(host, kTimeout)).has_value());
  CHECK(platform.Run(hosts.Read(kTimeout)).value().empty());
  platform.now += std::chrono::seconds(5);
  const auto listed = platform.Run(hosts.Read(kTimeout)).value();
  REQUIRE(listed.size() == 1);
  CHECK(listed[0].host == HostId("h1"));
  CHECK(listed[0].state == HostListEntry::State::kLeaving);
}

}  // namespace
}  // namespace dogwood
