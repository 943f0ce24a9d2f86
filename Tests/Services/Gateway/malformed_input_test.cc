// Guards against one malformed message that ends a whole process: every decoder
// of bytes from outside gets mutations of valid input. A decoder may refuse
// them; an exception or a crash fails the test.
#include <doctest/doctest.h>

#include <random>

#include "Libraries/Balancing/balancing.h"
#include "Libraries/Http/http.h"
#include "Services/Gateway/table_update_codec.h"
#include "platform/platform.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

constexpr int kMutations = 4000;
constexpr unsigned kSeed = 20261205;

// Values that decoders of numbers, texts and nested structures trip over.
const std::vector<std::string> kOddTokens = {
    "-1",        "1e999", "99999999999999999999",
    "0.0000001", "NaN",   "null",
    "{}",        "[[[[",  "\"\"",
    "\xff\xfe",  "true",  "-0",
    "\r\n",      ":",     "65536",
    "{\"a\":"};

class Mutator {
 public:
  // Returns `input` with one to four random changes.
  std::string Mutate(std::string input) {
    for (std::size_t i = 1 + Below(4); i > 0; --i) Change(input);
    return input;
  }

 private:
  void Change(std::string& text) {
    const std::size_t at = Below(text.size() + 1);
    const std::size_t count = std::min(text.size() - at, Below(16));
    switch (Below(5)) {
      case 0:
        if (at < text.size()) text[at] = static_cast<char>(Below(256));
        break;
      case 1:
        text.erase(at, count);
        break;
      case 2:
        text.insert(at, text.substr(at, count));
        break;
      case 3:
        text.replace(at, count, kOddTokens[Below(kOddTokens.size())]);
        break;
      default:
        text.resize(at);
    }
  }
  std::size_t Below(std::size_t limit) { return random_() % limit; }

  std::mt19937 random_{kSeed};
};

// Calls `decode` with mutations of `input`.
template <typename Function>
void FeedMutations(const std::string& input, Function decode,
                   int count = kMutations) {
  Mutator mutator;
  for (int i = 0; i < count; ++i) {
    const std::string mutated = mutator.Mutate(input);
    CAPTURE(i);
    CHECK_NOTHROW(decode(mutated));
  }
}

TEST_CASE("Mutated configurations and registrations are refused or decoded") {
  const std::string configuration =
      R"({"version":"0000000c","resources":[{"entry_kind":"routes","metadata":
      {"name":"read"},"spec":{"host":"a.example","prefix":"/read/",
      "kind":"safe","timeout":"800ms","latency_goal":"300ms","priority":2,
      "split":[{"service":"s","weight":3},{"service":"t","weight":1}],
      "max_attempts":2}},{"entry_kind":"services","metadata":{"name":"s"},
      "spec":{"health_path":"/health","max_conns":260,"cold":"3s",
      "cold_per_s":5}},{"entry_kind":"services","metadata":{"name":"t"},
      "spec":{"health_path":"/health","max_conns":260,"cold":"3s",
      "cold_per_s":5}},{"entry_kind":"limits","metadata":{},"spec":
      {"header_bytes":4000,"body_bytes":100000,"header_timeout":"500ms",
      "idle_timeout":"2s"}}]})";
  REQUIRE(platform::DecodeRoutingConfiguration(configuration).has_value());
  FeedMutations(configuration, [](const std::string& text) {
    static_cast<void>(platform::DecodeRoutingConfiguration(text));
  });
  const std::string registration =
      R"({"address":"10.0.0.1:8043","born":1771164667658,"info":{"service":"s",
      "version":"v1","zone":"z","slots":6},"status":{"state":"ready",
      "seq":7,"cold_left":"3s"}})";
  REQUIRE(platform::DecodeServerRegistration("i-1", registration).has_value());
  FeedMutations(registration, [](const std::string& text) {
    static_cast<void>(platform::DecodeServerRegistration("i-1", text));
  });
}

TEST_CASE("Mutated settings files are refused or decoded") {
  const std::string settings = R"(
node_name: "front-palermo-1"
ip: "10.1.0.10"
zone: "palermo"
listen: {front: "10.1.0.10:8161", ready_addr: "10.1.0.10:8167"}
port_range: [7720, 7735]
seeds: ["10.2.0.40:8166"]
limits: {memory_mb: 260, cpu_share: 0.2}
bounds: {grace: "6s", budget_ratio: 0.2, budget_extra: 62}
platform: {address: "10.200.1.7:8169"}
)";
  REQUIRE(platform::ParseHostSettings(settings).has_value());
  constexpr int kSettingsMutations = 1000;
  FeedMutations(
      settings,
      [](const std::string& text) {
        static_cast<void>(platform::ParseHostSettings(text));
      },
      kSettingsMutations);
}

