#pragma once

#include <string_view>

#include "Services/Gateway/caller_request.h"

namespace dogwood {

// Request head for a backend server. The body, if any, follows with its length.
std::string WriteServerRequest(const CallerRequest& request, Duration time_left,
                               const ServerId& server);

// A backend server's answer for the caller; takes the body.
Reply ServerReply(const MessageHead& answer, std::string body);

// Answers of this host. `retry_after` is told where it is above zero.
Reply OwnReply(ReplyOutcome outcome, unsigned status, const RequestId& id,
               std::string_view reason, Duration retry_after = {});

}  // namespace dogwood
