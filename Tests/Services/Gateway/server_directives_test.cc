// Tests that hosts follow what backend servers ask for in their responses, on
// real gateways against stand-ins.
#include <algorithm>

#include "Tests/Services/Gateway/gateway_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

constexpr Duration kLimitWindow = 4s;
// In each kLimitWindow a server gets at most this many times its limit, plus
// kLimitExcess requests.
constexpr double kLimitFactor = 1.5;
constexpr double kLimitExcess = 5;

// Guards against a server in need that gets far more requests than the limit
// that it names, from several hosts.
TEST_CASE("A server gets no more requests than the limit that it names") {
  constexpr double kLimit = 2;  // requests per second
  GatewayFixture fixture;
  std::vector<TimePoint> arrivals;
  fixture.AddBackend("limited", [&arrivals](const ReceivedRequest& request) {
    arrivals.push_back(MonotonicNow());
    return ScriptedResponse{ScriptedBackendServer::OkResponse(
        request, "few", "Server-Limit: 2.0\r\n")};
  });
  fixture.StartAndWaitUntilReady();
  fixture.StartSecondHost();
  for (int i = 0; i < 400 && !fixture.is_ready(); ++i) fixture.RunFor(10ms);
  REQUIRE(fixture.is_ready());
  std::vector<std::string> responses(80);
  for (std::size_t i = 0; i < responses.size(); ++i) {
    fixture.StartRequest(
        GatewayFixture::FormatRequest("GET", "/read/" + std::to_string(i),
                                      "id-" + std::to_string(i)),
        responses[i]);
    fixture.SwitchHost();
    fixture.RunFor(60ms);
  }
  fixture.RunFor(1s);
  REQUIRE(!arrivals.empty());
  // The hosts know the limit from half a second after the first response.
  const TimePoint start = arrivals.front() + 500ms;
  const auto count = std::count_if(
      arrivals.begin(), arrivals.end(),
      [&](TimePoint at) { return at >= start && at < start + kLimitWindow; });
  CHECK(static_cast<double>(count) <= kLimitFactor * kLimit * 4 + kLimitExcess);
  CHECK(count >= 4);
  const bool all_refused_in_time =
      std::all_of(responses.begin(), responses.end(), [](const auto& text) {
        return text.starts_with("HTTP/1.1 200 ") ||
               text.starts_with("HTTP/1.1 503 ");
      });
  CHECK(all_refused_in_time);
}

}  // namespace
}  // namespace dogwood
