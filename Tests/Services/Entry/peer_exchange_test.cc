#include "Services/Entry/peer_exchange.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace dogwood {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

// Only ends a test that would otherwise hang; no verdict waits for it.
constexpr Duration kLongTimeout = std::chrono::seconds(60);

// Several exchanges on one loop; the first one is everybody's contact.
struct Fleet {
  PeerExchange& Add(const std::string& host, std::uint64_t incarnation = 1,
                    const std::string& peer_address = "") {
    PeerExchange::Options options;
    options.host = HostId(host);
    options.zone = ZoneId("palermo");
    options.incarnation = Incarnation(incarnation);
    options.listen = {asio::ip::make_address("127.0.0.1"), 0};
    options.peer_address = peer_address;
    options.random_seed = next_seed++;
    options.table.ping_period = milliseconds(10);
    options.table.shortest_suspicion = suspicion;
    options.contacts =
        [this]() -> asio::awaitable<Result<std::vector<Contact>>> {
      co_return std::vector<Contact>{{HostId("a"), contact}};
    };
    auto started = PeerExchange::Start(io.get_executor(), std::move(options));
    REQUIRE(started.has_value());
    PeerExchange& exchange = *started.value();
    if (contact.empty()) contact = exchange.peer_address();
    exchanges[host] = std::move(started).value();
    return exchange;
  }

  void RunUntil(const std::function<bool()>& condition) {
    const TimePoint end = MonotonicNow() + kLongTimeout;
    while (!condition()) {
      REQUIRE(MonotonicNow() < end);
      io.run_one_for(milliseconds(10));
    }
  }

  template <typename Value>
  Value Await(asio::awaitable<Value> operation) {
    std::optional<Value> value;
    asio::co_spawn(
        io,
        [](asio::awaitable<Value> awaited,
           std::optional<Value>& target) -> asio::awaitable<void> {
          target.emplace(co_await std::move(awaited));
        }(std::move(operation), value),
        asio::detached);
    RunUntil([&] { return value.has_value(); });
    return std::move(*value);
  }

  static asio::awaitable<bool> LeaveAndTell(PeerExchange& exchange) {
    co_await exchange.Leave();
    co_return true;
  }

  void RunUntilAllKnown() {
    RunUntil([this] {
      for (const auto& [host, exchange] : exchanges) {
        if (exchange->members().size() + 1 != exchanges.size()) return false;
      }
      return true;
    });
  }

  static std::optional<Member> Find(const std::vector<Member>& members,
                                    const std::string& host) {
    for (const Member& member : members) {
      if (member.host == HostId(host)) return member;
    }
    return std::nullopt;
  }

  asio::io_context io{1};
  std::string contact;
  std::uint64_t next_seed = 1;
  // Long, so that no host is removed because the machine is slow.
  Duration suspicion = kLongTimeout;
  std::map<std::string, std::unique_ptr<PeerExchange>> exchanges;
};

asio::awaitable<Result<json>> TellSender(HostId from, json body) {
  co_return json::array({from.value(), std::move(body)});
}

TEST_CASE("Hosts find each other by one contact and exchange messages") {
  Fleet fleet;
  PeerExchange& first = fleet.Add("a");
  std::vector<Member> told;
  first.AddMemberListener(
      [&told](const std::vector<Member>& members) { told = members; });
  fleet.Add("b");
  PeerExchange& third = fleet.Add("c");
  int received = 0;
  for (auto& [host, exchange] : fleet.exchanges) {
    exchange->Handle("tell", TellSender);
    exchange->Handle(
        "count", [&received](HostId, json) -> asio::awaitable<Result<json>> {
          ++received;
          co_return json::object();
        });
  }
  fleet.RunUntilAllKnown();
  CHECK(told == first.members());
  CHECK(first.members()[0].zone == ZoneId("palermo"));
  fleet.RunUntil([&] { return first.newest_acknowledgement() != TimePoint{}; });

  const auto reply =
      fleet.Await(third.Call(HostId("b"), "tell", 5, kLongTimeout));
  REQUIRE(reply.has_value());
  CHECK(reply.value() == json::array({"c", 5}));
  third.Broadcast("count", json::object());
  fleet.RunUntil([&] { return received == 2; });

  const auto no_member =
      fleet.Await(third.Call(HostId("z"), "tell", 5, kLongTimeout));
  CHECK(no_member.error().code == ErrorCode::kUnavailable);
  const auto no_handler =
      fleet.Await(third.Call(HostId("b"), "none", 5, kLongTimeout));
  CHECK(no_handler.error().code == ErrorCode::kNotFound);
}

