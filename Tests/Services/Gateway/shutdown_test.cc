// Tests which requests a host takes during a planned stop.
#include <array>
#include <thread>

#include "Services/Gateway/shutdown_schedule.h"
#include "Tests/Services/Gateway/gateway_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

TEST_CASE("A request is admitted only if it ends before the forced stop") {
  const TimePoint start = MonotonicNow();
  const ShutdownSchedule schedule{start + 2s, start + 3s, start + 5s};
  const TimePoint late_deadline = start + 20s;
  CHECK(schedule.admits(start, late_deadline, 1s, start));
  CHECK(schedule.admits(start, late_deadline, 1s, start + 1s));
  CHECK_FALSE(schedule.admits(start, late_deadline, 1s, start + 1001ms));
  // One that has waited is admitted until it would end too late.
  CHECK(schedule.admits(start, late_deadline, 100ms, start + 4s));
  CHECK_FALSE(schedule.admits(start + 3s, late_deadline, 100ms, start + 3s));
  CHECK_FALSE(schedule.admits(start + 3s, start + 4s, 100ms, start + 3s));
  // One that arrives late needs a deadline before the forced stop.
  CHECK(schedule.admits(start + 1999ms, late_deadline, 100ms, start + 2s));
  CHECK_FALSE(schedule.admits(start + 2s, late_deadline, 100ms, start + 2s));
  CHECK(schedule.admits(start + 2s, start + 5s, 100ms, start + 2s));
  CHECK_FALSE(schedule.admits(start + 2s, start + 5001ms, 100ms, start + 2s));
  // A deadline before the forced stop is enough, however long the request
  // takes.
  CHECK(schedule.admits(start, start + 5s, 2s, start));
}

std::string WriteRoute(const std::string& timeout,
                       const std::string& latency_goal) {
  return R"({"entry_kind":"routes","metadata":{"name":"write"},"spec":{
      "host":"a.example","prefix":"/write/","kind":"unsafe","timeout":")" +
         timeout + R"(","latency_goal":")" + latency_goal +
         R"(","priority":1,"service":"s","max_attempts":2}},)";
}

// Guards against requests that arrive late in the grace period, take far longer
// than expected, and are cut off while they run (review/2).
TEST_CASE("A request that may outlast the grace period is not started late") {
  GatewayFixture fixture(WriteRoute("20s", "300ms"));
  ScriptedBackendServer& backend =
      fixture.AddBackend("i-1", [](const ReceivedRequest& request) {
        return ScriptedResponse{
            ScriptedBackendServer::OkResponse(request, "answered")};
      });
  fixture.set_grace("6s");
  fixture.StartAndWaitUntilReady();
  ::raise(SIGTERM);
  fixture.RunFor(Gateway::kForecastPeriodAfterStop + 50ms);
  const auto send = [&](const std::string& deadline_ms) {
    return fixture.SendRaw(
        GatewayFixture::kCallerPort,
        GatewayFixture::FormatRequest("POST", "/write/", "id-" + deadline_ms,
                                      "b", "", "close", deadline_ms));
  };
  CHECK(send("5000").starts_with("HTTP/1.1 503 "));
  CHECK(backend.received_requests().empty());
  CHECK(send("1000").starts_with("HTTP/1.1 200 "));
}

// Guards against requests that wait for a server until the process ends and get
// no response, although they have not run.
TEST_CASE("A request that waits for a server gets a refusal before the stop") {
  GatewayFixture fixture(WriteRoute("20s", "10s"));
  fixture.AddBackend("i-1", [](const ReceivedRequest&) {
    ScriptedResponse response;
    response.never_responds = true;
    return response;
  });
  fixture.StartAndWaitUntilReady();
  // The server has six slots.
  std::array<std::string, 7> responses;
  for (std::size_t i = 0; i < responses.size(); ++i) {
    fixture.StartRequest(GatewayFixture::FormatRequest(
                             "POST", "/write/", "id-" + std::to_string(i), "b",
                             "", "close", "20000"),
                         responses[i]);
    fixture.RunFor(20ms);
  }
  ::raise(SIGTERM);
  // Past the fixture's grace period.
  fixture.RunFor(2s);
  CHECK(responses[6].starts_with("HTTP/1.1 503 "));
  CHECK(responses[6].find("Connection: close") != std::string::npos);
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
