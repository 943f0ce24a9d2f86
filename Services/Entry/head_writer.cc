#include "Services/Entry/head_writer.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

// Fields that the entry host writes itself or consumes.
constexpr std::array<std::string_view, 5> kOwnRequestFields = {
    "content-length", "expect", "dogwood-deadline-ms", "dogwood-depth",
    "dogwood-request-id"};
constexpr std::array<std::string_view, 7> kOwnResponseFields = {
    "content-length",     "dogwood-outcome",  "dogwood-reason",
    "dogwood-request-id", "dogwood-start-id", "dogwood-in-work",
    "dogwood-shed"};

template <std::size_t kCount>
bool IsOneOf(std::string_view name,
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

void AppendNumber(std::string& out, std::string_view name,
                  std::uint64_t value) {
  AppendField(out, name, std::to_string(value));
}

template <std::size_t kCount>
void AppendEndToEndFields(std::string& out, const MessageHead& head,
                          const std::array<std::string_view, kCount>& own) {
  for (std::size_t i = 0; i < head.field_count(); ++i) {
    const MessageHead::Field field = head.field(i);
    if (head.is_hop_by_hop(field.name) || IsOneOf(field.name, own)) continue;
    AppendField(out, field.name, field.value);
  }
}

void AppendFraming(std::string& out, ForwardedFraming framing) {
  if (framing.framing == BodyFraming::kLength)
    AppendNumber(out, "Content-Length", framing.length);
  if (framing.framing == BodyFraming::kChunked)
    AppendField(out, "Transfer-Encoding", "chunked");
}

void AppendConnectionUse(std::string& out, ConnectionUse use, int version) {
  if (use == ConnectionUse::kClose) {
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
                      const RequestPlan& plan, ForwardedFraming framing,
                      Duration remaining) {
  out.clear();
  out.append(head.method);
  out.push_back(' ');
  out.append(head.target);
  out.append(" HTTP/1.1\r\n");
  AppendEndToEndFields(out, head, kOwnRequestFields);
  AppendField(out, "Dogwood-Request-Id", plan.attributes.id.value());
  AppendNumber(out, "Dogwood-Depth", plan.depth + 1);
  if (plan.has_deadline) {
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
    AppendNumber(out, "Dogwood-Deadline-Ms",
                 milliseconds.count() > 0
                     ? static_cast<std::uint64_t>(milliseconds.count())
                     : 0);
  }
  AppendFraming(out, framing);
  out.append("\r\n");
}

void WriteResponseHead(std::string& out, const MessageHead& head,
                       const RequestId& id, ForwardedFraming framing,
                       ConnectionUse use, int version) {
  out.clear();
  AppendStatusLine(out, head.status);
  AppendEndToEndFields(out, head, kOwnResponseFields);
  AppendField(out, "Dogwood-Request-Id", id.value());
  AppendField(out, "Dogwood-Outcome", "answered");
  AppendFraming(out, framing);
  AppendConnectionUse(out, use, version);
  out.append("\r\n");
}

void WriteOwnAnswer(std::string& out, const OwnAnswer& answer,
                    const RequestId& id, ConnectionUse use, int version,
                    bool is_head) {
  using std::chrono::ceil;
  using std::chrono::seconds;
  nlohmann::ordered_json body;
  body["outcome"] = kRequestOutcomeNames.NameOf(answer.outcome);
  body["reason"] = answer.reason;
  body["message"] = answer.message;
  body["request"] = id.value();
  if (answer.recorded_status != 0)
    body["recorded_status"] = answer.recorded_status;
  const std::string text =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  out.clear();
  AppendStatusLine(out, answer.status);
  AppendField(out, "Dogwood-Request-Id", id.value());
  AppendField(out, "Dogwood-Outcome",
              kRequestOutcomeNames.NameOf(answer.outcome));
  AppendField(out, "Dogwood-Reason", answer.reason);
  if (answer.retry_after > Duration::zero()) {
    // The field counts whole seconds.
    AppendNumber(
        out, "Retry-After",
        static_cast<std::uint64_t>(ceil<seconds>(answer.retry_after).count()));
  }
  if (answer.recorded_status != 0)
    AppendNumber(out, "Dogwood-Recorded-Status", answer.recorded_status);
  AppendField(out, "Content-Type", "application/json");
  AppendNumber(out, "Content-Length", text.size());
  AppendConnectionUse(out, use, version);
  out.append("\r\n");
  if (!is_head) out.append(text);
}

}  // namespace dogwood