// Guards against a malformed body of a peer that ends the process.
TEST_CASE("Malformed membership messages are refused") {
  Fleet fleet;
  PeerExchange& first = fleet.Add("a");
  fleet.Add("b");
  fleet.RunUntilAllKnown();
  for (const char* kind : {"ping", "ping-request"}) {
    for (const json& body : {json(3), json{{"m", 1}, {"t", 1}, {"a", 2}}}) {
      const auto reply =
          fleet.Await(first.Call(HostId("b"), kind, body, kLongTimeout));
      REQUIRE(reply.has_error());
      CHECK(reply.error().code == ErrorCode::kProtocol);
    }
  }
}

TEST_CASE("A relay says whether the asked host itself answers") {
  Fleet fleet;
  PeerExchange& first = fleet.Add("a");
  fleet.Add("b");
  PeerExchange& third = fleet.Add("c");
  fleet.RunUntilAllKnown();
  const auto ask = [&](const std::string& target, const std::string& address) {
    return fleet
        .Await(first.Call(HostId("b"), "ping-request",
                          ToJson(PingRequest{HostId(target), address}),
                          kLongTimeout))
        .value();
  };
  CHECK(ask("c", third.peer_address())["answered"] == json(true));
  CHECK(ask("z", third.peer_address())["answered"] == json(false));
  CHECK(ask("c", "not an address")["answered"] == json(false));
}

TEST_CASE("The newest piggybacked version reaches every host") {
  Fleet fleet;
  std::map<std::string, int> versions{{"a", 1}, {"b", 7}, {"c", 3}, {"d", 0}};
  for (auto& [host, version] : versions) {
    fleet.Add(host).AddPiggyback(
        "settings", [&version = version] { return json(version); },
        [&version = version](const HostId&, const json& value) {
          version = std::max(version, value.get<int>());
        });
  }
  fleet.RunUntil([&] {
    return std::all_of(versions.begin(), versions.end(),
                       [](const auto& item) { return item.second == 7; });
  });
  CHECK(versions["d"] == 7);
}

TEST_CASE("Every member knows of a leave when it has returned") {
  Fleet fleet;
  PeerExchange& first = fleet.Add("a");
  PeerExchange& second = fleet.Add("b");
  fleet.Add("c");
  fleet.RunUntilAllKnown();
  CHECK(fleet.Await(Fleet::LeaveAndTell(second)));
  // A ping that timed out on a loaded machine is made up for by gossip.
  fleet.RunUntil([&] {
    const auto member = Fleet::Find(first.members(), "b");
    return member && member->state == MemberState::kLeaving;
  });
  CHECK(Fleet::Find(first.members(), "b")->state == MemberState::kLeaving);
}

TEST_CASE("A dead host is removed and its next start is a member again") {
  Fleet fleet;
  fleet.suspicion = milliseconds(50);
  PeerExchange& first = fleet.Add("a");
  fleet.Add("b");
  fleet.Add("c");
  fleet.RunUntilAllKnown();
  fleet.exchanges.at("c")->Stop();
  fleet.RunUntil([&] { return !Fleet::Find(first.members(), "c"); });
  const auto stopped = std::move(fleet.exchanges.at("c"));
  fleet.Add("c", 2);
  fleet.RunUntil([&] {
    const auto member = Fleet::Find(first.members(), "c");
    return member && member->incarnation == Incarnation(2);
  });
  CHECK(Fleet::Find(first.members(), "c")->incarnation == Incarnation(2));
}

// Guards against a response of another host that took over the address.
TEST_CASE("A response of another host than the called one is refused") {
  Fleet fleet;
  PeerExchange& first = fleet.Add("a");
  PeerExchange& second = fleet.Add("b");
  fleet.Add("c", 1, second.peer_address());
  first.Handle("tell", TellSender);
  second.Handle("tell", TellSender);
  fleet.RunUntil([&] { return Fleet::Find(first.members(), "c").has_value(); });
  const auto reply =
      fleet.Await(first.Call(HostId("c"), "tell", 1, kLongTimeout));
  REQUIRE(reply.has_error());
  CHECK(reply.error().code == ErrorCode::kOutcomeUnknown);
}

}  // namespace
}  // namespace dogwood
