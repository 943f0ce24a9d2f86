// Tests that bytes without end from a faulty backend server do no harm, on a
// real gateway against stand-ins.
#include <algorithm>

#include "Tests/Services/Gateway/gateway_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

// Memory limit of the fixture's gateways.
constexpr std::size_t kMemoryBytes = std::size_t{256} << 20U;
constexpr std::size_t kServerCount = 4;
constexpr std::size_t kRequestCount = 20;

// Sends requests at the same time to servers that respond with `response` and
// checks that each gets its own response in time. Returns the greatest number
// of bytes on open connections, which bounds what the host holds.
std::size_t SendToEndlessServers(const ScriptedResponse& response) {
  GatewayFixture fixture(R"({"entry_kind":"routes","metadata":{"name":"write"},
      "spec":{"host":"a.example","prefix":"/write/","kind":"unsafe",
      "timeout":"4000ms","latency_goal":"3000ms","priority":1,"service":"s",
      "max_attempts":1}},)");
  std::vector<ScriptedBackendServer*> servers;
  for (std::size_t i = 0; i < kServerCount; ++i) {
    servers.push_back(&fixture.AddBackend(
        "i-" + std::to_string(i), [&](const ReceivedRequest& request) {
          if (request.target == "/write/sound") {
            return ScriptedResponse{
                ScriptedBackendServer::OkResponse(request, "sound")};
          }
          return response;
        }));
  }
  fixture.StartAndWaitUntilReady();
  std::vector<std::string> responses(kRequestCount);
  for (std::size_t i = 0; i < kRequestCount; ++i) {
    fixture.StartRequest(
        GatewayFixture::FormatRequest("POST", "/write/" + std::to_string(i),
                                      "id-" + std::to_string(i), "b"),
        responses[i]);
  }
  const auto has_all_responses = [&] {
    return std::all_of(responses.begin(), responses.end(),
                       [](const auto& text) { return !text.empty(); });
  };
  for (int i = 0; i < 300 && !has_all_responses(); ++i) fixture.RunFor(10ms);
  CHECK(has_all_responses());
  for (const std::string& text : responses)
    CHECK(text.starts_with("HTTP/1.1 502 "));
  CHECK(fixture.SendRequest("POST", "/write/sound", "id-sound", "b")
            .starts_with("HTTP/1.1 200 "));
  std::size_t peak_bytes = 0;
  for (const ScriptedBackendServer* server : servers)
    peak_bytes += server->peak_endless_bytes();
  return peak_bytes;
}

const std::string kPiece(std::size_t{64} << 10U, 'x');

// Guards against a host that ends because the bodies without end of a few
// servers exceed its memory.
TEST_CASE("Response bodies without end stay within the memory of the host") {
  ScriptedResponse response{"HTTP/1.1 200 OK\r\nX-Server-Stamp: sound\r\n\r\n"};
  response.endless_bytes = kPiece;
  CHECK(SendToEndlessServers(response) <= kMemoryBytes);
}

TEST_CASE("Response heads without end are cut off") {
  ScriptedResponse response{"HTTP/1.1 200 OK\r\nX-Long: "};
  response.endless_bytes = kPiece;
  CHECK(SendToEndlessServers(response) <= kMemoryBytes);
}

// A response without a line end fills the receive buffer before its start line.
TEST_CASE("Bytes without end that are no response are cut off") {
  ScriptedResponse response;
  response.endless_bytes = kPiece;
  CHECK(SendToEndlessServers(response) <= kMemoryBytes);
}

const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: sound\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

// Guards against a host that reads into a full buffer until the deadline, which
// takes all of its processor time.
TEST_CASE("Chunk lines without end are cut off") {
  ScriptedResponse response{kChunkedHead + "1;x="};
  response.endless_bytes = kPiece;
  CHECK(SendToEndlessServers(response) <= kMemoryBytes);
}

TEST_CASE("Trailers without end are cut off") {
  ScriptedResponse response{kChunkedHead + "1\r\nx\r\n0\r\n"};
  SUBCASE("of many fields") { response.endless_bytes = "X-Trailer: x\r\n"; }
  SUBCASE("of one field") {
    response.bytes += "X-Trailer: ";
    response.endless_bytes = kPiece;
  }
  CHECK(SendToEndlessServers(response) <= kMemoryBytes);
}

// Guards against servers whose slots are held until the deadline by responses
// that consist of chunk lines.
TEST_CASE("Chunks without end that hold almost no body are cut off") {
  ScriptedResponse response{kChunkedHead};
  response.endless_bytes = "1;x=" + std::string(1000, 'y') + "\r\nz\r\n";
  CHECK(SendToEndlessServers(response) <= kMemoryBytes);
}

// Guards against a host that spends its processor time on reading interim
// responses until the deadline.
TEST_CASE("Interim responses without end are cut off") {
  ScriptedResponse response;
  for (int i = 0; i < 100; ++i)
    response.endless_bytes += "HTTP/1.1 100 Continue\r\n\r\n";
  CHECK(SendToEndlessServers(response) <= kMemoryBytes);
}

}  // namespace
}  // namespace dogwood
