#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <cstdio>
#include <fstream>
#include <future>

#include "Services/Entry/command_line.h"
#include "Tests/Services/Entry/entry_fixture.h"

namespace dogwood {
namespace {

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// Guards against a shutdown that aborts a slow upload, accepts new requests or
// never ends.
TEST_CASE("A graceful stop finishes a slow upload and refuses new work") {
  std::promise<void> request_arrived;
  FakeBackendServer backend([&](FakeBackendConnection& connection) {
    // A request sent before the stop takes effect may also arrive.
    if (!connection.ReadHead().starts_with("PUT")) return;
    connection.ReadBody(100000);
    request_arrived.set_value();
    connection.Send(
        Respond(std::to_string(connection.ReadBody(100000).size())));
  });
  EntryFixture entry({.ports = {backend.port()}});
  Caller idle(entry);
  Caller upload(entry);
  upload.Send(
      "PUT /x HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n"
      "Content-Length: 200000\r\n\r\n" +
      std::string(150000, 'x'));
  request_arrived.get_future().wait();
  entry.host->RequestStop();
  std::string refused;
  // The stop takes effect asynchronously, on the control thread.
  while (!Contains(refused, "Dogwood-Reason: stopping"))
    refused = Caller(entry).Exchange("GET", "Dogwood-Deadline-Ms: 20\r\n");
  CHECK(Contains(refused, "Dogwood-Outcome: not-run\r\n"));
  CHECK(Contains(refused, "Retry-After: 1\r\n"));
  CHECK(Contains(idle.Exchange("GET"), "Dogwood-Reason: stopping"));
  upload.Send(std::string(50000, 'x'));
  const std::string answer = upload.ReadAll();
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("100000"));
  entry.Join();
  CHECK(entry.host->aborted_request_count() == 0);
  CHECK(entry.host->phase() == HostPhase::kStopped);
}

// Guards against a stop that never ends or does not count aborted requests.
TEST_CASE("A forced stop aborts requests in flight and counts them") {
  for (const bool is_by_deadline : {false, true}) {
    std::promise<void> request_arrived;
    FakeBackendServer backend([&](FakeBackendConnection& connection) {
      connection.ReadHead();
      request_arrived.set_value();
      connection.WaitForClose();
    });
    EntryFixture entry({.ports = {backend.port()},
                        .stop_deadline = is_by_deadline
                                             ? std::chrono::milliseconds(50)
                                             : std::chrono::seconds(300)});
    Caller caller(entry);
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n\r\n");
    request_arrived.get_future().wait();
    entry.host->RequestStop();
    if (!is_by_deadline) entry.host->RequestStop();
    entry.Join();
    CHECK(entry.host->aborted_request_count() == 1);
  }
}

class ScriptedClaims : public ClaimService {
 public:
  asio::awaitable<ClaimDecision> Claim(
      const RequestAttributes& /*request*/) override {
    ++claimed;
    co_return decision;
  }
  void Finish(const RequestAttributes& /*request*/,
              const ClaimEnd& end) override {
    ends.push_back(end);
  }

  ClaimDecision decision;
  std::atomic<int> claimed = 0;
  std::vector<ClaimEnd> ends;
};

// Guards against dispatch without a granted claim, and against claims that are
// never finished or finished with the wrong outcome.
TEST_CASE("A key is claimed before dispatch and finished exactly once") {
  ScriptedClaims claims;
  std::atomic<int> runs = 0;
  FakeBackendServer backend([&](FakeBackendConnection& connection) {
    while (connection.ReadHead().ends_with("\r\n\r\n")) {
      // Closes the second connection without a response.
      if (++runs == 2) return;
      connection.Send(Respond("ok"));
    }
  });
  EntryFixture entry({.ports = {backend.port()}, .claims = &claims});
  const std::string key = "Idempotency-Key: 0123456789abcdef\r\n";
  using Kind = ClaimDecision::Kind;

  claims.decision = {.kind = Kind::kUnavailable,
                     .retry_after = std::chrono::milliseconds(1500)};
  std::string answer = Caller(entry).Exchange("POST", key);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Contains(answer, "Dogwood-Reason: store-unavailable\r\n"));
  CHECK(Contains(answer, "Retry-After: 2\r\n"));
  claims.decision = {.kind = Kind::kOutcomeUnknown};
  CHECK(Contains(Caller(entry).Exchange("POST", key),
                 "Dogwood-Outcome: unknown"));
  claims.decision = {.kind = Kind::kCompleted, .status = 201};
  answer = Caller(entry).Exchange("POST", key);
  CHECK(answer.starts_with("HTTP/1.1 409"));
  CHECK(Contains(answer, "\"recorded_status\":201"));
  CHECK(runs == 0);
  CHECK(claims.ends.empty());

