#include "Services/Gateway/reply_writer.h"

#include <boost/beast/http/status.hpp>

namespace dogwood {
namespace {

void AppendStatusLine(std::string& out, unsigned status) {
  const auto text = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(status));
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  out.append(text.data(), text.size()).append("\r\n");
}

void AppendField(std::string& out, std::string_view name,
                 std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

bool IsFraming(std::string_view name) {
  return EqualsIgnoringCase(name, "content-length") ||
         EqualsIgnoringCase(name, "expect");
}

}  // namespace

std::string WriteServerRequest(const CallerRequest& request, Duration time_left,
                               const ServerId& server) {
  const MessageHead& head = request.head;
  std::string out;
  out.reserve(head.size_bytes() + 256);
  out.append(head.method).append(" ").append(head.target);
  out.append(" HTTP/1.1\r\n");
  for (std::size_t i = 0; i < head.field_count(); ++i) {
    const auto field = head.field(i);
    if (IsFraming(field.name) || head.is_hop_by_hop(field.name) ||
        platform::IsOwnRequestField(field.name)) {
      continue;
    }
    AppendField(out, field.name, field.value);
  }
  platform::AppendRequestFields(out, time_left, server);
  const bool has_body = !request.body.empty() || head.has("content-length") ||
                        head.has("transfer-encoding");
  if (has_body)
    AppendField(out, "Content-Length", std::to_string(request.body.size()));
  out.append("\r\n");
  return out;
}

Reply ServerReply(const MessageHead& answer, std::string body) {
  Reply reply{ReplyOutcome::kServed, answer.status, {}, std::move(body)};
  reply.head.reserve(answer.size_bytes() + 128);
  AppendStatusLine(reply.head, answer.status);
  for (std::size_t i = 0; i < answer.field_count(); ++i) {
    const auto field = answer.field(i);
    if (IsFraming(field.name) || answer.is_hop_by_hop(field.name) ||
        platform::IsOwnAnswerField(field.name)) {
      continue;
    }
    AppendField(reply.head, field.name, field.value);
  }
  return reply;
}

Reply OwnReply(ReplyOutcome outcome, unsigned status, const RequestId& id,
               std::string_view reason, Duration retry_after) {
  Reply reply{outcome, status, {}, std::string(reason) + "\n"};
  AppendStatusLine(reply.head, status);
  AppendField(reply.head, "Content-Type", "text/plain");
  platform::AppendRequestId(reply.head, id);
  if (retry_after > Duration::zero())
    platform::AppendRetryAfter(reply.head, retry_after);
  return reply;
}

}  // namespace dogwood
