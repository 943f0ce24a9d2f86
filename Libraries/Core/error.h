#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <utility>

#include "Libraries/Core/name_table.h"

namespace dogwood {

// What kind of failure an Error describes; callers branch on this, never on the
// text.
enum class ErrorCode {
  kInvalidArgument,  // input that breaks a stated rule
  kNotFound,         // the named thing does not exist
  kConflict,         // a compare-and-set found another version
  kUnavailable,  // a remote part cannot be reached; the operation did not take
                 // effect
  kOutcomeUnknown,    // the operation may or may not have taken effect
  kDeadlineExceeded,  // no answer within the given time
  kProtocol,          // a peer sent bytes that break the protocol
  kIo,                // a local read, write, bind or open failed
  kUnauthorized,      // missing or wrong credentials
  kCancelled,         // the caller gave up
};

inline constexpr NameTable<ErrorCode, 10> kErrorCodeNames{{{
    {ErrorCode::kInvalidArgument, "invalid-argument"},
    {ErrorCode::kNotFound, "not-found"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kOutcomeUnknown, "outcome-unknown"},
    {ErrorCode::kDeadlineExceeded, "deadline-exceeded"},
    {ErrorCode::kProtocol, "protocol"},
    {ErrorCode::kIo, "io"},
    {ErrorCode::kUnauthorized, "unauthorized"},
    {ErrorCode::kCancelled, "cancelled"},
}}};

struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;

  // "code: message", for logs and command lines.
  std::string ToString() const {
    return std::string(kErrorCodeNames.NameOf(code)) + ": " + message;
  }
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// Terminates on access to a missing value: reading the value of a failed Result
// is a broken invariant of the caller.
template <typename T>
using Result = outcome::result<T, Error, outcome::policy::terminate>;

inline auto Fail(ErrorCode code, std::string message) {
  return outcome::failure(Error{code, std::move(message)});
}

}  // namespace dogwood

// Returns the error of a failed Result<void> expression from the enclosing
// function.
#define TRY(expression) BOOST_OUTCOME_TRYV(expression)

// Declares a variable from the value of a Result, or returns its error.
#define TRY_ASSIGN(declaration, expression) \
  BOOST_OUTCOME_TRY(declaration, expression)

// The same two for coroutines.
#define CO_TRY(expression) BOOST_OUTCOME_CO_TRYV(expression)
#define CO_TRY_ASSIGN(declaration, expression) \
  BOOST_OUTCOME_CO_TRY(declaration, expression)
