// Tests that decisions of a dispatcher reach only the requests that they were
// made for.
#include "Services/Gateway/server_selector.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>

#include "Tests/Services/Gateway/gateway_fixture.h"
#include "Tests/Services/Gateway/scripted_dispatcher.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

constexpr const char* kHostIp = "127.0.0.2";
constexpr const char* kDispatcherIp = "127.0.0.3";
// Holds the slots that the tests want occupied.
constexpr const char* kOtherIp = "127.0.0.4";
const ZoneId kZone("z");

std::unique_ptr<EventLog> MakeLog() {
  EventLog::Options options;
  options.file =
      (std::filesystem::temp_directory_path() / "dogwood-selector.events")
          .string();
  return EventLog::Open(options).value();
}

platform::HostSettings MakeSettings(const std::string& ip) {
  platform::HostSettings settings;
  settings.ip = ip;
  settings.zone = kZone;
  return settings;
}

// One process of an entry host. Keeps the messages that it sends.
struct HostProcess {
  HostProcess(boost::asio::io_context& io, const std::string& ip)
      : context(io, MakeSettings(ip), MakeLog()),
        selector(context, [this](const std::string&, const PeerMessage& sent) {
          // Encoded, as on the wire.
          messages.push_back(
              DecodePeerMessage(EncodePeerMessage(sent)).value());
        }) {
    for (const char* peer : {kHostIp, kDispatcherIp}) {
      if (peer == ip) continue;
      context.peer_table.Merge({peer, kZone, Incarnation(1), {}, false, 100},
                               MonotonicNow());
    }
  }

  // Removes and returns the oldest message.
  template <typename Message>
  Message Take() {
    REQUIRE(!messages.empty());
    REQUIRE(std::holds_alternative<Message>(messages.front()));
    auto message = std::get<Message>(messages.front());
    messages.pop_front();
    return message;
  }

  std::deque<PeerMessage> messages;
  GatewayContext context;
  ServerSelector selector;
};

ServerRegistration MakeServer(const std::string& id, const ServiceId& service) {
  ServerRegistration server;
  server.id = ServerId(id);
  server.service = service;
  server.zone = kZone;
  server.address = "127.0.0.1:1";
  return server;
}

// A dispatcher of two services with one server of one slot each.
struct SelectorFixture {
  SelectorFixture() : dispatcher(io, kDispatcherIp) {
    for (int i = 0; services.size() < 2; ++i) {
      const ServiceId service("s" + std::to_string(i));
      if (dispatcher.context.peer_table.DispatcherFor(
              service, kZone, MonotonicNow()) == kDispatcherIp)
        services.push_back(service);
    }
    dispatcher.context.server_table.Replace(
        {MakeServer("server-0", services[0]),
         MakeServer("server-1", services[1])},
        MonotonicNow());
  }

  SelectionRequest MakeRequest(std::uint64_t number, std::size_t service) {
    SelectionRequest request;
    request.request_number = number;
    request.service = services[service];
    request.typical_service_time = 100ms;
    request.latency_goal = 5s;
    request.latency_goal_time_left = 5s;
    request.time_left = 20s;
    return request;
  }

  // Fills the only slot of the service's server with a request of another host.
  void Occupy(std::size_t service) {
    const std::uint64_t number = service + 1;
    dispatcher.selector.OnSelectionRequest(kOtherIp,
                                           MakeRequest(number, service));
    const auto response = dispatcher.Take<SelectionResponse>();
    REQUIRE(response.admission == AdmissionDecision::kSend);
    grants.push_back({number, response.selection->server});
  }
  // Ends that request.
  void Vacate(std::size_t service) {
    SelectionCompletion completion{grants[service].request_number,
                                   grants[service].server,
                                   AttemptOutcome::kSucceeded};
    dispatcher.selector.OnSelectionCompleted(kOtherIp, completion);
  }

  std::unique_ptr<ServerSelector::PendingSelection> Select(
      HostProcess& process, std::size_t service) {
    const TimePoint now = MonotonicNow();
    DispatchRequest request;
    request.host = kHostIp;
    request.request_number = process.selector.NextRequestNumber();
    request.service = services[service];
    request.typical_service_time = 100ms;
    request.latency_goal = 5s;
    request.latency_goal_at = now + 5s;
    request.deadline = now + 20s;
    auto pending = std::make_unique<ServerSelector::PendingSelection>(
        process.selector, std::move(request));
    boost::asio::co_spawn(io, pending->AwaitDecision(), boost::asio::detached);
    Poll();
    dispatcher.selector.OnSelectionRequest(kHostIp,
                                           process.Take<SelectionRequest>());
    Deliver(process);
    return pending;
  }

  // Delivers the dispatcher's oldest message to a process of the host.
  void Deliver(HostProcess& process) {
    process.selector.OnSelectionResponse(kDispatcherIp,
                                         dispatcher.Take<SelectionResponse>());
    Poll();
  }

