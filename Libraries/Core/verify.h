#pragma once

namespace dogwood {

// Prints the broken condition and its place, then aborts the process.
[[noreturn]] void VerificationFailed(const char* condition, const char* file,
                                     int line);

}  // namespace dogwood

// Stops the process when an invariant of our own code is broken, in release
// builds too. Never used on input.
#define VERIFY(condition) \
  ((condition)            \
       ? (void)0          \
       : ::dogwood::VerificationFailed(#condition, __FILE__, __LINE__))
