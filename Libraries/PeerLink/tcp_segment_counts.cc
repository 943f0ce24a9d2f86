#include "Libraries/PeerLink/tcp_segment_counts.h"

// Only linux/tcp.h declares the segment counts. It conflicts with
// netinet/tcp.h, which Asio includes, so this file must not include Asio.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace dogwood {

TcpSegmentCounts ReadTcpSegmentCounts(int socket) {
  tcp_info information{};
  socklen_t size = sizeof(information);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &information, &size) != 0)
    return {};
  return {.sent = information.tcpi_segs_out,
          .received = information.tcpi_segs_in};
}

}  // namespace dogwood
