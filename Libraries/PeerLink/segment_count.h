#pragma once

#include <cstdint>

namespace dogwood {

struct SegmentCount {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

// TCP segments of a socket as the kernel counts them; zero when it does not
// tell.
SegmentCount CountSegments(int socket);

}  // namespace dogwood
