#pragma once

#include <cstdint>

namespace dogwood {

struct TcpSegmentCounts {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

// Reads the kernel's segment counts of a TCP socket; zero if they are not
// available.
TcpSegmentCounts ReadTcpSegmentCounts(int socket);

}  // namespace dogwood