  claims.decision = {.kind = Kind::kGranted};
  CHECK(Caller(entry).Exchange("POST", key).starts_with("HTTP/1.1 200"));
  CHECK(Caller(entry).Exchange("POST", key).starts_with("HTTP/1.1 502"));
  REQUIRE(claims.ends.size() == 2);
  CHECK(claims.ends[0].kind == ClaimEnd::Kind::kCompleted);
  CHECK(claims.ends[0].status == 200);
  CHECK(claims.ends[1].kind == ClaimEnd::Kind::kUnknown);
  CHECK(claims.claimed == 5);
  // Repeatable requests and requests without a key need no claim.
  Caller(entry).Exchange("GET", key);
  Caller(entry).Exchange("POST");
  CHECK(claims.claimed == 5);
}

// Guards against more connections than the backend server's limit, and against
// requests that wait forever for a connection.
TEST_CASE("Connections stay within the limit and waiting requests reuse them") {
  FakeBackendServer backend([](FakeBackendConnection& connection) {
    while (connection.ReadHead().ends_with("\r\n\r\n"))
      connection.Send(Respond("ok"));
  });
  EntryFixture entry({.ports = {backend.port()}, .workers = 2});
  entry.host->pool().set_live_hosts(1000);
  CHECK(entry.host->pool().cap() == 1);
  std::vector<std::unique_ptr<Caller>> callers;
  for (int round = 0; round < 5; ++round) {
    for (int i = 0; i < 6; ++i) {
      if (round == 0) callers.push_back(std::make_unique<Caller>(entry));
      callers[i]->Send(
          "GET / HTTP/1.1\r\nHost: h\r\nDogwood-Service: svc\r\n\r\n");
    }
    for (const auto& caller : callers) {
      CHECK(caller->ReadHead().starts_with("HTTP/1.1 200"));
      CHECK(caller->ReadBody(2) == "ok");
    }
  }
  DispatchGrant grant{.server = ServerId("s" + std::to_string(backend.port())),
                      .endpoint = LoopbackEndpoint(backend.port())};
  CHECK(entry.host->pool().open_connections(grant) == 1);
}

// Guards against unauthenticated access to operator data.
TEST_CASE("The operator listener rejects requests without the token") {
  const std::string file =
      "/tmp/dogwood_entry_test_token_" + std::to_string(::getpid());
  std::ofstream(file) << "secret\n";
  EntryFixture entry({.token_file = file});
  std::remove(file.c_str());
  const auto fetch = [&](const std::string& path,
                         const std::string& header_lines) {
    Caller caller(entry.host->operators().local_endpoint());
    caller.Send("GET " + path +
                " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + header_lines +
                "\r\n");
    return caller.ReadAll();
  };
  const std::string token = "Authorization: Bearer secret\r\n";
  CHECK(fetch("/metrics", "").starts_with("HTTP/1.1 401"));
  CHECK(fetch("/metrics", "Authorization: Bearer secres\r\n")
            .starts_with("HTTP/1.1 401"));
  CHECK(fetch("/metrics", "Authorization: Bearer \r\n")
            .starts_with("HTTP/1.1 401"));
  CHECK(Contains(fetch("/metrics", token), "dogwood_requests_total"));
  CHECK(Contains(fetch("/v1/status", token), "\"phase\":\"serving\""));
  CHECK(fetch("/v1/none", token).starts_with("HTTP/1.1 404"));
}

// Guards against misspelled settings that are silently ignored.
TEST_CASE("Invalid process settings are rejected with the offending path") {
  const auto message = [](std::string_view json) {
    const auto settings = EntrySettings::Parse(json);
    return settings ? std::string() : settings.error().message;
  };
  const std::string valid_members =
      R"("host":"h","zone":"z","listen":{"callers":"127.0.0.1:1"})";
  CHECK(message("{" + valid_members + "}").empty());
  CHECK(message("{" + valid_members +
                R"(,"placement_policy":"random","workers":4})")
            .empty());
  CHECK(message("[]") == "settings: expected a JSON object");
  CHECK(message(R"({"zone":"z"})") == "host: is required");
  CHECK(message("{" + valid_members + R"(,"workers":0})")
            .starts_with("workers: "));
  CHECK(message("{" + valid_members + R"(,"worker":1})") ==
        "worker: is not a known setting");
  CHECK(message("{" + valid_members + R"(,"placement_policy":"best"})")
            .starts_with("placement_policy: "));
  CHECK(message(R"({"host":"h","zone":"z","listen":{"callers":"x:1"}})")
            .starts_with("listen.callers: "));
}

// Guards against command lines that are silently misread.
TEST_CASE("An invalid command line is rejected") {
  const auto parse = [](std::vector<std::string> words) {
    words.insert(words.begin(), "dogwood-entry");
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    return CommandLine::Parse(static_cast<int>(words.size()), arguments.data());
  };
  CHECK(parse({"--config", "f"}).value().configuration_file == "f");
  CHECK(parse({"--check-config", "--config", "f"}).value().action ==
        CommandLine::Action::kCheckConfiguration);
  CHECK(parse({"--help"}).value().action == CommandLine::Action::kShowHelp);
  CHECK_FALSE(parse({}).has_value());
  CHECK_FALSE(parse({"--config"}).has_value());
  CHECK_FALSE(parse({"--nonsense"}).has_value());
  CHECK_FALSE(parse({"--config", "f", "more"}).has_value());
}

}  // namespace
}  // namespace dogwood
