#pragma once

#include <string>
#include <string_view>

#include "Libraries/Http/message_parser.h"
#include "Services/Entry/request_plan.h"

namespace dogwood {

enum class ConnectionUse { kKeepAlive, kClose };

// How the entry host frames a body that it passes on.
struct ForwardedFraming {
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t length = 0;  // with kLength
};

// Replaces `out` by the request head for a backend server. `remaining` is the
// time until the deadline.
void WriteRequestHead(std::string& out, const MessageHead& head,
                      const RequestPlan& plan, ForwardedFraming framing,
                      Duration remaining);

// Replaces `out` by the head of a backend server's response for the caller.
// `version` is the caller's, 10 or 11.
void WriteResponseHead(std::string& out, const MessageHead& head,
                       const RequestId& id, ForwardedFraming framing,
                       ConnectionUse use, int version);

// Replaces `out` by a complete response of the entry host. The body is left out
// in answers to HEAD.
void WriteOwnAnswer(std::string& out, const OwnAnswer& answer,
                    const RequestId& id, ConnectionUse use, int version,
                    bool is_head);

}  // namespace dogwood
