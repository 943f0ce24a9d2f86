#include "Libraries/Balancing/peer_message.h"

#include <doctest/doctest.h>

#include <random>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

// Needs more than 32 bits.
constexpr std::uint64_t kLongKey = 0x123456789abcdef0;

template <typename Message>
Message RoundTrip(const Message& message) {
  const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(decoded.has_value());
  REQUIRE(std::holds_alternative<Message>(decoded.value()));
  return std::get<Message>(decoded.value());
}

TEST_CASE("A gossip message is decoded as encoded") {
  GossipMessage gossip;
  gossip.sender = {"10.0.0.1", kPalermo, Incarnation(17), 0ms, true, 50};
  gossip.tables = {{12, 30ms}, {0, 4s}};
  gossip.observations = {
      {ServerKey(kLongKey), 7, 1.5, 80ms, 2s, 0.25, true, {1.125}}};
  gossip.peers = {{"10.0.0.2", kCatania, Incarnation(3), 100ms, false}};
  const GossipMessage decoded = RoundTrip(gossip);
  CHECK(decoded.sender.ip == "10.0.0.1");
  CHECK(decoded.sender.incarnation == Incarnation(17));
  CHECK(decoded.sender.is_draining);
  CHECK(decoded.sender.capacity == 50);
  CHECK(decoded.tables.size() == 2);
  CHECK(decoded.tables[1].age == Duration(4s));
  CHECK(decoded.observations[0].server == ServerKey(kLongKey));
  CHECK(decoded.observations[0].slowdown == doctest::Approx(1.5));
  CHECK(decoded.observations[0].cold_left == 2s);
  CHECK(decoded.observations[0].is_unreachable);
  CHECK(decoded.observations[0].directives.max_requests_per_second == 1.125);
  CHECK(decoded.peers[0].zone == kCatania);
}

TEST_CASE("A selection request and its response are decoded as encoded") {
  SelectionRequest request{9,
                           kTracking,
                           1,
                           90ms,
                           250ms,
                           -20ms,
                           900ms,
                           60000,
                           {ServerKey(1), ServerKey(2)},
                           true,
                           RetrySafety::kNonRetryable};
  const SelectionRequest decoded_request = RoundTrip(request);
  CHECK(decoded_request.request_number == 9);
  CHECK(decoded_request.service == kTracking);
  CHECK(decoded_request.latency_goal_time_left == -20ms);
  CHECK(decoded_request.excluded.size() == 2);
  CHECK(decoded_request.is_hedge);
  CHECK(decoded_request.retry_safety == RetrySafety::kNonRetryable);
  ServerSelection selection;
  selection.server = ServerKey(5);
  selection.slowdown = 2;
  selection.load_age = Duration::max();
  selection.is_above_knee = true;
  const SelectionResponse decoded =
      RoundTrip(SelectionResponse{9, AdmissionDecision::kSend, selection});
  REQUIRE(decoded.selection.has_value());
  CHECK(decoded.selection->server == ServerKey(5));
  CHECK(decoded.selection->load_age == Duration::max());
  CHECK(decoded.selection->is_above_knee);
  CHECK(!RoundTrip(SelectionResponse{9, AdmissionDecision::kWait, {}})
             .selection.has_value());
}

TEST_CASE("Completions and cancellations are decoded as encoded") {
  const SelectionCompletion completion{
      9,    ServerKey(5), AttemptOutcome::kNotRun, ReportedLoad{3, 7.0},
      1.25, true};
  const SelectionCompletion decoded = RoundTrip(completion);
  CHECK(decoded.outcome == AttemptOutcome::kNotRun);
  REQUIRE(decoded.load.has_value());
  CHECK(decoded.load->in_flight == 3);
  CHECK(decoded.service_time_ratio == doctest::Approx(1.25));
  CHECK(!RoundTrip(SelectionCompletion{
                       9, ServerKey(5), AttemptOutcome::kNoResponse, {}})
             .load.has_value());
  CHECK(RoundTrip(SelectionCancellation{9}).request_number == 9);
  for (const ServerDirectives& directives :
       {ServerDirectives{}, ServerDirectives{1.125}, ServerDirectives{0.0},
        ServerDirectives{{}, 17}}) {
    SelectionCompletion limited{9, ServerKey(5), AttemptOutcome::kSucceeded};
    limited.directives = directives;
    CHECK(RoundTrip(limited).directives == directives);
    CHECK(!RoundTrip(limited).load.has_value());
    limited.load = ReportedLoad{3, 1};
    CHECK(RoundTrip(limited).directives == directives);
    CHECK(RoundTrip(limited).load.has_value());
  }
  CHECK(!RoundTrip(completion).directives.has_value());
}

// Guards against messages with keys that were left as hosts of the version with
// 32-bit keys send them.
TEST_CASE("All server keys of a message are visited") {
  const auto resolve = [](PeerMessage message) {
    ForEachServerKey(message, [](ServerKey& key) {
      key = ServerKey(key.value() + kLongKey);
    });
    return DecodePeerMessage(EncodePeerMessage(message)).value();
  };
  GossipMessage gossip;
  gossip.observations.resize(2);
  const auto observations =
      std::get<GossipMessage>(resolve(gossip)).observations;
  CHECK(observations[0].server == ServerKey(kLongKey));
  CHECK(observations[1].server == ServerKey(kLongKey));
  SelectionRequest request;
  request.excluded = {ServerKey(1), ServerKey(2)};
  CHECK(std::get<SelectionRequest>(resolve(request)).excluded ==
        std::vector{ServerKey(kLongKey + 1), ServerKey(kLongKey + 2)});
  SelectionResponse response{9, AdmissionDecision::kSend, ServerSelection{}};
  response.selection->server = ServerKey(3);
  CHECK(std::get<SelectionResponse>(resolve(response)).selection->server ==
        ServerKey(kLongKey + 3));
  const SelectionCompletion completion{9, ServerKey(4)};
  CHECK(std::get<SelectionCompletion>(resolve(completion)).server ==
        ServerKey(kLongKey + 4));
}

TEST_CASE("Suspected requests are decoded as encoded") {
  const SuspectRecord refused{18000000000000000000U, {3, 4}, false, 90s};
  const SuspectRecord cleared{7, {}, true};
  const SuspectMessage decoded = RoundTrip(SuspectMessage{{refused, cleared}});
  REQUIRE(decoded.records.size() == 2);
  CHECK(decoded.records[0] == refused);
  CHECK(decoded.records[1] == cleared);
}

// Guards against malformed bytes from the network that terminate the process.
TEST_CASE("Malformed messages do not terminate the process") {
  std::mt19937_64 random(5);
  GossipMessage gossip;
  gossip.observations.resize(3);
  const auto valid_bytes = EncodePeerMessage(gossip);
  for (int i = 0; i < 20000; ++i) {
    auto bytes = valid_bytes;
    for (int changes = 0; changes < 3; ++changes)
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    bytes.resize(random() % (bytes.size() + 1));
    (void)DecodePeerMessage(bytes);
  }
  CHECK(!DecodePeerMessage({}).has_value());
}

}  // namespace
}  // namespace dogwood
