#pragma once

#include <cstdint>

namespace dogwood {

// Totals of all connections of a process. Used on one thread. Bytes are TCP
// payload. Segments, counted by the kernel and added when a connection closes,
// give the bytes of the IP and TCP headers.
struct PeerTrafficCounters {
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
