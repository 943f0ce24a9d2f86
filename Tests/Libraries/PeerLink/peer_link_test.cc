#include "Libraries/PeerLink/peer_link.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "Libraries/PeerLink/http2_connection.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

// Longer than any test takes; no passing test waits for it.
constexpr Duration kLongTimeout = std::chrono::seconds(60);
constexpr std::size_t kMessageBytes = 64U << 10U;

PeerEnvelope EnvelopeOf(const std::string& host) {
  return {.sender = HostId(host), .incarnation = Incarnation(7)};
}

tcp::endpoint AnyPort() { return {asio::ip::make_address("127.0.0.1"), 0}; }

// A server and a client on one event loop.
struct Link {
  explicit Link(PeerServer::Handler handler = Echo)
      : server(PeerServer::Listen(io.get_executor(), AnyPort(),
                                  {.self = EnvelopeOf("server"),
                                   .max_message_bytes = kMessageBytes},
                                  std::move(handler), counters)
                   .value()),
        client(
            io.get_executor(), server.local_endpoint(),
            {.self = EnvelopeOf("client"), .max_message_bytes = kMessageBytes},
            counters) {}

  static asio::awaitable<Result<json>> Echo(PeerRequest request) {
    if (request.kind == "refuse")
      co_return Fail(ErrorCode::kConflict, "refused");
    co_return request.body;
  }

  // Runs the coroutine, closes the link and runs until no work is left.
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

  std::shared_ptr<PeerTrafficCounters> counters =
      std::make_shared<PeerTrafficCounters>();
  asio::io_context io{1};
  PeerServer server;
  PeerClient client;
};

// Sends messages that PeerClient cannot send.
class RawClient : public Http2Connection {
 public:
  using Http2Connection::Http2Connection;

  static std::shared_ptr<RawClient> Connect(Link& link) {
    tcp::socket socket(link.io);
    socket.connect(link.server.local_endpoint());
    auto client =
        std::make_shared<RawClient>(std::move(socket), Role::kClient, Limits{},
                                    std::make_shared<PeerTrafficCounters>());
    client->Start();
    return client;
  }

  void Send(std::string_view path, std::string_view version,
            std::string_view sender, std::string_view incarnation,
            std::vector<std::uint8_t> body) {
    const std::array<Header, 7> headers{{{":method", "POST"},
                                         {":scheme", "http"},
                                         {":authority", "peer"},
                                         {":path", path},
                                         {"version", version},
                                         {"sender", sender},
                                         {"incarnation", incarnation}}};
    REQUIRE(SubmitRequest(headers, std::move(body), 1).has_value());
  }

  std::vector<int> statuses;
  std::vector<std::string> errors;
  std::function<void()> on_message = [] {};
  bool is_closed = false;

 private:
  void OnMessage(Message message) override {
    statuses.push_back(message.status);
    errors.push_back(
        ErrorFromJson(DecodeBody(message.body).value()).ToString());
    on_message();
  }
  void OnStreamFailure(std::uint64_t, StreamFailure) override {}
  void OnClosed() override { is_closed = true; }
};

