#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <utility>

#include "Libraries/Core/enum_names.h"

namespace dogwood {

// Category of an Error. Code branches on the category, never on the message.
enum class ErrorCode {
  kInvalidArgument,  // input violates a documented constraint
  kNotFound,         // the named object does not exist
  kConflict,         // a compare-and-set found a different version
  kUnavailable,  // a remote service is unreachable; the operation did not take
                 // effect
  kOutcomeUnknown,    // the operation may or may not have taken effect
  kDeadlineExceeded,  // no response within the given time
  kProtocol,          // a peer sent bytes that violate the protocol
  kIo,                // a local read, write, bind or open failed
  kUnauthorized,      // missing or wrong credentials
  kCancelled,         // the caller cancelled the operation
};

inline constexpr EnumNames<ErrorCode, 10> kErrorCodeNames{{{
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

  // Returns "code: message", for logs and command line tools.
  std::string ToString() const {
    return std::string(kErrorCodeNames.NameOf(code)) + ": " + message;
  }
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// A value or an Error. Reading the value of a failed Result terminates the
// process.
template <typename T>
using Result = outcome::result<T, Error, outcome::policy::terminate>;

// Returns a failed Result of any value type.
inline auto Fail(ErrorCode code, std::string message) {
  return outcome::failure(Error{code, std::move(message)});
}

}  // namespace dogwood

// Returns from the enclosing function with the error if the Result<void>
// expression failed.
#define TRY(expression) BOOST_OUTCOME_TRYV(expression)

// Declares a variable with the value of a Result, or returns its error from the
// enclosing function.
#define TRY_ASSIGN(declaration, expression) \
  BOOST_OUTCOME_TRY(declaration, expression)

// The same macros for coroutines.
#define CO_TRY(expression) BOOST_OUTCOME_CO_TRYV(expression)
#define CO_TRY_ASSIGN(declaration, expression) \
  BOOST_OUTCOME_CO_TRY(declaration, expression)
