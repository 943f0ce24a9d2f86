#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "Libraries/Core/core.h"
#include "Libraries/PeerLink/message_codec.h"
#include "Libraries/PeerLink/peer_traffic_counters.h"

namespace dogwood {

struct PeerRequest {
  PeerEnvelope envelope;
  std::string kind;
  nlohmann::json body;
};

// Receives messages from other hosts. A malformed message gets an error
// response; an HTTP/2 protocol error closes its connection. Used on one thread.
class PeerServer {
 public:
  using Handler = std::function<boost::asio::awaitable<Result<nlohmann::json>>(
      PeerRequest)>;

  struct Options {
    PeerEnvelope self;
    std::size_t max_message_bytes = 1U << 20U;
    std::uint32_t max_concurrent_streams = 4096;  // per connection
    std::size_t max_connections = 4096;
    // A connection that has received nothing for this long is closed, because
    // its peer may have disappeared without closing it.
    Duration idle_timeout = std::chrono::minutes(15);
  };

  // Binds and listens. Fails with kIo, for example if the address is in use.
  static Result<PeerServer> Listen(
      const boost::asio::any_io_executor& executor,
      const boost::asio::ip::tcp::endpoint& endpoint, Options options,
      Handler handler, std::shared_ptr<PeerTrafficCounters> counters);
  ~PeerServer();
  PeerServer(PeerServer&&) noexcept;
  PeerServer& operator=(PeerServer&&) noexcept;

  boost::asio::ip::tcp::endpoint local_endpoint() const;
  std::size_t connection_count() const;
  // Adds the TCP segment counts of the open connections to `counters`.
  void AddTcpSegmentCounts(PeerTrafficCounters& counters) const;
  // Stops accepting connections and requests. Open requests are still answered.
  void Stop();

 private:
  class Connection;
  struct State;
  // Shared because connections with open requests outlive the server.
  explicit PeerServer(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

}  // namespace dogwood
