#include <doctest/doctest.h>

#include "Tests/Services/Entry/entry_fixture.h"

namespace dogwood {
namespace {

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

constexpr std::string_view kPostHead =
    "POST /x HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n";

// Responds to every request and records the request heads.
struct RecordingResponder {
  std::mutex mutex;
  std::vector<std::string> heads;

  FakeBackendServer::Script script() {
    return [this](FakeBackendConnection& connection) {
      while (true) {
        const std::string head = connection.ReadHead();
        if (!head.ends_with("\r\n\r\n")) return;
        {
          const std::lock_guard lock(mutex);
          heads.push_back(head);
        }
        connection.Send(Respond("ok",
                                "Keep-Alive: timeout=5\r\n"
                                "Dogwood-Start-Id: s1\r\n"
                                "Dogwood-In-Work: 3\r\n"));
      }
    };
  }
};

FakeBackendServer::Script RespondWith(std::string bytes) {
  return [bytes = std::move(bytes)](FakeBackendConnection& connection) {
    connection.ReadHead();
    connection.Send(bytes);
  };
}

// Guards against forwarding of hop-by-hop fields, also if a second Connection
// field lists them, and against requests that reach the backend server without
// depth, deadline or id.
TEST_CASE("Hop-by-hop fields are removed both ways, Dogwood fields are set") {
  RecordingResponder responder;
  FakeBackendServer backend(responder.script());
  EntryFixture entry({.ports = {backend.port()}});
  const std::string response = Caller(entry).Exchange(
      "GET",
      "Connection: X-Private\r\nX-Private: 1\r\nTE: trailers\r\nX-Kept: 2\r\n"
      "Dogwood-Depth: 4\r\nDogwood-Deadline-Ms: 60000\r\n");
  CHECK(Contains(response, "HTTP/1.1 200 OK\r\n"));
  CHECK(Contains(response, "Dogwood-Outcome: answered\r\n"));
  CHECK(Contains(response, "Dogwood-Request-Id: "));
  CHECK_FALSE(Contains(response, "Keep-Alive:"));
  CHECK_FALSE(Contains(response, "Dogwood-Start-Id:"));
  CHECK(response.ends_with("\r\n\r\nok"));
  REQUIRE(responder.heads.size() == 1);
  const std::string& head = responder.heads[0];
  CHECK(Contains(head, "X-Kept: 2\r\n"));
  CHECK(Contains(head, "Dogwood-Depth: 5\r\n"));
  CHECK(Contains(head, "Dogwood-Deadline-Ms: "));
  CHECK(Contains(head, "Dogwood-Request-Id: "));
  CHECK_FALSE(Contains(head, "X-Private: 1"));
  CHECK_FALSE(Contains(head, "TE:"));
  const auto reports = entry.dispatcher.reports();
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].result == AttemptReport::Result::kAnswered);
  CHECK(reports[0].status == 200);
  CHECK(reports[0].start_id == "s1");
  CHECK(reports[0].in_work == 3);
}

// Guards against responses to pipelined requests that are lost or out of order,
// and against a new backend connection for each request.
TEST_CASE("Pipelined requests are answered in order over one connection") {
  std::atomic<int> served = 0;
  FakeBackendServer backend([&](FakeBackendConnection& connection) {
    while (connection.ReadHead().ends_with("\r\n\r\n"))
      connection.Send(Respond("n" + std::to_string(++served)));
  });
  EntryFixture entry({.ports = {backend.port()}});
  Caller caller(entry);
  std::string requests;
  for (int i = 0; i < 20; ++i)
    requests += "GET / HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n\r\n";
  caller.Send(requests);
  for (int i = 1; i <= 20; ++i) {
    const std::string number = std::to_string(i);
    CHECK(Contains(caller.ReadHead(), "HTTP/1.1 200 OK"));
    CHECK(caller.ReadBody(number.size() + 1) == "n" + number);
  }
  CHECK(backend.connection_count() == 1);
}

