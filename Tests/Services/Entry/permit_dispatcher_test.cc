#include "Services/Entry/permit_dispatcher.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

// Simulates the only other host. Sends messages by calling the dispatcher's
// handlers and answers none.
class FakePeer : public PeerChannel {
 public:
  std::vector<Member> members() const override {
    Member member;
    member.host = HostId("b");
    return {member};
  }
  void AddMemberListener(MemberListener) override {}
  TimePoint last_acknowledged_send_time() const override {
    return MonotonicNow();
  }
  void Handle(std::string kind, Handler handler) override {
    handlers_[std::move(kind)] = std::move(handler);
  }
  asio::awaitable<Result<Json>> Call(HostId, std::string, Json,
                                     Duration) override {
    co_return Fail(ErrorCode::kUnavailable, "the peer does not answer");
  }
  void Broadcast(std::string, Json) override {}
  void AddPiggyback(std::string, PiggybackSource, PiggybackSink) override {}

  // Starts the handler of a message and sets `answer` when it has replied.
  void Send(asio::io_context& context, const std::string& kind, Json body,
            std::optional<Json>& answer) {
    asio::co_spawn(context,
                   RunHandler(handlers_.at(kind), std::move(body), answer),
                   asio::detached);
  }

 private:
  static asio::awaitable<void> RunHandler(Handler handler, Json body,
                                          std::optional<Json>& answer) {
    HostId from("b");
    const Result<Json> result =
        co_await handler(std::move(from), std::move(body));
    answer = result.has_value() ? result.value() : Json();
  }

  std::map<std::string, Handler> handlers_;
};

FleetConfiguration MakeOneServerFleet() {
  auto fleet = FleetConfiguration::Parse(
      R"({"services": {"s": {"servers": {"s-1":
            {"address": "127.0.0.1:9", "zone": "z", "slots": 2}}}},
          "zones": {"z": {}}})");
  VERIFY(fleet.has_value());
  return std::move(fleet).value();
}

Json BorrowMessage(int id) {
  return {{"service", "s"}, {"borrow", id}, {"age_us", 0}};
}

// A host that owns one permit of a server with two slots and holds it for a
// request.
class LendingHost {
 public:
  LendingHost() {
    const Result<void> applied = dispatcher.Apply(MakeOneServerFleet());
    VERIFY(applied.has_value());
    dispatcher.Start();
    // Permits become usable after the takeover delay.
    while (!grant.has_value()) TryAcquire();
  }
  ~LendingHost() {
    dispatcher.Stop();
    context.restart();
    context.poll();
  }

  void TryAcquire() {
    RequestAttributes request;
    request.service = ServiceId("s");
    request.arrival = MonotonicNow();
    request.deadline = request.arrival + std::chrono::milliseconds(100);
    has_acquire_ended = false;
    asio::co_spawn(context, Acquire(std::move(request)), asio::detached);
    while (!has_acquire_ended) context.run_one();
  }

  asio::awaitable<void> Acquire(RequestAttributes request) {
    ServerId none;
    const auto decision = co_await dispatcher.Acquire(request, none);
    if (decision.has_value()) grant = decision.value();
    has_acquire_ended = true;
  }

  AttemptReport MakeAnsweredReport() const {
    AttemptReport report;
    report.result = AttemptReport::Result::kAnswered;
    return report;
  }

  void RunUntilAnswered(const std::optional<Json>& answer) {
    while (!answer.has_value()) context.run_one();
  }

  PermitDispatcher::Options MakeOptions() const {
    PermitDispatcher::Options options;
    options.host = HostId("a");
    options.incarnation = Incarnation(1);
    options.router.permit_takeover_delay = std::chrono::milliseconds(50);
    options.router.grant_validity = std::chrono::milliseconds(40);
    return options;
  }

  asio::io_context context{1};
  FakePeer peer;
  std::unique_ptr<EventLog> log =
      std::move(EventLog::Open({.file = "/dev/null"}).value());
  MetricsRegistry metrics;
  PermitDispatcher dispatcher{MakeOptions(), context.get_executor(), &peer,
                              *log, metrics};
  std::optional<DispatchGrant> grant;
  bool has_acquire_ended = false;
};

RequestAttributes MakeRequest() {
  RequestAttributes request;
  request.service = ServiceId("s");
  return request;
}

// Guards against a borrower that treats its own cancellation as a refusal and
// then sends no more borrow requests to this host.
TEST_CASE(
    "A queued borrow request that is cancelled is answered as cancelled") {
  LendingHost lending_host;
  std::optional<Json> borrow;
  std::optional<Json> cancellation;
  lending_host.peer.Send(lending_host.context, "borrow", BorrowMessage(5),
                         borrow);
  lending_host.peer.Send(lending_host.context, "borrow-cancel",
                         BorrowMessage(5), cancellation);
  lending_host.RunUntilAnswered(borrow);
  CHECK(borrow->value("lent", true) == false);
  CHECK(borrow->value("cancelled", false) == true);
  lending_host.dispatcher.Complete(MakeRequest(), *lending_host.grant,
                                   lending_host.MakeAnsweredReport());
}

// Guards against the loss of a permit whose loan is in transit to the borrower
// when the borrower's cancellation arrives.
TEST_CASE(
    "A permit lent before the cancellation arrives reaches the borrower") {
  LendingHost lending_host;
  std::optional<Json> borrow;
  std::optional<Json> cancellation;
  lending_host.peer.Send(lending_host.context, "borrow", BorrowMessage(5),
                         borrow);
  asio::post(lending_host.context, [&] {
    lending_host.dispatcher.Complete(MakeRequest(), *lending_host.grant,
                                     lending_host.MakeAnsweredReport());
    lending_host.peer.Send(lending_host.context, "borrow-cancel",
                           BorrowMessage(5), cancellation);
  });
  lending_host.RunUntilAnswered(borrow);
  CHECK(borrow->value("lent", false) == true);
  CHECK(borrow->value("server", "") == "s-1");
}

}  // namespace
}  // namespace dogwood
