#pragma once

namespace dogwood {

// Prints the violated condition and its location, then aborts the process.
[[noreturn]] void VerificationFailed(const char* condition, const char* file,
                                     int line);

}  // namespace dogwood

// Aborts the process if an internal invariant is violated, also in release
// builds. Not for the validation of input.
#define VERIFY(condition) \
  ((condition)            \
       ? (void)0          \
       : ::dogwood::VerificationFailed(#condition, __FILE__, __LINE__))
