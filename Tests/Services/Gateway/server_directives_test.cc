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
  // Until then the second host uses no limited server.
  fixture.RunFor(PeerTable::kConvergenceTime);
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

// Sends requests one after the other for `duration`, alternating between the
// hosts. Returns the responses.
std::vector<std::string> SendFor(GatewayFixture& fixture, Duration duration) {
  std::vector<std::string> responses;
  for (const TimePoint end = MonotonicNow() + duration; MonotonicNow() < end;) {
    const std::string number = std::to_string(responses.size());
    responses.push_back(
        fixture.SendRequest("GET", "/read/" + number, "id-" + number));
    fixture.SwitchHost();
    fixture.RunFor(20ms);
  }
  return responses;
}

void StartTwoHosts(GatewayFixture& fixture) {
  fixture.StartAndWaitUntilReady();
  fixture.StartSecondHost();
  for (int i = 0; i < 400 && !fixture.is_ready(); ++i) fixture.RunFor(10ms);
  REQUIRE(fixture.is_ready());
}

// Guards against requests to a server that has said in a response that it is
// leaving, while its entry in the store still says that it is ready.
TEST_CASE("A server that says that it is leaving gets no more requests") {
  constexpr Duration kDrainTime = 2s;
  GatewayFixture fixture;
  std::vector<TimePoint> arrivals;
  fixture.AddBackend("leaving", [&arrivals](const ReceivedRequest& request) {
    arrivals.push_back(MonotonicNow());
    return ScriptedResponse{ScriptedBackendServer::OkResponse(
        request, "last", "Server-Leaving: 1\r\n")};
  });
  fixture.AddBackend("staying", [](const ReceivedRequest& request) {
    return ScriptedResponse{ScriptedBackendServer::OkResponse(request, "on")};
  });
  StartTwoHosts(fixture);
  const auto responses = SendFor(fixture, kDrainTime + 1s);
  REQUIRE(!arrivals.empty());
  CHECK(arrivals.back() - arrivals.front() <= kDrainTime);
  CHECK(std::all_of(responses.begin(), responses.end(), [](const auto& text) {
    return text.starts_with("HTTP/1.1 200 ");
  }));
}

// Guards against requests and health checks to a server that has answered 503
// with Retry-After, from the host that it has answered.
TEST_CASE("A server that wants nothing for a time gets nothing meanwhile") {
  constexpr Duration kPause = 3s;
  constexpr Duration kReactionTime = 500ms;
  constexpr int kMaxRequests = 2;
  GatewayFixture fixture;
  std::vector<TimePoint> arrivals;
  ScriptedBackendServer& paused =
      fixture.AddBackend("paused", [&arrivals](const ReceivedRequest& request) {
        arrivals.push_back(MonotonicNow());
        return ScriptedResponse{
            "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + request.id +
            "\r\nX-Not-Executed: 1\r\nRetry-After: 3.0\r\n"
            "Content-Length: 0\r\n\r\n"};
      });
  fixture.AddBackend("other", [](const ReceivedRequest& request) {
    return ScriptedResponse{ScriptedBackendServer::OkResponse(request, "on")};
  });
  fixture.StartAndWaitUntilReady();
  SendFor(fixture, kReactionTime);
  REQUIRE(!arrivals.empty());
  const auto count_before = arrivals.size();
  const int checks_before = paused.health_check_count();
  SendFor(fixture, kPause - 2 * kReactionTime);
  const auto request_count = static_cast<int>(arrivals.size() - count_before);
  const int check_count = paused.health_check_count() - checks_before;
  CHECK(request_count + check_count <= kMaxRequests);
  // It is used again after the pause.
  fixture.store().Remove("servers", "other");
  SendFor(fixture, kPause);
  CHECK(arrivals.size() > count_before);
}

// Guards against callers that wait for servers which want nothing.
TEST_CASE("When all servers want nothing, callers are refused at once") {
  GatewayFixture fixture;
  fixture.AddBackend("paused", [](const ReceivedRequest& request) {
    return ScriptedResponse{
        "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + request.id +
        "\r\nX-Not-Executed: 1\r\nRetry-After: 5\r\n"
        "Content-Length: 0\r\n\r\n"};
  });
  fixture.StartAndWaitUntilReady();
  fixture.SendRequest("GET", "/read/1", "id-1");
  const TimePoint sent_at = MonotonicNow();
  const std::string response = fixture.SendRequest("GET", "/read/2", "id-2");
  CHECK(MonotonicNow() - sent_at < 100ms);
  CHECK(response.starts_with("HTTP/1.1 503 "));
  const std::size_t field = response.find("Retry-After: ");
  REQUIRE(field != std::string::npos);
  const double seconds = std::stod(response.substr(field + 13));
  CHECK(seconds > 4);
  CHECK(seconds < 6);
}

}  // namespace
}  // namespace dogwood