// Guards against request smuggling: a request whose framing two servers could
// interpret differently must not reach a backend server.
TEST_CASE(
    "Ambiguous or malformed framing is refused and closes the connection") {
  RecordingResponder responder;
  FakeBackendServer backend(responder.script());
  EntryFixture entry({.ports = {backend.port()}});
  const auto expect_refused = [&](const std::string& bytes,
                                  std::string_view status) {
    CAPTURE(bytes.substr(0, 200));
    Caller caller(entry);
    caller.Send(bytes);
    const std::string response = caller.ReadAll();
    CHECK(response.starts_with("HTTP/1.1 " + std::string(status)));
    CHECK(Contains(response, "Dogwood-Outcome: not-run\r\n"));
    CHECK(Contains(response, "Connection: close\r\n"));
  };
  const std::string post(kPostHead);
  expect_refused(post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                 "400");
  expect_refused(post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
                 "400");
  expect_refused(post + "Content-Length: 1, 1\r\n\r\na", "400");
  expect_refused(post + "Content-Length: -1\r\n\r\n", "400");
  expect_refused(
      post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "400");
  expect_refused(post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                 "400");
  expect_refused(post + "X: a\rb\r\n\r\n", "400");
  expect_refused(post + "X: a\nY: b\r\n\r\n", "400");
  expect_refused(post + "X: a\r\n folded\r\n\r\n", "400");
  expect_refused(post + "X : a\r\n\r\n", "400");
  expect_refused(
      post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", "400");
  expect_refused(
      post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", "400");
  expect_refused("GET / HTTP/1.1\r\nDogwood-Service: svc\r\n\r\n", "400");
  expect_refused("GET / HTTP/3.7\r\nHost: h\r\n\r\n", "400");
  expect_refused(post + "X: " + std::string(20000, 'a') + "\r\n\r\n", "431");
  CHECK(responder.heads.empty());
}

// Guards against requests that are served despite an invalid header, and
// against refusals without a machine-readable reason.
TEST_CASE("Requests with invalid Dogwood headers are refused as not run") {
  RecordingResponder responder;
  FakeBackendServer backend(responder.script());
  EntryFixture entry({.ports = {backend.port()},
                      .client_accounts = R"("p1":{"agreements":{}})"});
  const std::string p1 = "Dogwood-Party: p1\r\n";
  const auto expect_refused = [&](const std::string& fields,
                                  std::string_view status,
                                  std::string_view reason) {
    CAPTURE(fields);
    const std::string response = Caller(entry).Exchange("POST", fields);
    CHECK(response.starts_with("HTTP/1.1 " + std::string(status)));
    CHECK(Contains(response, "Dogwood-Outcome: not-run\r\n"));
    CHECK(
        Contains(response, "Dogwood-Reason: " + std::string(reason) + "\r\n"));
    CHECK(Contains(response, "\"reason\":\"" + std::string(reason) + "\""));
  };
  expect_refused("", "403", "unknown-party");
  expect_refused("Dogwood-Party: p2\r\n", "403", "unknown-party");
  expect_refused(p1 + "Dogwood-Depth: 11\r\n", "508", "call-depth");
  expect_refused(p1 + "Dogwood-Depth: x\r\n", "400", "bad-depth");
  expect_refused(p1 + "Dogwood-Deadline-Ms: soon\r\n", "400", "bad-deadline");
  expect_refused(p1 + "Dogwood-Deadline-Ms: 0\r\n", "504", "deadline");
  expect_refused(p1 + "Dogwood-Repeatable: maybe\r\n", "400", "bad-repeatable");
  expect_refused(p1 + "Idempotency-Key: short\r\n", "400",
                 "bad-idempotency-key");
  expect_refused(p1 + "Expect: miracles\r\n", "417", "bad-expectation");
  CHECK(responder.heads.empty());
  CHECK(Contains(Caller(entry).Exchange("GET", p1 + "Dogwood-Depth: 10\r\n"),
                 "HTTP/1.1 200 OK"));
}

// Guards against a response to HEAD after which the backend connection is not
// at the start of the next response.
TEST_CASE("A response to HEAD keeps its length and has no body") {
  FakeBackendServer backend([](FakeBackendConnection& connection) {
    connection.ReadHead();
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    connection.ReadHead();
    connection.Send(Respond("next"));
  });
  EntryFixture entry({.ports = {backend.port()}});
  Caller caller(entry);
  caller.Send("HEAD / HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n\r\n");
  CHECK(Contains(caller.ReadHead(), "Content-Length: 5\r\n"));
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n\r\n");
  CHECK(Contains(caller.ReadHead(), "Content-Length: 4\r\n"));
  CHECK(caller.ReadBody(4) == "next");
}

// Guards against bodies that are changed or truncated, and against wrong byte
// counts in the usage record. The bodies exceed the replay buffer, so they are
// forwarded in parts.
TEST_CASE("Chunked request and response bodies are forwarded unchanged") {
  constexpr std::size_t kChunks = 40;
  const std::string chunk(10000, 'u');
  FakeBackendServer backend([&](FakeBackendConnection& connection) {
    const std::string head = connection.ReadHead();
    std::size_t size = 0;
    while (true) {
      const std::size_t length = std::stoul(
          ReadUntil(connection.socket, connection.rest, "\r\n"), nullptr, 16);
      connection.ReadBody(length + 2);
      if (length == 0) break;
      size += length;
    }
    connection.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t i = 0; i < kChunks; ++i)
      connection.Send("2710\r\n" + chunk + "\r\n");
    const std::string last = std::to_string(size);
    connection.Send(std::to_string(last.size()) + "\r\n" + last +
                    "\r\n0\r\n\r\n");
  });
  EntryFixture entry({.ports = {backend.port()}});
  Caller caller(entry);
  caller.Send(std::string(kPostHead) + "Transfer-Encoding: chunked\r\n\r\n");
  for (std::size_t i = 0; i < kChunks; ++i)
    caller.Send("2710\r\n" + chunk + "\r\n");
  caller.Send("0\r\n\r\n");
  CHECK(Contains(caller.ReadHead(), "Transfer-Encoding: chunked\r\n"));
  std::string body;
  while (true) {
    const std::size_t length =
        std::stoul(ReadUntil(caller.socket, caller.rest, "\r\n"), nullptr, 16);
    const std::string part = caller.ReadBody(length + 2);
    if (length == 0) break;
    body += part.substr(0, length);
  }
  CHECK(body.size() == kChunks * chunk.size() + 6);
  CHECK(body.ends_with("u400000"));
  caller.socket.close();
  entry.host->RequestStop();
  entry.Join();
  REQUIRE(entry.usage.records().size() == 1);
  CHECK(entry.usage.records()[0].request_bytes == 400000);
  CHECK(entry.usage.records()[0].response_bytes == 400006);
}

// Guards against a caller that never receives 100 Continue, and against 100
// Continue for a request that is then refused.
TEST_CASE("100 Continue is sent only after a backend server is assigned") {
  FakeBackendServer backend([](FakeBackendConnection& connection) {
    connection.ReadHead();
    connection.Send(Respond(connection.ReadBody(5)));
  });
  EntryFixture entry({.ports = {backend.port()}});
  const std::string expect =
      "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n";
  Caller caller(entry);
  caller.Send(std::string(kPostHead) + expect);
  CHECK(caller.ReadHead() == "HTTP/1.1 100 Continue\r\n\r\n");
  caller.Send("hello");
  CHECK(Contains(caller.ReadHead(), "HTTP/1.1 200 OK"));
  CHECK(caller.ReadBody(5) == "hello");

  Caller refused(entry);
  refused.Send("POST / HTTP/1.1\r\nHost: h\r\nDogwood-Service: none\r\n" +
               expect);
  CHECK(refused.ReadHead().starts_with("HTTP/1.1 404"));
}

// Guards against forwarding a response that may be incomplete or belong to
// another request, and against a retry of a request that may have run.
TEST_CASE("An invalid backend response gives 502 and outcome unknown") {
  const std::string mismatched_id =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
      "Dogwood-Request-Id: other\r\n\r\nok";
  const std::vector<std::string> backend_responses = {
      "",                                                    // nothing
      "HTTP/1.1 200 OK\r\nContent-",                         // truncated head
      "HTTP/1.1 200 OK\r\n\r\nuntil close",                  // no length
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore",  // surplus
      mismatched_id,
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "SSH-2.0-nonsense\r\n\r\n",
  };
  for (const std::string& backend_response : backend_responses) {
    CAPTURE(backend_response);
    FakeBackendServer backend(RespondWith(backend_response));
    EntryFixture entry({.ports = {backend.port()}});
    const std::string response = Caller(entry).Exchange("POST");
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(Contains(response, "Dogwood-Outcome: unknown\r\n"));
    CHECK(backend.connection_count() == 1);
    const auto reports = entry.dispatcher.reports();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].result != AttemptReport::Result::kAnswered);
    CHECK(entry.usage.records().empty());
  }
}

