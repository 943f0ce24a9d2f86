#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Libraries/Http/message_parser.h"
#include "Services/Entry/fleet_configuration_holder.h"
#include "Services/Entry/request_dispatcher.h"

namespace dogwood {

enum class RequestOutcome { kAnswered, kNotRun, kUnknown };

inline constexpr EnumNames<RequestOutcome, 3> kRequestOutcomeNames{{{
    {RequestOutcome::kAnswered, "answered"},
    {RequestOutcome::kNotRun, "not-run"},
    {RequestOutcome::kUnknown, "unknown"},
}}};

// A response that the entry host generates itself instead of forwarding one of
// a backend server.
struct LocalResponse {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  unsigned status = 503;
  std::string_view reason;       // Dogwood-Reason, a string literal
  std::string message;           // human-readable
  Duration retry_after{};        // zero: no Retry-After header
  unsigned recorded_status = 0;  // of an earlier request with the key
};

// Returns the error response for a request that the dispatcher refused.
LocalResponse MakeRefusalResponse(const DispatchRefusal& refusal);

// Parameters of a request, parsed from its head.
struct RequestParameters {
  // Requests with a larger Dogwood-Depth are refused.
  static constexpr unsigned kMaxCallDepth = 10;
  // Limits the wait for a backend server if the request has no deadline.
  static constexpr Duration kDefaultPlacementTimeout = std::chrono::seconds(30);

  RequestAttributes attributes;
  unsigned depth = 0;
  bool has_deadline = false;
  bool expects_continue = false;
};

// Parses and validates the headers that control dispatch. Fails with the error
// response for the caller.
outcome::result<RequestParameters, LocalResponse, outcome::policy::terminate>
ParseRequestParameters(const MessageHead& head, const FleetConfiguration& fleet,
                       RequestId id, TimePoint arrival);

// Returns a hash that is the same for resends of a request. It covers client
// account, service, method, target and idempotency key, or the start of the
// body if there is no key.
std::uint64_t ComputeFingerprint(const RequestAttributes& attributes,
                                 const MessageHead& head,
                                 std::string_view body);

}  // namespace dogwood