TEST_CASE("Mutated table updates are refused or decoded") {
  TableUpdate update;
  update.rows.as_of = platform::StoreVersion(9);
  update.rows.rows = {
      {"kept", std::string(300, 'v'), platform::StoreVersion(7)},
      {"removed", std::nullopt, platform::StoreVersion(9)}};
  FeedMutations(EncodeTableUpdate(update), [](const std::string& bytes) {
    static_cast<void>(DecodeTableUpdate(bytes));
  });
}

// A message that is decoded is also applied, because odd values may only do
// harm later.
TEST_CASE("Mutated messages of other hosts are refused or applied") {
  const ZoneId zone("z");
  const ServiceId service("s");
  const TimePoint now = TimePoint{} + 1h;
  GossipMessage gossip;
  gossip.sender = {"10.0.0.1", zone, Incarnation(17), 0ms, true, 50};
  gossip.tables = {{12, 30ms}, {0, 4s}};
  gossip.observations = {
      {ServerKeyOf(ServerId("i-1")), 7, 1.5, 80ms, 2s, 0.25, false, {1.125}}};
  gossip.peers = {{"10.0.0.2", zone, Incarnation(3), 100ms, false}};
  const SelectionRequest request{9,
                                 service,
                                 1,
                                 90ms,
                                 250ms,
                                 -20ms,
                                 900ms,
                                 60000,
                                 {ServerKey(1)},
                                 true,
                                 RetrySafety::kNonRetryable};
  const SelectionCompletion completion{9, ServerKeyOf(ServerId("i-1")),
                                       AttemptOutcome::kSucceeded,
                                       ReportedLoad{3, 1.5}};
  PeerTable peers("10.0.0.9", zone, 20, now);
  ServerTable servers(zone);
  ServerRegistration registration;
  registration.id = ServerId("i-1");
  registration.service = service;
  registration.zone = zone;
  registration.slots = 6;
  servers.Replace({registration}, now);
  std::mt19937_64 random(kSeed);
  const auto apply = [&](const std::string& bytes) {
    const auto message = DecodePeerMessage(
        {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    if (!message) return;
    if (const auto* decoded = std::get_if<GossipMessage>(&message.value())) {
      for (const PeerRecord& peer : decoded->peers) peers.Merge(peer, now);
      peers.Merge(decoded->sender, now);
      for (const ServerObservation& observation : decoded->observations)
        servers.Merge(observation, now);
    }
    peers.DispatcherFor(service, zone, now);
    ServerSelectionQuery query{service};
    query.typical_service_time = 90ms;
    query.latency_goal = 250ms;
    query.time_left = 900ms;
    servers.SelectServer(
        query, [](const BackendServerState&) { return true; }, random, now);
    servers.OccupancyOf(service, now, 90ms);
  };
  for (const PeerMessage& message :
       {PeerMessage(gossip), PeerMessage(request), PeerMessage(completion)}) {
    const auto bytes = EncodePeerMessage(message);
    FeedMutations(std::string(bytes.begin(), bytes.end()), apply);
  }
}

TEST_CASE("Mutated HTTP messages are refused or parsed") {
  const auto feed = [](MessageKind kind) {
    return [kind](const std::string& bytes) {
      MessageParser parser(kind);
      std::string_view input(bytes);
      while (!input.empty() && !parser.is_complete()) {
        const auto step = parser.Feed(input);
        input.remove_prefix(step.consumed_bytes);
        if (step.parse_error || step.needs_more) break;
      }
      if (!parser.is_head_complete()) return;
      if (kind == MessageKind::kRequest) {
        static_cast<void>(platform::ParseCallerHeaders(parser.head()));
      } else {
        platform::ParseServerHeaders(parser.head());
      }
    };
  };
  FeedMutations(
      "POST /write/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\n"
      "X-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n",
      feed(MessageKind::kRequest));
  FeedMutations(
      "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: id-1\r\n"
      "X-Backend-Load: 3,0,8,120\r\nX-Cold-Ms: 300\r\nServer-Limit: 2.5\r\n"
      "Retry-After: 0.5\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\n"
      "abc",
      feed(MessageKind::kResponse));
}

}  // namespace
}  // namespace dogwood
