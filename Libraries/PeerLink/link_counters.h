#pragma once

#include <cstdint>

namespace dogwood {

// Totals over all connections of one process, used on one thread. Bytes are TCP
// payload; segments of closed connections as the kernel counted them, so that
// the bytes of IP and TCP headers can be computed.
struct LinkCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;      // requests and responses
  std::uint64_t messages_received = 0;  // requests and responses
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_closed = 0;
  std::uint64_t segments_sent = 0;
  std::uint64_t segments_received = 0;
};

}  // namespace dogwood
