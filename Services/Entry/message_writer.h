#pragma once

#include <string>
#include <string_view>

#include "Libraries/Http/message_parser.h"
#include "Services/Entry/request_parameters.h"

namespace dogwood {

// Whether the caller's connection stays open after a response.
enum class ConnectionPersistence { kKeepAlive, kClose };

// Framing of a forwarded message body.
struct ForwardedFraming {
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t length = 0;  // with kLength
};

// Writes the head of a forwarded request to `out`, which it clears first.
// `remaining` is the time until the deadline.
void WriteRequestHead(std::string& out, const MessageHead& head,
                      const RequestParameters& parameters,
                      ForwardedFraming framing, Duration remaining);

// Writes the head of a forwarded response to `out`, which it clears first.
// `version` is the caller's HTTP version, 10 or 11.
void WriteResponseHead(std::string& out, const MessageHead& head,
                       const RequestId& id, ForwardedFraming framing,
                       ConnectionPersistence persistence, int version);

// Writes a locally generated response to `out`, which it clears first.
// Responses to HEAD have no body.
void WriteLocalResponse(std::string& out, const LocalResponse& response,
                        const RequestId& id, ConnectionPersistence persistence,
                        int version, bool is_head_request);

}  // namespace dogwood