  // Runs what is ready. An io_context without work stops.
  void Poll() {
    io.restart();
    io.poll();
  }

  boost::asio::io_context io;
  std::vector<ServiceId> services;
  std::vector<SelectionCompletion> grants;
  HostProcess dispatcher;
};

// Guards against requests that are sent to a server of another service, because
// the dispatcher decides a request of the host's previous process.
TEST_CASE("A restarted host takes no decision made for its predecessor") {
  SelectorFixture fixture;
  fixture.Occupy(0);
  fixture.Occupy(1);
  auto predecessor = std::make_unique<HostProcess>(fixture.io, kHostIp);
  auto lost = fixture.Select(*predecessor, 0);
  predecessor.reset();  // killed: it cancels nothing
  HostProcess successor(fixture.io, kHostIp);
  const auto pending = fixture.Select(successor, 1);
  fixture.Vacate(0);
  fixture.Deliver(successor);
  CHECK_FALSE(pending->decision().has_value());
  // The grant for the predecessor's request is returned.
  fixture.dispatcher.selector.OnSelectionCancelled(
      kHostIp, successor.Take<SelectionCancellation>());
  fixture.dispatcher.selector.OnSelectionRequest(kOtherIp,
                                                 fixture.MakeRequest(9, 0));
  CHECK(fixture.dispatcher.Take<SelectionResponse>().admission ==
        AdmissionDecision::kSend);
  fixture.Vacate(1);
  fixture.Deliver(successor);
  REQUIRE(pending->decision().has_value());
  CHECK(pending->decision()->selection->server ==
        ServerKeyOf(ServerId("server-1")));
}

// Guards against servers that get more requests than slots, because the end of
// a request frees the slot of one of the host's previous process.
TEST_CASE("The end of a request leaves the grants of a predecessor alone") {
  SelectorFixture fixture;
  auto predecessor = std::make_unique<HostProcess>(fixture.io, kHostIp);
  const auto running = fixture.Select(*predecessor, 0);
  REQUIRE(running->decision().has_value());
  predecessor.reset();
  HostProcess successor(fixture.io, kHostIp);
  {
    const auto waiting = fixture.Select(successor, 0);
    CHECK_FALSE(waiting->decision().has_value());
  }
  fixture.dispatcher.selector.OnSelectionCancelled(
      kHostIp, successor.Take<SelectionCancellation>());
  fixture.dispatcher.selector.OnSelectionRequest(kOtherIp,
                                                 fixture.MakeRequest(9, 0));
  CHECK(fixture.dispatcher.Take<SelectionResponse>().admission ==
        AdmissionDecision::kWait);
}

// Guards against requests that are run by a service that their route does not
// name, whatever makes the dispatcher select its server.
TEST_CASE(
    "A server of another service that a dispatcher selects gets nothing") {
  GatewayFixture fixture;
  const auto respond = [](const ReceivedRequest& request) {
    return ScriptedResponse{
        ScriptedBackendServer::OkResponse(request, "answered")};
  };
  ScriptedBackendServer& right = fixture.AddBackend("i-right", respond);
  ScriptedBackendServer& wrong = fixture.AddBackend("i-wrong", respond);
  fixture.store().Put("servers", "i-wrong", wrong.Registration("other", "z"));
  fixture.StartAndWaitUntilReady();
  ScriptedDispatcher dispatcher(fixture.io(), ServiceId("s"),
                                fixture.caller_endpoint().address(),
                                GatewayFixture::kPeerPort);
  for (const bool is_always_wrong : {true, false}) {
    int count = 0;
    dispatcher.set_decide([&](const SelectionRequest&) {
      const bool is_wrong = count++ == 0 || is_always_wrong;
      return ServerKeyOf(ServerId(is_wrong ? "i-wrong" : "i-right"));
    });
    const int decision_count =
        is_always_wrong
            ? static_cast<int>(RequestForwarder::kMaxConnectFailures)
            : 2;
    std::string response;
    std::size_t served_before = 0;
    // The host decides by itself for a while after a stall of the test.
    for (int tries = 0; tries < 5 && count != decision_count; ++tries) {
      fixture.RunFor(ServerSelector::kDispatcherBypassTime + 100ms);
      count = 0;
      served_before = right.received_requests().size();
      response = fixture.SendRequest("POST", "/write/", "id-1", "b");
    }
    REQUIRE(count == decision_count);
    CHECK(response.starts_with(is_always_wrong ? "HTTP/1.1 503 "
                                               : "HTTP/1.1 200 "));
    CHECK(right.received_requests().size() - served_before ==
          (is_always_wrong ? 0U : 1U));
  }
  CHECK(wrong.received_requests().empty());
}

}  // namespace
}  // namespace dogwood
