// Tests which requests a host takes during a planned stop.
#include "Services/Gateway/shutdown_schedule.h"
#include "Tests/Services/Gateway/gateway_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

TEST_CASE("A request is admitted only if it ends before the forced stop") {
  const TimePoint start = MonotonicNow();
  const ShutdownSchedule schedule{start + 3s, start + 5s};
  CHECK(schedule.admits(start, 1s, start));
  CHECK(schedule.admits(start, 1s, start + 1s));
  CHECK_FALSE(schedule.admits(start, 1s, start + 1001ms));
  // One that has waited is admitted until it would end too late.
  CHECK(schedule.admits(start, 100ms, start + 4s));
  CHECK_FALSE(schedule.admits(start + 3s, 100ms, start + 3s));
}

// Guards against requests that are passed on late in the grace period and cut
// off at its end, among them such that must not be retried.
TEST_CASE("A request that would outlive the grace period is refused unrun") {
  GatewayFixture fixture;
  ScriptedBackendServer& backend =
      fixture.AddBackend("i-1", [](const ReceivedRequest& request) {
        return ScriptedResponse{
            ScriptedBackendServer::OkResponse(request, "late"),
            ConnectionAction::kKeep, 500ms};
      });
  fixture.StartAndWaitUntilReady();
  ::raise(SIGTERM);
  // The fixture's grace period is 1.5 s, and a request is expected to take
  // 0.37 of its latency goal of 300 ms.
  fixture.RunFor(1000ms);
  for (const std::string method : {"GET", "POST"}) {
    const std::string target = method == "GET" ? "/read/" : "/write/";
    const std::string response = fixture.SendRequest(method, target, "id-1");
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(response.find("Retry-After: ") != std::string::npos);
  }
  CHECK(backend.received_requests().empty());
}

// Guards against a second signal that ends the grace period early.
TEST_CASE("A second signal does not cut off running requests") {
  GatewayFixture fixture;
  fixture.AddBackend("i-1", [](const ReceivedRequest& request) {
    return ScriptedResponse{
        ScriptedBackendServer::OkResponse(request, "answered"),
        ConnectionAction::kKeep, 400ms};
  });
  fixture.StartAndWaitUntilReady();
  std::string received;
  fixture.StartRequest(
      GatewayFixture::FormatRequest("POST", "/write/", "id-1", "b"), received);
  fixture.RunFor(50ms);
  ::raise(SIGTERM);
  fixture.RunFor(50ms);
  ::raise(SIGTERM);
  fixture.RunFor(600ms);
  CHECK(received.ends_with("answered"));
}

}  // namespace
}  // namespace dogwood
