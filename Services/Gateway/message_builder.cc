#include "Services/Gateway/message_builder.h"

#include <boost/beast/http/status.hpp>

namespace dogwood {
namespace {

// Expected size of the fields that are added to a forwarded message.
constexpr std::size_t kAddedRequestFieldBytes = 256;
constexpr std::size_t kAddedResponseFieldBytes = 128;

void AppendStatusLine(std::string& message, unsigned status) {
  const auto text = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(status));
  message.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  message.append(text.data(), text.size()).append("\r\n");
}

void AppendField(std::string& message, std::string_view name,
                 std::string_view value) {
  message.append(name).append(": ").append(value).append("\r\n");
}

// Whether a field is not forwarded because this host handles it: it responds to
// Expect itself and writes its own Content-Length.
bool IsStrippedField(std::string_view name) {
  return EqualsIgnoringCase(name, "content-length") ||
         EqualsIgnoringCase(name, "expect");
}

}  // namespace

std::string BuildServerRequestHead(const CallerRequest& request,
                                   Duration time_left, const ServerId& server,
                                   bool has_accounts,
                                   const ClientAccount* account) {
  const MessageHead& head = request.head;
  std::string message;
  message.reserve(head.size_bytes() + kAddedRequestFieldBytes);
  message.append(head.method).append(" ").append(head.target);
  message.append(" HTTP/1.1\r\n");
  for (std::size_t i = 0; i < head.field_count(); ++i) {
    const auto field = head.field(i);
    if (IsStrippedField(field.name) || head.is_hop_by_hop(field.name) ||
        platform::IsGatewayRequestHeader(field.name) ||
        (has_accounts && platform::IsAccountHeader(field.name))) {
      continue;
    }
    AppendField(message, field.name, field.value);
  }
  platform::AppendForwardingHeaders(message, time_left, server);
  if (account != nullptr) platform::AppendAccountHeader(message, account->name);
  const bool has_body = !request.body.empty() ||
                        head.has_field("content-length") ||
                        head.has_field("transfer-encoding");
  if (has_body)
    AppendField(message, "Content-Length", std::to_string(request.body.size()));
  message.append("\r\n");
  return message;
}

CallerResponse BuildForwardedResponse(const MessageHead& server_response,
                                      std::string body) {
  CallerResponse response{
      ResponseOutcome::kServed, server_response.status, {}, std::move(body)};
  response.head.reserve(server_response.size_bytes() +
                        kAddedResponseFieldBytes);
  AppendStatusLine(response.head, server_response.status);
  for (std::size_t i = 0; i < server_response.field_count(); ++i) {
    const auto field = server_response.field(i);
    if (IsStrippedField(field.name) ||
        server_response.is_hop_by_hop(field.name) ||
        platform::IsInternalResponseHeader(field.name)) {
      continue;
    }
    AppendField(response.head, field.name, field.value);
  }
  return response;
}

CallerResponse BuildLocalResponse(ResponseOutcome outcome, unsigned status,
                                  const RequestId& id, std::string_view reason,
                                  Duration retry_after) {
  CallerResponse response{outcome, status, {}, std::string(reason) + "\n"};
  AppendStatusLine(response.head, status);
  AppendField(response.head, "Content-Type", "text/plain");
  platform::AppendRequestIdHeader(response.head, id);
  if (retry_after > Duration::zero())
    platform::AppendRetryAfterHeader(response.head, retry_after);
  return response;
}

}  // namespace dogwood
