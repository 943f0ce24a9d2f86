#include "Libraries/Balancing/peer_message.h"

#include <doctest/doctest.h>

#include <random>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

template <typename Message>
Message RoundTrip(const Message& message) {
  const auto decoded = DecodeMessage(EncodeMessage(message));
  REQUIRE(decoded.has_value());
  REQUIRE(std::holds_alternative<Message>(decoded.value()));
  return std::get<Message>(decoded.value());
}

TEST_CASE("A gossip message is decoded as encoded") {
  FleetDigest digest;
  digest.sender = {"10.0.0.1", kPalermo, Incarnation(17), 0ms, true, 50};
  digest.tables = {{12, 30ms}, {0, 4s}};
  digest.observations = {
      {ServerKey(4000000000U), 7, 1.5, 80ms, 2s, 0.25, true}};
  digest.peers = {{"10.0.0.2", kCatania, Incarnation(3), 100ms, false}};
  const FleetDigest decoded = RoundTrip(digest);
  CHECK(decoded.sender.ip == "10.0.0.1");
  CHECK(decoded.sender.incarnation == Incarnation(17));
  CHECK(decoded.sender.is_leaving);
  CHECK(decoded.sender.capacity == 50);
  CHECK(decoded.tables.size() == 2);
  CHECK(decoded.tables[1].age == Duration(4s));
  CHECK(decoded.observations[0].server == ServerKey(4000000000U));
  CHECK(decoded.observations[0].slowdown == doctest::Approx(1.5));
  CHECK(decoded.observations[0].cold_left == 2s);
  CHECK(decoded.observations[0].is_unreachable);
  CHECK(decoded.peers[0].zone == kCatania);
}

TEST_CASE("A placement request and its response are decoded as encoded") {
  PlacementAsk ask{9,
                   kTracking,
                   1,
                   90ms,
                   250ms,
                   -20ms,
                   900ms,
                   60000,
                   {ServerKey(1), ServerKey(2)},
                   true,
                   Repeatability::kOnce};
  const PlacementAsk decoded_ask = RoundTrip(ask);
  CHECK(decoded_ask.number == 9);
  CHECK(decoded_ask.service == kTracking);
  CHECK(decoded_ask.goal_left == -20ms);
  CHECK(decoded_ask.excluded.size() == 2);
  CHECK(decoded_ask.is_hedge);
  CHECK(decoded_ask.repeatability == Repeatability::kOnce);
  Placement placement;
  placement.server = ServerKey(5);
  placement.slowdown = 2;
  placement.load_age = Duration::max();
  placement.is_above_knee = true;
  const PlacementAnswer decoded =
      RoundTrip(PlacementAnswer{9, AdmissionVerdict::kSend, placement});
  REQUIRE(decoded.placement.has_value());
  CHECK(decoded.placement->server == ServerKey(5));
  CHECK(decoded.placement->load_age == Duration::max());
  CHECK(decoded.placement->is_above_knee);
  CHECK(!RoundTrip(PlacementAnswer{9, AdmissionVerdict::kWait, {}})
             .placement.has_value());
}

TEST_CASE("Completions and cancellations are decoded as encoded") {
  const PlacementEnd end{
      9, ServerKey(5), AttemptOutcome::kShed, ReportedLoad{3, 7.0}, 1.25, true};
  const PlacementEnd decoded = RoundTrip(end);
  CHECK(decoded.outcome == AttemptOutcome::kShed);
  REQUIRE(decoded.load.has_value());
  CHECK(decoded.load->in_work == 3);
  CHECK(decoded.work_ratio == doctest::Approx(1.25));
  CHECK(!RoundTrip(PlacementEnd{9, ServerKey(5), AttemptOutcome::kLost, {}})
             .load.has_value());
  CHECK(RoundTrip(PlacementWithdrawal{9}).number == 9);
}

// Guards against malformed bytes from the network that terminate the process.
TEST_CASE("Malformed messages do not terminate the process") {
  std::mt19937_64 random(5);
  FleetDigest digest;
  digest.observations.resize(3);
  const auto sound = EncodeMessage(digest);
  for (int i = 0; i < 20000; ++i) {
    auto bytes = sound;
    for (int changes = 0; changes < 3; ++changes)
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    bytes.resize(random() % (bytes.size() + 1));
    (void)DecodeMessage(bytes);
  }
  CHECK(!DecodeMessage({}).has_value());
}

}  // namespace
}  // namespace dogwood
