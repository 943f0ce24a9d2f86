// Tests which requests a host takes during a planned stop.
#include <thread>

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

// Guards against connections that are reset because they still wait to be
// accepted when the host stops accepting.
TEST_CASE("Connections that wait to be accepted get a refusal") {
  GatewayFixture fixture;
  fixture.AddBackend("i-1", [](const ReceivedRequest& request) {
    return ScriptedResponse{
        ScriptedBackendServer::OkResponse(request, "answered")};
  });
  fixture.set_grace("6s");
  fixture.StartAndWaitUntilReady();
  ::raise(SIGTERM);
  fixture.RunFor(Gateway::kAcceptPeriodAfterStop - 100ms);
  std::vector<boost::asio::ip::tcp::socket> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back(fixture.io());
    callers.back().connect(fixture.caller_endpoint());
    boost::asio::write(callers.back(),
                       boost::asio::buffer(GatewayFixture::FormatRequest(
                           "POST", "/write/", "id-" + std::to_string(i), "b")));
  }
  // The host gets no processor time until after it has to stop accepting.
  std::this_thread::sleep_for(200ms);
  fixture.RunFor(200ms);
  for (auto& caller : callers) {
    std::array<char, 1024> buffer{};
    boost::system::error_code error;
    caller.non_blocking(true);
    const auto count = caller.read_some(boost::asio::buffer(buffer), error);
    CHECK(std::string_view(buffer.data(), count)
              .starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
  }
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
