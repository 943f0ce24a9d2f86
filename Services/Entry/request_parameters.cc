#include "Services/Entry/request_parameters.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "Libraries/Routing/request_fingerprint.h"

namespace dogwood {
namespace {

constexpr std::size_t kMinIdempotencyKeyLength = 16;
constexpr std::size_t kMaxIdempotencyKeyLength = 64;
// One day. Keeps the deadline arithmetic far from overflow.
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}

bool IsRepeatableMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" ||
         method == "PUT" || method == "DELETE";
}

auto FailWithResponse(unsigned status, std::string_view reason,
                      std::string message) {
  return outcome::failure(LocalResponse{
      .status = status, .reason = reason, .message = std::move(message)});
}

}  // namespace

LocalResponse MakeRefusalResponse(const DispatchRefusal& refusal) {
  LocalResponse response{.retry_after = refusal.retry_after};
  const auto set_response = [&](unsigned status, std::string_view reason,
                                std::string_view message) {
    response.status = status;
    response.reason = reason;
    response.message = message;
  };
  switch (refusal.reason) {
    case DispatchRefusal::Reason::kUnknownService:
      set_response(404, "unknown-service", "no service has this name");
      break;
    case DispatchRefusal::Reason::kUnknownClientAccount:
      set_response(403, "unknown-party", "no party has this name");
      break;
    case DispatchRefusal::Reason::kOverCapacity:
      set_response(503, "over-capacity", "the service has no free capacity");
      break;
    case DispatchRefusal::Reason::kDeadlineTooShort:
      set_response(503, "deadline-too-short",
                   "the expected wait is longer than the deadline");
      break;
    case DispatchRefusal::Reason::kNoServer:
      set_response(503, "no-server",
                   "no backend server of the service is in use");
      break;
    case DispatchRefusal::Reason::kStopping:
      set_response(503, "stopping", "this entry host is stopping");
      break;
    case DispatchRefusal::Reason::kCrashSuspect:
      set_response(422, "crash-suspect",
                   "this request crashed backend servers");
      break;
    case DispatchRefusal::Reason::kStoreUnavailable:
      set_response(503, "store-unavailable",
                   "the idempotency key cannot be claimed");
      break;
    case DispatchRefusal::Reason::kNotReady:
      set_response(503, "not-ready",
                   "this entry host has no configuration yet");
      break;
  }
  return response;
}

outcome::result<RequestParameters, LocalResponse, outcome::policy::terminate>
ParseRequestParameters(const MessageHead& head, const FleetConfiguration& fleet,
                       RequestId id, TimePoint arrival) {
  RequestParameters parameters;
  RequestAttributes& attributes = parameters.attributes;
  attributes.id = std::move(id);
  attributes.arrival = arrival;
  attributes.deadline = arrival + RequestParameters::kDefaultPlacementTimeout;

  const std::string_view service = head.FieldValue("Dogwood-Service");
  if (service.empty())
    return FailWithResponse(400, "missing-service",
                            "Dogwood-Service is required");
  attributes.service = ServiceId(std::string(service));
  attributes.client_account =
      ClientAccountId(std::string(head.FieldValue("Dogwood-Party")));
  if (!fleet.client_accounts.empty() &&
      !fleet.client_accounts.contains(attributes.client_account))
    return outcome::failure(MakeRefusalResponse(
        {DispatchRefusal::Reason::kUnknownClientAccount, {}}));

  if (head.has_field("Dogwood-Deadline-Ms")) {
    const auto deadline = ParseNumber(head.FieldValue("Dogwood-Deadline-Ms"));
    if (!deadline || *deadline > kMaxDeadlineMs) {
      return FailWithResponse(400, "bad-deadline",
                              "Dogwood-Deadline-Ms must be a whole number of "
                              "milliseconds, at most a day");
    }
    if (*deadline == 0) {
      return FailWithResponse(504, "deadline", "the deadline has passed");
    }
    parameters.has_deadline = true;
    attributes.deadline = arrival + std::chrono::milliseconds(*deadline);
  }
  if (head.has_field("Dogwood-Depth")) {
    const auto depth = ParseNumber(head.FieldValue("Dogwood-Depth"));
    if (!depth) {
      return FailWithResponse(400, "bad-depth",
                              "Dogwood-Depth must be a whole number");
    }
    if (*depth > RequestParameters::kMaxCallDepth) {
      return FailWithResponse(508, "call-depth",
                              "the call chain is deeper than 10");
    }
    parameters.depth = static_cast<unsigned>(*depth);
  }

  bool is_repeatable = IsRepeatableMethod(head.method);
  if (head.has_field("Dogwood-Repeatable")) {
    const std::string_view text = head.FieldValue("Dogwood-Repeatable");
    if (!EqualsIgnoringCase(text, "yes") && !EqualsIgnoringCase(text, "no")) {
      return FailWithResponse(400, "bad-repeatable",
                              "Dogwood-Repeatable must be yes or no");
    }
    is_repeatable = EqualsIgnoringCase(text, "yes");
  }
  attributes.repeatable = is_repeatable ? Repeatable::kYes : Repeatable::kNo;

  if (head.has_field("Idempotency-Key")) {
    const std::string_view key = head.FieldValue("Idempotency-Key");
    const bool is_visible = std::all_of(
        key.begin(), key.end(), [](char c) { return c > ' ' && c < 0x7F; });
    if (key.size() < kMinIdempotencyKeyLength ||
        key.size() > kMaxIdempotencyKeyLength || !is_visible) {
      return FailWithResponse(
          400, "bad-idempotency-key",
          "Idempotency-Key must have 16 to 64 visible characters");
    }
    attributes.idempotency_key = std::string(key);
  }
  if (head.has_field("Expect")) {
    if (!EqualsIgnoringCase(head.FieldValue("Expect"), "100-continue"))
      return FailWithResponse(417, "bad-expectation",
                              "only 100-continue is understood");
    // HTTP/1.0 has no interim responses.
    parameters.expects_continue = head.version >= 11;
  }
  return parameters;
}

std::uint64_t ComputeFingerprint(const RequestAttributes& attributes,
                                 const MessageHead& head,
                                 std::string_view body) {
  const std::array<std::string_view, 4> identity = {
      attributes.client_account.value(), attributes.service.value(),
      head.method, head.target};
  return ComputeRequestFingerprint(
      identity, attributes.idempotency_key
                    ? std::string_view(*attributes.idempotency_key)
                    : body);
}

}  // namespace dogwood
