#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "Libraries/Core/core.h"
#include "Libraries/PeerLink/link_counters.h"
#include "Libraries/PeerLink/message_codec.h"

namespace dogwood {

struct PeerRequest {
  PeerEnvelope envelope;
  std::string kind;
  nlohmann::json body;
};

// Receives messages of other hosts. Malformed messages get an error response;
// broken HTTP/2 ends only its own connection. Used on one thread.
class PeerServer {
 public:
  using Handler = std::function<boost::asio::awaitable<Result<nlohmann::json>>(
      PeerRequest)>;

  struct Options {
    PeerEnvelope self;
    std::size_t message_bytes = 1U << 20U;
    std::uint32_t concurrent_streams = 4096;  // per connection
    std::size_t connections = 4096;
    // Closes a connection whose peer vanished without a word.
    Duration idle_timeout = std::chrono::minutes(15);
  };

  // Binds and listens; fails with kIo when the address is taken.
  static Result<PeerServer> Listen(
      const boost::asio::any_io_executor& executor,
      const boost::asio::ip::tcp::endpoint& endpoint, Options options,
      Handler handler, std::shared_ptr<LinkCounters> counters);
  ~PeerServer();
  PeerServer(PeerServer&&) noexcept;
  PeerServer& operator=(PeerServer&&) noexcept;

  boost::asio::ip::tcp::endpoint local_endpoint() const;
  std::size_t connection_count() const;
  // Adds the segment counts of open connections.
  void AddSegments(LinkCounters& counters) const;
  // Accepts nothing more; open requests are still answered.
  void Stop();

 private:
  class Connection;
  struct State;
  // Connections outlive the server object while requests are in flight.
  explicit PeerServer(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

}  // namespace dogwood
