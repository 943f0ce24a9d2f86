#include <doctest/doctest.h>

#include "Tests/Services/Entry/entry_fixture.h"

namespace dogwood {
namespace {

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

constexpr std::string_view kPost =
    "POST /x HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n";

// Answers every request on a connection and keeps the last head.
struct AnsweringScript {
  std::mutex mutex;
  std::vector<std::string> heads;

  FakeBackend::Script script() {
    return [this](FakeConnection& connection) {
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

FakeBackend::Script AnswerWith(std::string bytes) {
  return [bytes = std::move(bytes)](FakeConnection& connection) {
    connection.ReadHead();
    connection.Send(bytes);
  };
}

// Guards against connection fields that leak through the relay, also when a
// second Connection field lists them, and against requests whose depth,
// deadline or id the backend server does not learn.
TEST_CASE("Hop-by-hop fields are removed both ways, Dogwood fields are set") {
  AnsweringScript answering;
  FakeBackend backend(answering.script());
  EntryFixture entry({.ports = {backend.port()}});
  const std::string answer = Caller(entry).Exchange(
      "GET",
      "Connection: X-Private\r\nX-Private: 1\r\nTE: trailers\r\nX-Kept: 2\r\n"
      "Dogwood-Depth: 4\r\nDogwood-Deadline-Ms: 60000\r\n");
  CHECK(Has(answer, "HTTP/1.1 200 OK\r\n"));
  CHECK(Has(answer, "Dogwood-Outcome: answered\r\n"));
  CHECK(Has(answer, "Dogwood-Request-Id: "));
  CHECK_FALSE(Has(answer, "Keep-Alive:"));
  CHECK_FALSE(Has(answer, "Dogwood-Start-Id:"));
  CHECK(answer.ends_with("\r\n\r\nok"));
  REQUIRE(answering.heads.size() == 1);
  const std::string& head = answering.heads[0];
  CHECK(Has(head, "X-Kept: 2\r\n"));
  CHECK(Has(head, "Dogwood-Depth: 5\r\n"));
  CHECK(Has(head, "Dogwood-Deadline-Ms: "));
  CHECK(Has(head, "Dogwood-Request-Id: "));
  CHECK_FALSE(Has(head, "X-Private: 1"));
  CHECK_FALSE(Has(head, "TE:"));
  const auto reports = entry.dispatcher.reports();
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].result == AttemptReport::Result::kAnswered);
  CHECK(reports[0].status == 200);
  CHECK(reports[0].start_id == "s1");
  CHECK(reports[0].in_work == 3);
}

// Guards against answers that get out of order or lost when requests are
// pipelined, and against a connection per request.
TEST_CASE("Pipelined requests are answered in order over one connection") {
  std::atomic<int> served = 0;
  FakeBackend backend([&](FakeConnection& connection) {
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
    CHECK(Has(caller.ReadHead(), "HTTP/1.1 200 OK"));
    CHECK(caller.ReadBody(number.size() + 1) == "n" + number);
  }
  CHECK(backend.connection_count() == 1);
}

// Guards against request smuggling: framing that two servers could read in two
// ways must never reach a backend server.
TEST_CASE("Conflicting or malformed framing is refused and closed") {
  AnsweringScript answering;
  FakeBackend backend(answering.script());
  EntryFixture entry({.ports = {backend.port()}});
  const auto refuse = [&](const std::string& bytes, std::string_view status) {
    CAPTURE(bytes.substr(0, 200));
    Caller caller(entry);
    caller.Send(bytes);
    const std::string answer = caller.ReadAll();
    CHECK(answer.starts_with("HTTP/1.1 " + std::string(status)));
    CHECK(Has(answer, "Dogwood-Outcome: not-run\r\n"));
    CHECK(Has(answer, "Connection: close\r\n"));
  };
  const std::string post(kPost);
  refuse(post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400");
  refuse(post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", "400");
  refuse(post + "Content-Length: 1, 1\r\n\r\na", "400");
  refuse(post + "Content-Length: -1\r\n\r\n", "400");
  refuse(post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         "400");
  refuse(post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400");
  refuse(post + "X: a\rb\r\n\r\n", "400");
  refuse(post + "X: a\nY: b\r\n\r\n", "400");
  refuse(post + "X: a\r\n folded\r\n\r\n", "400");
  refuse(post + "X : a\r\n\r\n", "400");
  refuse(post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
         "400");
  refuse(post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n",
         "400");
  refuse("GET / HTTP/1.1\r\nDogwood-Service: svc\r\n\r\n", "400");
  refuse("GET / HTTP/3.7\r\nHost: h\r\n\r\n", "400");
  refuse(post + "X: " + std::string(20000, 'a') + "\r\n\r\n", "431");
  CHECK(answering.heads.empty());
}

// Guards against requests that are served although a header says they must not
// be, or refused without the machine-readable reason.
TEST_CASE("Requests with wrong Dogwood headers are refused as not run") {
  AnsweringScript answering;
  FakeBackend backend(answering.script());
  EntryFixture entry(
      {.ports = {backend.port()}, .parties = R"("p1":{"agreements":{}})"});
  const std::string p1 = "Dogwood-Party: p1\r\n";
  const auto refuse = [&](const std::string& fields, std::string_view status,
                          std::string_view reason) {
    CAPTURE(fields);
    const std::string answer = Caller(entry).Exchange("POST", fields);
    CHECK(answer.starts_with("HTTP/1.1 " + std::string(status)));
    CHECK(Has(answer, "Dogwood-Outcome: not-run\r\n"));
    CHECK(Has(answer, "Dogwood-Reason: " + std::string(reason) + "\r\n"));
    CHECK(Has(answer, "\"reason\":\"" + std::string(reason) + "\""));
  };
  refuse("", "403", "unknown-party");
  refuse("Dogwood-Party: p2\r\n", "403", "unknown-party");
  refuse(p1 + "Dogwood-Depth: 11\r\n", "508", "call-depth");
  refuse(p1 + "Dogwood-Depth: x\r\n", "400", "bad-depth");
  refuse(p1 + "Dogwood-Deadline-Ms: soon\r\n", "400", "bad-deadline");
  refuse(p1 + "Dogwood-Deadline-Ms: 0\r\n", "504", "deadline");
  refuse(p1 + "Dogwood-Repeatable: maybe\r\n", "400", "bad-repeatable");
  refuse(p1 + "Idempotency-Key: short\r\n", "400", "bad-idempotency-key");
  refuse(p1 + "Expect: miracles\r\n", "417", "bad-expectation");
  CHECK(answering.heads.empty());
  CHECK(Has(Caller(entry).Exchange("GET", p1 + "Dogwood-Depth: 10\r\n"),
            "HTTP/1.1 200 OK"));
}

// Guards against an answer to HEAD that leaves the connection out of step.
TEST_CASE("HEAD keeps the length and has no body") {
  FakeBackend backend([](FakeConnection& connection) {
    connection.ReadHead();
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    connection.ReadHead();
    connection.Send(Respond("next"));
  });
  EntryFixture entry({.ports = {backend.port()}});
  Caller caller(entry);
  caller.Send("HEAD / HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n\r\n");
  CHECK(Has(caller.ReadHead(), "Content-Length: 5\r\n"));
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n\r\n");
  CHECK(Has(caller.ReadHead(), "Content-Length: 4\r\n"));
  CHECK(caller.ReadBody(4) == "next");
}

// Guards against bodies that are changed, cut or buffered whole on the way.
TEST_CASE("A chunked upload and a chunked download pass unchanged") {
  constexpr std::size_t kChunks = 40;
  const std::string chunk(10000, 'u');
  FakeBackend backend([&](FakeConnection& connection) {
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
  caller.Send(std::string(kPost) + "Transfer-Encoding: chunked\r\n\r\n");
  for (std::size_t i = 0; i < kChunks; ++i)
    caller.Send("2710\r\n" + chunk + "\r\n");
  caller.Send("0\r\n\r\n");
  CHECK(Has(caller.ReadHead(), "Transfer-Encoding: chunked\r\n"));
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

// Guards against a caller that waits for 100 Continue for ever, and against
// one that is told to send a body that is then refused.
TEST_CASE("100 Continue is sent only after placement") {
  FakeBackend backend([](FakeConnection& connection) {
    connection.ReadHead();
    connection.Send(Respond(connection.ReadBody(5)));
  });
  EntryFixture entry({.ports = {backend.port()}});
  const std::string expect =
      "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n";
  Caller caller(entry);
  caller.Send(std::string(kPost) + expect);
  CHECK(caller.ReadHead() == "HTTP/1.1 100 Continue\r\n\r\n");
  caller.Send("hello");
  CHECK(Has(caller.ReadHead(), "HTTP/1.1 200 OK"));
  CHECK(caller.ReadBody(5) == "hello");

  Caller refused(entry);
  refused.Send("POST / HTTP/1.1\r\nHost: h\r\nDogwood-Service: none\r\n" +
               expect);
  CHECK(refused.ReadHead().starts_with("HTTP/1.1 404"));
}

// Guards against responses that are passed on although they are not, or not
// surely, the complete response to this request.
TEST_CASE("An invalid response gives 502 and outcome unknown") {
  const std::string crossed =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
      "Dogwood-Request-Id: other\r\n\r\nok";
  const std::vector<std::string> responses = {
      "",                                                    // nothing
      "HTTP/1.1 200 OK\r\nContent-",                         // truncated head
      "HTTP/1.1 200 OK\r\n\r\nuntil close",                  // no length
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore",  // surplus
      crossed,
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "SSH-2.0-nonsense\r\n\r\n",
  };
  for (const std::string& response : responses) {
    CAPTURE(response);
    FakeBackend backend(AnswerWith(response));
    EntryFixture entry({.ports = {backend.port()}});
    const std::string answer = Caller(entry).Exchange("POST");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(Has(answer, "Dogwood-Outcome: unknown\r\n"));
    CHECK(backend.connection_count() == 1);
    const auto reports = entry.dispatcher.reports();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].result != AttemptReport::Result::kAnswered);
    CHECK(entry.usage.records().empty());
  }
}

// Guards against a truncated body that the caller could take for complete.
TEST_CASE("A body cut after the head was sent ends the caller's connection") {
  FakeBackend lengths(
      AnswerWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"));
  FakeBackend chunks(AnswerWith(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
  for (FakeBackend* backend : {&lengths, &chunks}) {
    EntryFixture entry({.ports = {backend->port()}});
    const std::string answer = Caller(entry).Exchange("GET");
    CHECK(Has(answer, "HTTP/1.1 200 OK"));
    CHECK_FALSE(Has(answer, "\r\n0\r\n\r\n"));
    CHECK_FALSE(Has(answer, "HTTP/1.1 502"));
    REQUIRE(entry.dispatcher.reports().size() == 1);
    CHECK(entry.dispatcher.reports()[0].result ==
          AttemptReport::Result::kInvalidResponse);
  }
}

// Guards against retries of what may have run, and against missing retries of
// what surely did not.
TEST_CASE("Only what did not run or may repeat is retried") {
  FakeBackend lost(AnswerWith(""));
  FakeBackend shedding(AnswerWith(
      "HTTP/1.1 503 Busy\r\nDogwood-Shed: not-run\r\nContent-Length: 0\r\n"
      "\r\n"));
  AnsweringScript answering;
  FakeBackend good(answering.script());
  unsigned short closed_port = 0;
  {
    asio::io_context context;
    closed_port =
        tcp::acceptor(context, LoopbackPort()).local_endpoint().port();
  }
  const auto exchange = [&](unsigned short first, std::string_view method,
                            std::string_view fields = "") {
    // Round robin goes by name, so `sorted` puts the bad server first.
    EntryFixture entry({.ports = {first, good.port()}});
    std::string answer;
    for (int i = 0; i < 2; ++i) {
      answer = Caller(entry).Exchange(method, fields);
      if (entry.dispatcher.reports()[0].result !=
          AttemptReport::Result::kAnswered)
        break;
    }
    return answer;
  };
  CHECK(exchange(lost.port(), "GET").starts_with("HTTP/1.1 200"));
  CHECK(exchange(lost.port(), "POST", "Dogwood-Repeatable: yes\r\n")
            .starts_with("HTTP/1.1 200"));
  CHECK(exchange(closed_port, "POST").starts_with("HTTP/1.1 200"));
  CHECK(exchange(shedding.port(), "POST").starts_with("HTTP/1.1 200"));
}

// Guards against a false "not run" and against a missing one.
TEST_CASE("Shed and refused connections are not run, lost responses unknown") {
  FakeBackend shedding(AnswerWith(
      "HTTP/1.1 503 Busy\r\nDogwood-Shed: not-run\r\nContent-Length: 0\r\n"
      "\r\n"));
  unsigned short closed_port = 0;
  {
    asio::io_context context;
    closed_port =
        tcp::acceptor(context, LoopbackPort()).local_endpoint().port();
  }
  for (const unsigned short port : {shedding.port(), closed_port}) {
    EntryFixture entry({.ports = {port}});
    const std::string answer = Caller(entry).Exchange("POST");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(Has(answer, "Dogwood-Outcome: not-run\r\n"));
    CHECK(Has(answer, "Retry-After: 1\r\n"));
  }
}

// Guards against work that goes on at a backend server for a caller that left.
TEST_CASE("A caller that leaves closes the backend connection") {
  std::promise<void> arrived;
  std::promise<bool> ended;
  FakeBackend backend([&](FakeConnection& connection) {
    connection.ReadHead();
    arrived.set_value();
    ended.set_value(connection.AwaitsEnd());
  });
  EntryFixture entry({.ports = {backend.port()}});
  Caller caller(entry);
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n\r\n");
  arrived.get_future().wait();
  caller.socket.close();
  CHECK(ended.get_future().get());
}

// Guards against a deadline that is only passed on.
TEST_CASE("A passed deadline gives 504 and closes the backend connection") {
  std::promise<bool> ended;
  FakeBackend backend([&](FakeConnection& connection) {
    connection.ReadHead();
    ended.set_value(connection.AwaitsEnd());
  });
  EntryFixture entry({.ports = {backend.port()}});
  const std::string answer =
      Caller(entry).Exchange("GET", "Dogwood-Deadline-Ms: 50\r\n");
  CHECK(answer.starts_with("HTTP/1.1 504"));
  CHECK(Has(answer, "Dogwood-Outcome: unknown\r\n"));
  CHECK(ended.get_future().get());
  REQUIRE(entry.dispatcher.reports().size() == 1);
  CHECK(entry.dispatcher.reports()[0].result ==
        AttemptReport::Result::kCancelled);
}

// Guards against an upload that hangs or is lost when the backend server
// answers before it has read all.
TEST_CASE("An early response to an upload reaches the caller") {
  FakeBackend backend([](FakeConnection& connection) {
    connection.ReadHead();
    connection.Send(
        "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n"
        "Connection: close\r\n\r\nbig");
    connection.AwaitsEnd();
  });
  EntryFixture entry({.ports = {backend.port()}});
  Caller caller(entry);
  caller.Send(std::string(kPost) + "Content-Length: 100000000\r\n\r\n" +
              std::string(100000, 'x'));
  const std::string answer = caller.ReadAll();
  CHECK(answer.starts_with("HTTP/1.1 413"));
  CHECK(Has(answer, "Connection: close\r\n"));
  CHECK(answer.ends_with("big"));
}

}  // namespace
}  // namespace dogwood
