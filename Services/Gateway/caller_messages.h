#pragma once

#include <memory>
#include <string>

#include "Libraries/Balancing/balancing.h"
#include "Libraries/Http/http.h"
#include "Services/Gateway/disconnect_signal.h"
#include "Services/Gateway/response_memory.h"
#include "platform/platform.h"

namespace dogwood {

// A request from a caller, with its complete body.
struct CallerRequest {
  const MessageHead& head;
  const std::string& body;
  const platform::CallerHeaders& caller_headers;
  TimePoint arrived_at;
  DisconnectSignal& disconnect_signal;
};

// What a response tells about the run of its request.
enum class ResponseOutcome {
  kServed,   // the response of a backend server, whatever its status
  kNotRun,   // no backend server has run the request
  kUnknown,  // a backend server may have run the request
  kNoRoute,
  kDenied,              // no client account holds the request's key
  kCallerDisconnected,  // the response is not written
};

inline constexpr EnumNames<ResponseOutcome, 6> kResponseOutcomeNames{{{
    {ResponseOutcome::kServed, "served"},
    {ResponseOutcome::kNotRun, "not-run"},
    {ResponseOutcome::kUnknown, "unknown"},
    {ResponseOutcome::kNoRoute, "no-route"},
    {ResponseOutcome::kDenied, "denied"},
    {ResponseOutcome::kCallerDisconnected, "caller-left"},
}}};

// A response to a caller. The head has the status line and the fields except
// Content-Length and Connection.
struct CallerResponse {
  ResponseOutcome outcome = ResponseOutcome::kNotRun;
  unsigned status = 503;
  std::string head;  // without the empty line at its end
  std::string body;
  ResponseMemory::Reservation body_memory;
};

}  // namespace dogwood
