#include "Services/Entry/claim_adapter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dogwood {
namespace {

ClaimDecision ToDecision(const ClaimReply& reply) {
  ClaimDecision decision;
  decision.status = reply.status;
  decision.retry_after = reply.retry_after;
  switch (reply.kind) {
    case ClaimReply::Kind::kGranted:
      decision.kind = ClaimDecision::Kind::kGranted;
      break;
    case ClaimReply::Kind::kNotRun:
      decision.kind = ClaimDecision::Kind::kUnavailable;
      break;
    case ClaimReply::Kind::kOutcomeUnknown:
      decision.kind = ClaimDecision::Kind::kOutcomeUnknown;
      break;
    case ClaimReply::Kind::kCompleted:
      decision.kind = ClaimDecision::Kind::kCompleted;
      break;
  }
  return decision;
}

ClaimState ToState(ClaimEnd::Kind kind) {
  switch (kind) {
    case ClaimEnd::Kind::kCompleted:
      return ClaimState::kCompleted;
    case ClaimEnd::Kind::kReleased:
      return ClaimState::kReleased;
    case ClaimEnd::Kind::kUnknown:
      return ClaimState::kUnknown;
  }
  return ClaimState::kUnknown;
}

}  // namespace

boost::asio::awaitable<ClaimDecision> ClaimAdapter::Claim(
    const RequestAttributes& request) {
  VERIFY(request.idempotency_key.has_value());
  const ClaimReply reply = co_await client_.Claim(*request.idempotency_key,
                                                  request.id, request.deadline);
  co_return ToDecision(reply);
}

void ClaimAdapter::Finish(const RequestAttributes& request,
                          const ClaimEnd& end) {
  VERIFY(request.idempotency_key.has_value());
  boost::asio::co_spawn(control_,
                        Report(*request.idempotency_key, request.id, end),
                        boost::asio::detached);
}

boost::asio::awaitable<void> ClaimAdapter::Report(std::string key,
                                                  RequestId request,
                                                  ClaimEnd end) {
  // A report that fails leaves the key as granted, which a resend learns as
  // an unknown outcome.
  const auto reported = co_await client_.Finish(
      std::move(key), std::move(request), ToState(end.kind),
      static_cast<std::uint16_t>(end.status));
  static_cast<void>(reported);
}

}  // namespace dogwood
