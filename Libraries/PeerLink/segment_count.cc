#include "Libraries/PeerLink/segment_count.h"

// linux/tcp.h has the segment counts, which netinet/tcp.h lacks. The two cannot
// be included together and Asio includes the latter, hence a file of its own.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace dogwood {

SegmentCount CountSegments(int socket) {
  tcp_info information{};
  socklen_t size = sizeof(information);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &information, &size) != 0)
    return {};
  return {.sent = information.tcpi_segs_out,
          .received = information.tcpi_segs_in};
}

}  // namespace dogwood