// Answers messages of the kind "slow" only after the gate is cancelled.
struct SlowHandler {
  explicit SlowHandler(const std::shared_ptr<asio::steady_timer>& given)
      : gate(given) {}
  asio::awaitable<Result<json>> operator()(PeerRequest request) const {
    if (request.kind == "slow") {
      boost::system::error_code ignored;
      co_await gate->async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return request.body;
  }
  std::shared_ptr<asio::steady_timer> gate;  // shared with the test
};

TEST_CASE("A message reaches the handler and its response reaches the caller") {
  Link link;
  link.Run([&]() -> asio::awaitable<void> {
    const json body = {{"service", "proofs"}, {"count", 3}};
    const Result<PeerResponse> reply =
        co_await link.client.Call("borrow", body, kLongTimeout);
    REQUIRE(reply.has_value());
    CHECK(reply.value().body == body);
    CHECK(reply.value().envelope.sender == HostId("server"));
    CHECK(reply.value().envelope.incarnation == Incarnation(7));
  });
  CHECK(link.counters->connections_opened == 2);
}

// Guards against reporting an error of the handler as a lost message.
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

TEST_CASE("Many concurrent messages share one connection") {
  Link link;
  constexpr int kCalls = 2000;
  int answered = 0;
  link.Run([&]() -> asio::awaitable<void> {
    asio::steady_timer done(link.io, TimePoint::max());
    for (int i = 0; i < kCalls; ++i) {
      asio::co_spawn(
          link.io,
          [&, i]() -> asio::awaitable<void> {
            const json body = i;
            const auto reply =
                co_await link.client.Call("echo", body, kLongTimeout);
            if (reply.has_value() && reply.value().body == body) ++answered;
            if (answered == kCalls) done.cancel();
          },
          asio::detached);
    }
    boost::system::error_code ignored;
    co_await done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  });
  CHECK(answered == kCalls);
  CHECK(link.counters->connections_opened == 2);
}

// Guards against a caller that waits forever and against a timeout that closes
// the connection and with it the streams of other messages.
TEST_CASE("A timeout resets only its own stream") {
  std::shared_ptr<asio::steady_timer> gate;
  Link link([&gate](PeerRequest request) -> asio::awaitable<Result<json>> {
    return SlowHandler(gate)(std::move(request));
  });
  gate = std::make_shared<asio::steady_timer>(link.io, TimePoint::max());
  link.Run([&]() -> asio::awaitable<void> {
    const json body = 1;
    const auto late =
        co_await link.client.Call("slow", body, std::chrono::milliseconds(20));
    REQUIRE(late.has_error());
    CHECK(late.error().code == ErrorCode::kOutcomeUnknown);
    const auto other = co_await link.client.Call("fast", body, kLongTimeout);
    CHECK(other.has_value());
    gate->cancel();
  });
  gate.reset();  // before the loop it belongs to
  CHECK(link.counters->connections_opened == 2);
}

// Guards against a stopping server that aborts open requests.
TEST_CASE("A stopping server answers open requests and rejects new ones") {
  std::shared_ptr<asio::steady_timer> gate;
  Link link([&gate](PeerRequest request) -> asio::awaitable<Result<json>> {
    return SlowHandler(gate)(std::move(request));
  });
  gate = std::make_shared<asio::steady_timer>(link.io, TimePoint::max());
  bool was_answered = false;
  link.Run([&]() -> asio::awaitable<void> {
    const json body = 1;
    // Ensures that the connection is open before the slow call starts.
    (void)co_await link.client.Call("fast", body, kLongTimeout);
    asio::co_spawn(
        link.io,
        [&]() -> asio::awaitable<void> {
          const json slow_body = 2;
          const auto reply =
              co_await link.client.Call("slow", slow_body, kLongTimeout);
          was_answered = reply.has_value();
        },
        asio::detached);
    const auto reply = co_await link.client.Call("fast", body, kLongTimeout);
    CHECK(reply.has_value());
    link.server.Stop();
    const auto refused = co_await link.client.Call("fast", body, kLongTimeout);
    REQUIRE(refused.has_error());
    CHECK(refused.error().code == ErrorCode::kUnavailable);
    gate->cancel();
    // Runs the event loop until the response to the slow call has arrived.
    while (!was_answered && link.client.has_pending_calls()) {
      asio::steady_timer poll_timer(link.io, std::chrono::milliseconds(1));
      co_await poll_timer.async_wait(asio::use_awaitable);
    }
  });
  gate.reset();  // before the loop it belongs to
  CHECK(was_answered);
}

TEST_CASE("Calls fail with kUnavailable until a server listens") {
  Link link;
  link.Run([&]() -> asio::awaitable<void> {
    tcp::acceptor closed(link.io, AnyPort());
    const tcp::endpoint endpoint = closed.local_endpoint();
    closed.close();
    PeerClient::Options options;
    options.self = EnvelopeOf("client");
    PeerClient client(link.io.get_executor(), endpoint, options, link.counters);
    const json body = 1;
    // The second call is within the reconnect delay.
    for (int i = 0; i < 2; ++i) {
      const auto reply = co_await client.Call("echo", body, kLongTimeout);
      REQUIRE(reply.has_error());
      CHECK(reply.error().code == ErrorCode::kUnavailable);
    }
    // After the delay the client connects to a new server on the address.
    auto server = PeerServer::Listen(link.io.get_executor(), endpoint,
                                     {.self = EnvelopeOf("again")}, Link::Echo,
                                     link.counters);
    REQUIRE(server.has_value());
    bool has_answer = false;
    while (!has_answer) {
      const auto reply = co_await client.Call("echo", body, kLongTimeout);
      has_answer = reply.has_value();
      asio::steady_timer poll_timer(link.io, std::chrono::milliseconds(5));
      co_await poll_timer.async_wait(asio::use_awaitable);
    }
  });
}

// Guards against reporting a lost response as a message that was not sent. The
// caller would then repeat a request that may have run.
TEST_CASE("A connection lost after sending fails with kOutcomeUnknown") {
  Link link;
  link.Run([&]() -> asio::awaitable<void> {
    tcp::acceptor acceptor(link.io, AnyPort());
    asio::co_spawn(
        link.io,
        [&]() -> asio::awaitable<void> {
          tcp::socket socket =
              co_await acceptor.async_accept(asio::use_awaitable);
          // Connection preface, SETTINGS, WINDOW_UPDATE, HEADERS and part of
          // DATA.
          std::array<char, 100> bytes;
          co_await asio::async_read(socket, asio::buffer(bytes),
                                    asio::use_awaitable);
          socket.close();
        },
        asio::detached);
    PeerClient::Options options;
    options.self = EnvelopeOf("client");
    PeerClient client(link.io.get_executor(), acceptor.local_endpoint(),
                      options, link.counters);
    const json body = std::string(100, 'x');
    const auto reply = co_await client.Call("echo", body, kLongTimeout);
    REQUIRE(reply.has_error());
    CHECK(reply.error().code == ErrorCode::kOutcomeUnknown);
  });
}

TEST_CASE("Invalid HTTP/2 closes only its own connection") {
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
        std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") +
            std::string(100, '\xff')}) {
    Link link;
    link.Run([&]() -> asio::awaitable<void> {
      const json body = 1;
      CHECK(
          (co_await link.client.Call("echo", body, kLongTimeout)).has_value());
      tcp::socket socket(link.io);
      co_await socket.async_connect(link.server.local_endpoint(),
                                    asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(bytes),
                                 asio::use_awaitable);
      std::vector<char> rest(4096);
      boost::system::error_code error;
      while (!error) {  // until the server closes
        co_await socket.async_read_some(
            asio::buffer(rest),
            asio::redirect_error(asio::use_awaitable, error));
      }
      CHECK(
          (co_await link.client.Call("echo", body, kLongTimeout)).has_value());
    });
    CHECK(link.counters->connections_opened == 3);
  }
}

