#include "Services/Entry/peer_node.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace dogwood {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

// Upper bound for a test that would otherwise hang; no check depends on it.
constexpr Duration kLongTimeout = std::chrono::seconds(60);

// Several exchanges on one event loop. The first one is the contact of all.
struct Fleet {
  PeerNode& Add(const std::string& host, std::uint64_t incarnation = 1,
                const std::string& peer_address = "") {
    PeerNode::Options options;
    options.host = HostId(host);
    options.zone = ZoneId("palermo");
    options.incarnation = Incarnation(incarnation);
    options.listen = {asio::ip::make_address("127.0.0.1"), 0};
    options.peer_address = peer_address;
    options.random_seed = next_seed++;
    options.table.ping_period = milliseconds(10);
    options.table.shortest_suspicion = suspicion_timeout;
    options.contacts =
        [this]() -> asio::awaitable<Result<std::vector<Contact>>> {
      co_return std::vector<Contact>{{HostId("a"), contact}};
    };
    auto started = PeerNode::Start(io.get_executor(), std::move(options));
    REQUIRE(started.has_value());
    PeerNode& node = *started.value();
    if (contact.empty()) contact = node.peer_address();
    nodes[host] = std::move(started).value();
    return node;
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

  static asio::awaitable<bool> LeaveAndReturnTrue(PeerNode& node) {
    co_await node.Leave();
    co_return true;
  }

  void RunUntilFullyConnected() {
    RunUntil([this] {
      for (const auto& [host, node] : nodes) {
        if (node->members().size() + 1 != nodes.size()) return false;
      }
      return true;
    });
  }

  static std::optional<Member> FindMember(const std::vector<Member>& members,
                                          const std::string& host) {
    for (const Member& member : members) {
      if (member.host == HostId(host)) return member;
    }
    return std::nullopt;
  }

  asio::io_context io{1};
  std::string contact;
  std::uint64_t next_seed = 1;
  // Long enough that a slow machine does not remove a host.
  Duration suspicion_timeout = kLongTimeout;
  std::map<std::string, std::unique_ptr<PeerNode>> nodes;
};

asio::awaitable<Result<json>> EchoWithSender(HostId from, json body) {
  co_return json::array({from.value(), std::move(body)});
}

TEST_CASE("Hosts discover each other by one contact and exchange messages") {
  Fleet fleet;
  PeerNode& first = fleet.Add("a");
  std::vector<Member> notified_members;
  first.AddMemberListener(
      [&notified_members](const std::vector<Member>& members) {
        notified_members = members;
      });
  fleet.Add("b");
  PeerNode& third = fleet.Add("c");
  int received = 0;
  for (auto& [host, node] : fleet.nodes) {
    node->Handle("tell", EchoWithSender);
    node->Handle("count",
                 [&received](HostId, json) -> asio::awaitable<Result<json>> {
                   ++received;
                   co_return json::object();
                 });
  }
  fleet.RunUntilFullyConnected();
  CHECK(notified_members == first.members());
  CHECK(first.members()[0].zone == ZoneId("palermo"));
  fleet.RunUntil(
      [&] { return first.last_acknowledged_send_time() != TimePoint{}; });

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

// Guards against a malformed message that terminates the process.
TEST_CASE("Malformed membership messages are rejected") {
  Fleet fleet;
  PeerNode& first = fleet.Add("a");
  fleet.Add("b");
  fleet.RunUntilFullyConnected();
  for (const char* kind : {"ping", "ping-request"}) {
    for (const json& body : {json(3), json{{"m", 1}, {"t", 1}, {"a", 2}}}) {
      const auto reply =
          fleet.Await(first.Call(HostId("b"), kind, body, kLongTimeout));
      REQUIRE(reply.has_error());
      CHECK(reply.error().code == ErrorCode::kProtocol);
    }
  }
}

TEST_CASE("A relay reports whether the target host itself acknowledges") {
  Fleet fleet;
  PeerNode& first = fleet.Add("a");
  fleet.Add("b");
  PeerNode& third = fleet.Add("c");
  fleet.RunUntilFullyConnected();
  const auto request_ping = [&](const std::string& target,
                                const std::string& address) {
    return fleet
        .Await(first.Call(HostId("b"), "ping-request",
                          ToJson(PingRequest{HostId(target), address}),
                          kLongTimeout))
        .value();
  };
  CHECK(request_ping("c", third.peer_address())["answered"] == json(true));
  CHECK(request_ping("z", third.peer_address())["answered"] == json(false));
  CHECK(request_ping("c", "not an address")["answered"] == json(false));
}

TEST_CASE("The newest piggybacked value reaches every host") {
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

TEST_CASE("Leave informs the other members") {
  Fleet fleet;
  PeerNode& first = fleet.Add("a");
  PeerNode& second = fleet.Add("b");
  fleet.Add("c");
  fleet.RunUntilFullyConnected();
  CHECK(fleet.Await(Fleet::LeaveAndReturnTrue(second)));
  // Gossip delivers the news if a ping times out on a loaded machine.
  fleet.RunUntil([&] {
    const auto member = Fleet::FindMember(first.members(), "b");
    return member && member->state == MemberState::kLeaving;
  });
  CHECK(Fleet::FindMember(first.members(), "b")->state ==
        MemberState::kLeaving);
}

TEST_CASE("A dead host is removed and rejoins with a new incarnation") {
  Fleet fleet;
  fleet.suspicion_timeout = milliseconds(50);
  PeerNode& first = fleet.Add("a");
  fleet.Add("b");
  fleet.Add("c");
  fleet.RunUntilFullyConnected();
  fleet.nodes.at("c")->Stop();
  fleet.RunUntil([&] { return !Fleet::FindMember(first.members(), "c"); });
  const auto stopped = std::move(fleet.nodes.at("c"));
  fleet.Add("c", 2);
  fleet.RunUntil([&] {
    const auto member = Fleet::FindMember(first.members(), "c");
    return member && member->incarnation == Incarnation(2);
  });
  CHECK(Fleet::FindMember(first.members(), "c")->incarnation == Incarnation(2));
}

// Guards against a response from another host that reused the address.
TEST_CASE("A response from a host other than the target is rejected") {
  Fleet fleet;
  PeerNode& first = fleet.Add("a");
  PeerNode& second = fleet.Add("b");
  fleet.Add("c", 1, second.peer_address());
  first.Handle("tell", EchoWithSender);
  second.Handle("tell", EchoWithSender);
  fleet.RunUntil(
      [&] { return Fleet::FindMember(first.members(), "c").has_value(); });
  const auto reply =
      fleet.Await(first.Call(HostId("c"), "tell", 1, kLongTimeout));
  REQUIRE(reply.has_error());
  CHECK(reply.error().code == ErrorCode::kOutcomeUnknown);
}

}  // namespace
}  // namespace dogwood
