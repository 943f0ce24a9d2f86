// Tests that bytes without end from a caller do no harm.
#include "Tests/Services/Gateway/gateway_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

// Sends `start`, then `piece` again and again until the gateway closes the
// connection, and returns what it responds. At most 4 s.
std::string SendEndlessly(GatewayFixture& fixture, const std::string& start,
                          const std::string& piece) {
  constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
  asio::ip::tcp::socket caller(fixture.io());
  caller.connect(fixture.caller_endpoint());
  bool is_closed = false;
  std::string response;
  const auto write = [&]() -> asio::awaitable<void> {
    for (const std::string* bytes = &start;; bytes = &piece) {
      const auto [error, count] = co_await asio::async_write(
          caller, asio::buffer(*bytes), kUseAwaitableTuple);
      if (error) co_return;
    }
  };
  const auto read = [&]() -> asio::awaitable<void> {
    std::array<char, 4096> buffer{};
    for (;;) {
      const auto [error, count] = co_await caller.async_read_some(
          asio::buffer(buffer), kUseAwaitableTuple);
      response.append(buffer.data(), count);
      if (error) break;
    }
    is_closed = true;
  };
  asio::co_spawn(fixture.io(), write, asio::detached);
  asio::co_spawn(fixture.io(), read, asio::detached);
  for (int i = 0; i < 400 && !is_closed; ++i) fixture.RunFor(10ms);
  CHECK(is_closed);
  caller.close();
  fixture.RunFor(10ms);
  return response;
}

const std::string kPiece(std::size_t{64} << 10U, 'x');
const std::string kChunkedHead =
    "POST /write/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\n"
    "X-Deadline-Ms: 30000\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against callers that take the processor time or the memory of a host.
TEST_CASE("Requests without end are refused") {
  GatewayFixture fixture;
  ScriptedBackendServer& backend =
      fixture.AddBackend("i-1", [](const ReceivedRequest& request) {
        return ScriptedResponse{
            ScriptedBackendServer::OkResponse(request, "sound")};
      });
  fixture.StartAndWaitUntilReady();
  std::string start = kChunkedHead;
  std::string piece = kPiece;
  std::string status = "HTTP/1.1 400 ";
  SUBCASE("in a body") {
    piece = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
    status = "HTTP/1.1 413 ";
  }
  SUBCASE("in a chunk line") { start += "1;x="; }
  SUBCASE("in chunks that hold almost no body") {
    piece = "1;x=" + std::string(1000, 'y') + "\r\nz\r\n";
  }
  SUBCASE("in many trailers") {
    start += "0\r\n";
    piece = "X-Trailer: x\r\n";
  }
  SUBCASE("in one trailer") { start += "0\r\nX-Trailer: "; }
  SUBCASE("in a head") {
    start = "POST /write/ HTTP/1.1\r\nX-Long: ";
    status = "HTTP/1.1 431 ";
  }
  SUBCASE("in a start line") {
    start = "POST /write/";
    status = "HTTP/1.1 431 ";
  }
  CHECK(SendEndlessly(fixture, start, piece).starts_with(status));
  CHECK(fixture.SendRequest("POST", "/write/sound", "id-sound", "b")
            .starts_with("HTTP/1.1 200 "));
  CHECK(backend.received_requests().size() == 1);
}

// Guards against large heads of many connections that take the memory of a
// host: each is within its limit.
TEST_CASE("Large heads of all connections together are bounded") {
  GatewayFixture fixture;
  fixture.set_memory("8");
  fixture.AddBackend("i-1", [](const ReceivedRequest& request) {
    return ScriptedResponse{
        ScriptedBackendServer::OkResponse(request, "sound")};
  });
  fixture.StartAndWaitUntilReady();
  // A sixteenth of 8 MB is the excess of 44 heads of 16 kB over 4 kB.
  constexpr int kCallerCount = 60;
  std::vector<asio::ip::tcp::socket> callers;
  for (int i = 0; i < kCallerCount; ++i) {
    callers.emplace_back(fixture.io());
    callers.back().connect(fixture.caller_endpoint());
    asio::write(callers.back(), asio::buffer("GET / HTTP/1.1\r\nX-Long: " +
                                             std::string(15900, 'x')));
  }
  fixture.RunFor(200ms);
  CHECK(fixture.SendRequest("POST", "/write/sound", "id-sound", "b")
            .starts_with("HTTP/1.1 200 "));
  int refused_count = 0;
  for (auto& caller : callers) {
    std::array<char, 1024> buffer{};
    boost::system::error_code error;
    caller.non_blocking(true);
    const auto count = caller.read_some(asio::buffer(buffer), error);
    const std::string_view response(buffer.data(), count);
    if (response.starts_with("HTTP/1.1 503 ")) ++refused_count;
  }
  CHECK(refused_count >= kCallerCount - 45);
  CHECK(refused_count < kCallerCount);
}

}  // namespace
}  // namespace dogwood