TEST_CASE("Malformed and oversized messages do not close the connection") {
  Link link;
  std::shared_ptr<RawClient> raw;
  link.Run([&]() -> asio::awaitable<void> {
    raw = RawClient::Connect(link);
    const std::vector<std::uint8_t> good = {0x01};
    raw->Send("/v2/echo", "1", "raw", "1", good);
    raw->Send("/v1/", "1", "raw", "1", good);
    raw->Send("/v1/echo", "2", "raw", "1", good);
    raw->Send("/v1/echo", "x", "raw", "1", good);
    raw->Send("/v1/echo", "1", "", "1", good);
    raw->Send("/v1/echo", "1", "raw", "-1", good);
    raw->Send("/v1/echo", "1", "raw", "1", {0xff});
    raw->Send("/v1/echo", "1", "raw", "1", {0x01, 0x02});
    // An array with a declared length of 2^63, and arrays nested 60,000 deep.
    raw->Send("/v1/echo", "1", "raw", "1", {0x9b, 0x80, 0, 0, 0, 0, 0, 0, 0});
    raw->Send("/v1/echo", "1", "raw", "1",
              std::vector<std::uint8_t>(60'000, 0x81));
    raw->Send("/v1/echo", "1", "raw", "1",
              std::vector<std::uint8_t>(kMessageBytes + 1, 0x01));
    constexpr std::size_t kRejectedCount = 11;
    asio::steady_timer done(link.io, TimePoint::max());
    raw->on_message = [&] {
      if (raw->statuses.size() == kRejectedCount) done.cancel();
    };
    boost::system::error_code ignored;
    co_await done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    const json body = 1;
    CHECK((co_await link.client.Call("echo", body, kLongTimeout)).has_value());
    CHECK(raw->is_open());
    raw->Close();
  });
  for (const int status : raw->statuses) CHECK(status == 400);
}

TEST_CASE("The size limit applies to requests and responses") {
  Link link([](PeerRequest request) -> asio::awaitable<Result<json>> {
    const auto size = request.body.get<std::size_t>();
    co_return json(std::string(size, 'x'));
  });
  link.Run([&]() -> asio::awaitable<void> {
    const json request = std::string(kMessageBytes + 1, 'x');
    const auto sent = co_await link.client.Call("x", request, kLongTimeout);
    REQUIRE(sent.has_error());
    CHECK(sent.error().code == ErrorCode::kInvalidArgument);
    const json too_much = kMessageBytes + 1;
    const auto refused = co_await link.client.Call("x", too_much, kLongTimeout);
    REQUIRE(refused.has_error());
    CHECK(refused.error().code == ErrorCode::kInvalidArgument);
    PeerClient::Options options;
    options.self = EnvelopeOf("small");
    options.max_message_bytes = 100;
    PeerClient small(link.io.get_executor(), link.server.local_endpoint(),
                     options, link.counters);
    const json body = 1000;
    const auto received = co_await small.Call("x", body, kLongTimeout);
    REQUIRE(received.has_error());
    CHECK(received.error().code == ErrorCode::kProtocol);
    const json allowed = 60'000;
    CHECK((co_await link.client.Call("x", allowed, kLongTimeout)).has_value());
  });
}

// Guards against headers or frames that increase the cost of small messages.
// The budget of a host is 3 KB a second for all messages.
TEST_CASE("A repeated small message adds at most 60 bytes of overhead") {
  Link link;
  constexpr std::size_t kBodyBytes = 60;
  constexpr std::size_t kOverheadBytes = 60;
  constexpr int kCalls = 100;
  std::uint64_t bytes = 0;
  link.Run([&]() -> asio::awaitable<void> {
    // Two bytes of CBOR head precede the text.
    const json body = std::string(kBodyBytes - 2, 'x');
    (void)co_await link.client.Call("borrow", body, kLongTimeout);
    const std::uint64_t before = link.counters->bytes_sent;
    for (int i = 0; i < kCalls; ++i)
      (void)co_await link.client.Call("borrow", body, kLongTimeout);
    bytes = (link.counters->bytes_sent - before) / kCalls;
  });
  MESSAGE("bytes of one request and response with 60-byte bodies: ", bytes);
  CHECK(bytes <= 2 * kBodyBytes + kOverheadBytes);
}

}  // namespace
}  // namespace dogwood
