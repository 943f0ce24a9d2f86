#include "Services/Entry/message_writer.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

// End-to-end fields that the entry host consumes or writes itself, and so does
// not copy to the forwarded message.
constexpr std::array<std::string_view, 5> kStrippedRequestFields = {
    "content-length", "expect", "dogwood-deadline-ms", "dogwood-depth",
    "dogwood-request-id"};
constexpr std::array<std::string_view, 7> kStrippedResponseFields = {
    "content-length",     "dogwood-outcome",  "dogwood-reason",
    "dogwood-request-id", "dogwood-start-id", "dogwood-in-work",
    "dogwood-shed"};

template <std::size_t kCount>
bool ContainsIgnoringCase(std::string_view name,
                          const std::array<std::string_view, kCount>& names) {
  for (const std::string_view candidate : names) {
    if (EqualsIgnoringCase(name, candidate)) return true;
  }
  return false;
}

void AppendField(std::string& out, std::string_view name,
                 std::string_view value) {
  out.append(name);
  out.append(": ");
  out.append(value);
  out.append("\r\n");
}

void AppendNumberField(std::string& out, std::string_view name,
                       std::uint64_t value) {
  AppendField(out, name, std::to_string(value));
}

template <std::size_t kCount>
void AppendEndToEndFields(
    std::string& out, const MessageHead& head,
    const std::array<std::string_view, kCount>& stripped) {
  for (std::size_t i = 0; i < head.field_count(); ++i) {
    const MessageHead::Field field = head.field(i);
    if (head.is_hop_by_hop(field.name) ||
        ContainsIgnoringCase(field.name, stripped))
      continue;
    AppendField(out, field.name, field.value);
  }
}

void AppendFraming(std::string& out, ForwardedFraming framing) {
  if (framing.framing == BodyFraming::kLength)
    AppendNumberField(out, "Content-Length", framing.length);
  if (framing.framing == BodyFraming::kChunked)
    AppendField(out, "Transfer-Encoding", "chunked");
}

void AppendConnectionField(std::string& out, ConnectionPersistence persistence,
                           int version) {
  if (persistence == ConnectionPersistence::kClose) {
    AppendField(out, "Connection", "close");
  } else if (version < 11) {
    AppendField(out, "Connection", "keep-alive");
  }
}

void AppendStatusLine(std::string& out, unsigned status) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(status));
  out.append("HTTP/1.1 ");
  out.append(std::to_string(status));
  out.push_back(' ');
  out.append(reason.data(), reason.size());
  out.append("\r\n");
}

}  // namespace

void WriteRequestHead(std::string& out, const MessageHead& head,
                      const RequestParameters& parameters,
                      ForwardedFraming framing, Duration remaining) {
  out.clear();
  out.append(head.method);
  out.push_back(' ');
  out.append(head.target);
  out.append(" HTTP/1.1\r\n");
  AppendEndToEndFields(out, head, kStrippedRequestFields);
  AppendField(out, "Dogwood-Request-Id", parameters.attributes.id.value());
  AppendNumberField(out, "Dogwood-Depth", parameters.depth + 1);
  if (parameters.has_deadline) {
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
    AppendNumberField(out, "Dogwood-Deadline-Ms",
                      milliseconds.count() > 0
                          ? static_cast<std::uint64_t>(milliseconds.count())
                          : 0);
  }
  AppendFraming(out, framing);
  out.append("\r\n");
}

void WriteResponseHead(std::string& out, const MessageHead& head,
                       const RequestId& id, ForwardedFraming framing,
                       ConnectionPersistence persistence, int version) {
  out.clear();
  AppendStatusLine(out, head.status);
  AppendEndToEndFields(out, head, kStrippedResponseFields);
  AppendField(out, "Dogwood-Request-Id", id.value());
  AppendField(out, "Dogwood-Outcome", "answered");
  AppendFraming(out, framing);
  AppendConnectionField(out, persistence, version);
  out.append("\r\n");
}

void WriteLocalResponse(std::string& out, const LocalResponse& response,
                        const RequestId& id, ConnectionPersistence persistence,
                        int version, bool is_head_request) {
  using std::chrono::ceil;
  using std::chrono::seconds;
  nlohmann::ordered_json body;
  body["outcome"] = kRequestOutcomeNames.NameOf(response.outcome);
  body["reason"] = response.reason;
  body["message"] = response.message;
  body["request"] = id.value();
  if (response.recorded_status != 0)
    body["recorded_status"] = response.recorded_status;
  const std::string text =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  out.clear();
  AppendStatusLine(out, response.status);
  AppendField(out, "Dogwood-Request-Id", id.value());
  AppendField(out, "Dogwood-Outcome",
              kRequestOutcomeNames.NameOf(response.outcome));
  AppendField(out, "Dogwood-Reason", response.reason);
  if (response.retry_after > Duration::zero()) {
    // Retry-After has a resolution of one second.
    AppendNumberField(out, "Retry-After",
                      static_cast<std::uint64_t>(
                          ceil<seconds>(response.retry_after).count()));
  }
  if (response.recorded_status != 0)
    AppendNumberField(out, "Dogwood-Recorded-Status", response.recorded_status);
  AppendField(out, "Content-Type", "application/json");
  AppendNumberField(out, "Content-Length", text.size());
  AppendConnectionField(out, persistence, version);
  out.append("\r\n");
  if (!is_head_request) out.append(text);
}

}  // namespace dogwood
