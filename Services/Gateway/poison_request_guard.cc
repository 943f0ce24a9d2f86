#include "Services/Gateway/poison_request_guard.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Services/Gateway/disconnect_signal.h"
#include "Services/Gateway/process_stall.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

PoisonRequestDetector::Outcome ToDetectorOutcome(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kSucceeded:
      return PoisonRequestDetector::Outcome::kSucceeded;
    case AttemptOutcome::kNoResponse:
      return PoisonRequestDetector::Outcome::kLost;
    default:
      return PoisonRequestDetector::Outcome::kOther;
  }
}

}  // namespace

PoisonRequestGuard::TrackedAttempt::TrackedAttempt(
    PoisonRequestGuard& guard, std::uint64_t fingerprint,
    const ServerRegistration& server)
    : guard_(&guard), fingerprint_(fingerprint), server_(server.id) {
  guard_->attempts_.insert(this);
  guard_->detector_.OnStart(server_, fingerprint_, MonotonicNow());
}

PoisonRequestGuard::TrackedAttempt::~TrackedAttempt() {
  if (guard_ != nullptr)
    guard_->OnEnd(*this, PoisonRequestDetector::Outcome::kOther);
}

void PoisonRequestGuard::TrackedAttempt::End(AttemptOutcome outcome) {
  if (guard_ != nullptr) guard_->OnEnd(*this, ToDetectorOutcome(outcome));
}

PoisonRequestGuard::PoisonRequestGuard(GatewayContext& context,
                                       ShareFunction share)
    : context_(context), share_(std::move(share)) {}

PoisonRequestGuard::~PoisonRequestGuard() {
  for (TrackedAttempt* attempt : attempts_) attempt->guard_ = nullptr;
}

void PoisonRequestGuard::OnEnd(TrackedAttempt& attempt,
                               PoisonRequestDetector::Outcome outcome) {
  attempt.guard_ = nullptr;
  attempts_.erase(&attempt);
  Records changes;
  detector_.OnEnd(attempt.server_, attempt.fingerprint_, outcome,
                  MonotonicNow(), changes);
  Share(changes);
  if (outcome != PoisonRequestDetector::Outcome::kLost) return;
  const ServerKey key = ServerKeyOf(attempt.server_);
  if (confirmations_in_flight_.insert(key).second)
    asio::co_spawn(context_.io_context, ConfirmCrash(key), asio::detached);
}

asio::awaitable<bool> PoisonRequestGuard::IsAcceptingConnections(
    const ServerRegistration& server) {
  using asio::experimental::awaitable_operators::operator||;
  const auto endpoint = ParseEndpoint(server.address);
  // Malformed addresses are refused when registrations are decoded.
  if (!endpoint) co_return true;
  asio::ip::tcp::socket socket(context_.io_context);
  const TimePoint timeout_at = MonotonicNow() + kConfirmationTimeout;
  context_.metrics.backend_connections_opened.Add();
  const auto completed =
      co_await (socket.async_connect(endpoint.value(),
                                     asio::as_tuple(asio::use_awaitable)) ||
                WaitUntil(timeout_at));
  if (completed.index() == 0) co_return !std::get<0>(std::get<0>(completed));
  co_return IsProcessStalled(timeout_at, MonotonicNow());
}

asio::awaitable<void> PoisonRequestGuard::ConfirmCrash(ServerKey key) {
  const BackendServerState* server = context_.server_table.Find(key);
  if (server == nullptr) {
    confirmations_in_flight_.erase(key);
    co_return;
  }
  // A copy, because the table may remove the server meanwhile.
  const ServerRegistration registration = server->registration;
  const bool is_accepting = co_await IsAcceptingConnections(registration);
  confirmations_in_flight_.erase(key);
  if (is_accepting) co_return;
  const TimePoint now = MonotonicNow();
  context_.log->Record(EventId::kServerUnusable,
                       {{"server", registration.id.value()},
                        {"reason", "crashed with requests in flight"}});
  context_.server_table.OnUnreachable(key, now);
  Records changes;
  detector_.OnCrash(registration.id, std::to_string(registration.started_at_ms),
                    now, changes);
  Share(changes);
}

void PoisonRequestGuard::Share(const Records& records) {
  if (records.empty()) return;
  const TimePoint now = MonotonicNow();
  for (const SuspectRecord& record : records) {
    context_.log->Record(
        EventId::kRequestSuspected,
        {{"fingerprint", static_cast<std::int64_t>(record.fingerprint)},
         {"is_cleared", record.is_cleared},
         {"is_refused", detector_.is_refused(record.fingerprint, now)}});
  }
  context_.metrics.refused_fingerprints.Set(
      static_cast<std::int64_t>(detector_.RefusedCount(now)));
  share_(records);
}

PoisonRequestGuard::Records PoisonRequestGuard::Merge(const Records& records,
                                                      TimePoint now) {
  Records news;
  for (const SuspectRecord& record : records) {
    if (detector_.Merge(record, now)) news.push_back(record);
  }
  if (!news.empty()) {
    context_.metrics.refused_fingerprints.Set(
        static_cast<std::int64_t>(detector_.RefusedCount(now)));
  }
  return news;
}

}  // namespace dogwood
