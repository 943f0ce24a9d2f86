#include "Services/Entry/claim_adapter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dogwood {
namespace {

ClaimDecision ToClaimDecision(const ClaimResult& result) {
  ClaimDecision decision;
  decision.status = result.status;
  decision.retry_after = result.retry_after;
  switch (result.kind) {
    case ClaimResult::Kind::kGranted:
      decision.kind = ClaimDecision::Kind::kGranted;
      break;
    case ClaimResult::Kind::kNotRun:
      decision.kind = ClaimDecision::Kind::kUnavailable;
      break;
    case ClaimResult::Kind::kOutcomeUnknown:
      decision.kind = ClaimDecision::Kind::kOutcomeUnknown;
      break;
    case ClaimResult::Kind::kCompleted:
      decision.kind = ClaimDecision::Kind::kCompleted;
      break;
  }
  return decision;
}

ClaimState ToClaimState(ClaimEnd::Kind kind) {
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
  const ClaimResult result = co_await client_.Claim(
      *request.idempotency_key, request.id, request.deadline);
  co_return ToClaimDecision(result);
}

void ClaimAdapter::Finish(const RequestAttributes& request,
                          const ClaimEnd& end) {
  VERIFY(request.idempotency_key.has_value());
  boost::asio::co_spawn(control_executor_,
                        ReportEnd(*request.idempotency_key, request.id, end),
                        boost::asio::detached);
}

boost::asio::awaitable<void> ClaimAdapter::ReportEnd(std::string key,
                                                     RequestId request,
                                                     ClaimEnd end) {
  // If the report fails, the key stays granted, and later requests with this
  // key are answered that the outcome is unknown.
  const auto reported = co_await client_.Finish(
      std::move(key), std::move(request), ToClaimState(end.kind),
      static_cast<std::uint16_t>(end.status));
  static_cast<void>(reported);
}

}  // namespace dogwood
