#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "Libraries/Balancing/balancing.h"
#include "Libraries/Http/http.h"
#include "platform/platform.h"

namespace dogwood {

// A request that was read whole from a caller.
struct CallerRequest {
  const MessageHead& head;
  const std::string& body;
  platform::CallerHeaders caller;
  TimePoint arrived_at;
  boost::asio::ip::tcp::socket& socket;  // watched for the caller's leaving
};

enum class ReplyOutcome { kServed, kNotRun, kUnknown, kNoRoute, kCallerLeft };

inline constexpr NameTable<ReplyOutcome, 5> kReplyOutcomeNames{{{
    {ReplyOutcome::kServed, "served"},
    {ReplyOutcome::kNotRun, "not-run"},
    {ReplyOutcome::kUnknown, "unknown"},
    {ReplyOutcome::kNoRoute, "no-route"},
    {ReplyOutcome::kCallerLeft, "caller-left"},
}}};

// What the caller gets: status line, fields without framing, and the body.
struct Reply {
  ReplyOutcome outcome = ReplyOutcome::kNotRun;
  unsigned status = 503;
  std::string head;  // ends with the last field's line break
  std::string body;
};

}  // namespace dogwood
