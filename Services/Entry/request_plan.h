#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Libraries/Http/message_parser.h"
#include "Services/Entry/fleet_view.h"
#include "Services/Entry/request_dispatcher.h"

namespace dogwood {

enum class RequestOutcome { kAnswered, kNotRun, kUnknown };

inline constexpr NameTable<RequestOutcome, 3> kRequestOutcomeNames{{{
    {RequestOutcome::kAnswered, "answered"},
    {RequestOutcome::kNotRun, "not-run"},
    {RequestOutcome::kUnknown, "unknown"},
}}};

// A response that the entry host gives itself.
struct OwnAnswer {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  unsigned status = 503;
  std::string_view reason;       // Dogwood-Reason, a literal
  std::string message;           // for people
  Duration retry_after{};        // zero: no hint
  unsigned recorded_status = 0;  // of a former send of the same key
};

OwnAnswer AnswerOf(const Refusal& refusal);

// What the entry host reads from a caller's request head.
struct RequestPlan {
  // Longest call chain (Dogwood-Depth) that is served.
  static constexpr unsigned kDeepestChain = 10;
  // How long a request without a deadline may wait for placement.
  static constexpr Duration kPlacementLimit = std::chrono::seconds(30);

  RequestAttributes attributes;
  unsigned depth = 0;
  bool has_deadline = false;
  bool expects_continue = false;
};

// Reads and checks the Dogwood headers; fails with the answer for the caller.
outcome::result<RequestPlan, OwnAnswer, outcome::policy::terminate> ReadPlan(
    const MessageHead& head, const FleetConfiguration& fleet, RequestId id,
    TimePoint arrival);

// Hash of what makes two sends the same request: party, service, method, target
// and idempotency key, or the begin of the body without a key.
std::uint64_t FingerprintOf(const RequestAttributes& attributes,
                            const MessageHead& head, std::string_view body);

}  // namespace dogwood
