#include "Libraries/Core/verify.h"

#include <cstdio>
#include <cstdlib>

namespace dogwood {

void VerificationFailed(const char* condition, const char* file, int line) {
  std::fprintf(stderr, "%s:%d: broken invariant: %s\n", file, line, condition);
  std::abort();
}

}  // namespace dogwood
