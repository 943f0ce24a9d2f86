#pragma once

#include <string_view>

#include "Services/Gateway/caller_messages.h"

namespace dogwood {

// Builds the head of a request that is forwarded to a backend server. A body is
// sent with Content-Length, even if the caller sent it in chunks.
// Where the configuration has client accounts, the name of the request's
// account, if it has one, replaces the caller's key and what it said of its
// account.
std::string BuildServerRequestHead(const CallerRequest& request,
                                   Duration time_left, const ServerId& server,
                                   bool has_accounts = false,
                                   const ClientAccount* account = nullptr);

// Builds the response to the caller from a backend server's response.
CallerResponse BuildForwardedResponse(const MessageHead& server_response,
                                      std::string body);

// Builds a response that originates at this host, with `reason` as its text.
// Retry-After is sent if `retry_after` is positive.
CallerResponse BuildLocalResponse(ResponseOutcome outcome, unsigned status,
                                  const RequestId& id, std::string_view reason,
                                  Duration retry_after = {});

}  // namespace dogwood
