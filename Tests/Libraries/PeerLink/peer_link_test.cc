#include "Libraries/PeerLink/peer_link.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

// Longer than any test takes; a verdict never waits for it.
constexpr Duration kLongTimeout = std::chrono::seconds(60);
constexpr std::size_t kMessageBytes = 64U << 10U;

PeerEnvelope EnvelopeOf(const std::string& host) {
  return {.sender = HostId(host), .incarnation = Incarnation(7)};
}

tcp::endpoint AnyPort() { return {asio::ip::make_address("127.0.0.1"), 0}; }

// A server and a client on one loop.
struct Link {
  explicit Link(PeerServer::Handler handler = Echo)
      : server(PeerServer::Listen(io.get_executor(), AnyPort(),
                                  {.self = EnvelopeOf("server"),
                                   .message_bytes = kMessageBytes},
                                  std::move(handler), counters)
                   .value()),
        client(io.get_executor(), server.local_endpoint(),
               {.self = EnvelopeOf("client"), .message_bytes = kMessageBytes},
               counters) {}

  static asio::awaitable<Result<json>> Echo(PeerRequest request) {
    if (request.kind == "refuse")
      co_return Fail(ErrorCode::kConflict, "refused");
    co_return request.body;
  }

  // Runs the coroutine, then closes the link and runs until nothing is left.
  void Run(std::function<asio::awaitable<void>()> test) {
    bool is_done = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          co_await test();
          is_done = true;
          client.Close();
          server.Stop();
        },
        asio::detached);
    io.run();
    CHECK(is_done);
  }

  std::shared_ptr<LinkCounters> counters = std::make_shared<LinkCounters>();
  asio::io_context io{1};
  PeerServer server;
  PeerClient client;
};

TEST_CASE("A message reaches the handler and its response the caller") {
  Link link;
  link.Run([&]() -> asio::awaitable<void> {
    const json body = {{"service", "proofs"}, {"count", 3}};
    const Result<PeerReply> reply =
        co_await link.client.Call("borrow", body, kLongTimeout);
    REQUIRE(reply.has_value());
    CHECK(reply.value().body == body);
    CHECK(reply.value().envelope.sender == HostId("server"));
    CHECK(reply.value().envelope.incarnation == Incarnation(7));
  });
  CHECK(link.counters->connections_opened == 2);
}

// Guards against an error of the handler that the caller takes for a loss.
TEST_CASE("An error of the handler reaches the caller with its code") {
  Link link;
  link.Run([&]() -> asio::awaitable<void> {
    const auto reply =
        co_await link.client.Call("refuse", json::object(), kLongTimeout);
    REQUIRE(reply.has_error());
    CHECK(reply.error().code == ErrorCode::kConflict);
    CHECK(reply.error().message == "refused");
  });
}

}  // namespace
}  // namespace dogwood