// Guards against a truncated body that looks complete to the caller.
TEST_CASE("A response truncated after its head closes the caller connection") {
  FakeBackendServer truncated_length(
      RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"));
  FakeBackendServer truncated_chunks(RespondWith(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
  for (FakeBackendServer* backend : {&truncated_length, &truncated_chunks}) {
    EntryFixture entry({.ports = {backend->port()}});
    const std::string response = Caller(entry).Exchange("GET");
    CHECK(Contains(response, "HTTP/1.1 200 OK"));
    CHECK_FALSE(Contains(response, "\r\n0\r\n\r\n"));
    CHECK_FALSE(Contains(response, "HTTP/1.1 502"));
    REQUIRE(entry.dispatcher.reports().size() == 1);
    CHECK(entry.dispatcher.reports()[0].result ==
          AttemptReport::Result::kInvalidResponse);
  }
}

// Guards against missing retries after an attempt that did not run, or that may
// be repeated.
TEST_CASE("Requests that did not run or are repeatable are retried") {
  FakeBackendServer closing_server(RespondWith(""));
  FakeBackendServer shedding_server(RespondWith(
      "HTTP/1.1 503 Busy\r\nDogwood-Shed: not-run\r\nContent-Length: 0\r\n"
      "\r\n"));
  RecordingResponder responder;
  FakeBackendServer working_server(responder.script());
  unsigned short closed_port = 0;
  {
    asio::io_context context;
    closed_port =
        tcp::acceptor(context, LoopbackEndpoint()).local_endpoint().port();
  }
  const auto exchange = [&](unsigned short first, std::string_view method,
                            std::string_view fields = "") {
    // Round robin goes by the servers' names, which contain ephemeral ports, so
    // the failing server receives either the first or the second request.
    EntryFixture entry({.ports = {first, working_server.port()}});
    std::string response;
    for (int i = 0; i < 2; ++i) {
      response = Caller(entry).Exchange(method, fields);
      if (entry.dispatcher.reports()[0].result !=
          AttemptReport::Result::kAnswered)
        break;
    }
    return response;
  };
  CHECK(exchange(closing_server.port(), "GET").starts_with("HTTP/1.1 200"));
  CHECK(exchange(closing_server.port(), "POST", "Dogwood-Repeatable: yes\r\n")
            .starts_with("HTTP/1.1 200"));
  CHECK(exchange(closed_port, "POST").starts_with("HTTP/1.1 200"));
  CHECK(exchange(shedding_server.port(), "POST").starts_with("HTTP/1.1 200"));
}

// Guards against an outcome other than not-run for a request that no backend
// server ran.
TEST_CASE("Shed requests and refused connections give 503 and not-run") {
  FakeBackendServer shedding_server(RespondWith(
      "HTTP/1.1 503 Busy\r\nDogwood-Shed: not-run\r\nContent-Length: 0\r\n"
      "\r\n"));
  unsigned short closed_port = 0;
  {
    asio::io_context context;
    closed_port =
        tcp::acceptor(context, LoopbackEndpoint()).local_endpoint().port();
  }
  for (const unsigned short port : {shedding_server.port(), closed_port}) {
    EntryFixture entry({.ports = {port}});
    const std::string response = Caller(entry).Exchange("POST");
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(Contains(response, "Dogwood-Outcome: not-run\r\n"));
    CHECK(Contains(response, "Retry-After: 1\r\n"));
  }
}

// Guards against a backend server that continues to work on a request after its
// caller has disconnected.
TEST_CASE("A caller that disconnects closes the backend connection") {
  std::promise<void> arrived;
  std::promise<bool> closed;
  FakeBackendServer backend([&](FakeBackendConnection& connection) {
    connection.ReadHead();
    arrived.set_value();
    closed.set_value(connection.WaitForClose());
  });
  EntryFixture entry({.ports = {backend.port()}});
  Caller caller(entry);
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n\r\n");
  arrived.get_future().wait();
  caller.socket.close();
  CHECK(closed.get_future().get());
}

// Guards against a deadline that is forwarded, but not enforced.
TEST_CASE("A passed deadline gives 504 and closes the backend connection") {
  std::promise<bool> closed;
  FakeBackendServer backend([&](FakeBackendConnection& connection) {
    connection.ReadHead();
    closed.set_value(connection.WaitForClose());
  });
  EntryFixture entry({.ports = {backend.port()}});
  const std::string response =
      Caller(entry).Exchange("GET", "Dogwood-Deadline-Ms: 50\r\n");
  CHECK(response.starts_with("HTTP/1.1 504"));
  CHECK(Contains(response, "Dogwood-Outcome: unknown\r\n"));
  CHECK(closed.get_future().get());
  REQUIRE(entry.dispatcher.reports().size() == 1);
  CHECK(entry.dispatcher.reports()[0].result ==
        AttemptReport::Result::kCancelled);
}

// Guards against an exchange that hangs, or loses the response, if the backend
// server responds before it has read the whole request body.
TEST_CASE("An early response to an upload reaches the caller") {
  FakeBackendServer backend([](FakeBackendConnection& connection) {
    connection.ReadHead();
    connection.Send(
        "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n"
        "Connection: close\r\n\r\nbig");
    connection.WaitForClose();
  });
  EntryFixture entry({.ports = {backend.port()}});
  Caller caller(entry);
  caller.Send(std::string(kPostHead) + "Content-Length: 100000000\r\n\r\n" +
              std::string(100000, 'x'));
  const std::string response = caller.ReadAll();
  CHECK(response.starts_with("HTTP/1.1 413"));
  CHECK(Contains(response, "Connection: close\r\n"));
  CHECK(response.ends_with("big"));
}

}  // namespace
}  // namespace dogwood
