#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "Libraries/Core/core.h"
#include "Libraries/PeerLink/message_codec.h"
#include "Libraries/PeerLink/peer_traffic_counters.h"

namespace dogwood {

struct PeerResponse {
  PeerEnvelope envelope;  // of the responding host
  nlohmann::json body;
};

// Sends messages to one address over one connection. Connects on demand and
// reconnects with exponential backoff. Used on one thread.
class PeerClient {
 public:
  struct Options {
    PeerEnvelope self;
    std::size_t max_message_bytes = 1U << 20U;
    std::size_t max_queued_bytes = 8U << 20U;
    Duration connect_timeout = std::chrono::seconds(1);
    // Delay after a failed connection attempt, doubled up to the maximum.
    Duration min_reconnect_delay = std::chrono::milliseconds(50);
    Duration max_reconnect_delay = std::chrono::seconds(2);
    // When a call times out, a connection that has received nothing for this
    // long is closed.
    Duration receive_timeout = std::chrono::seconds(3);
  };

  PeerClient(const boost::asio::any_io_executor& executor,
             const boost::asio::ip::tcp::endpoint& endpoint, Options options,
             std::shared_ptr<PeerTrafficCounters> counters);
  ~PeerClient();
  PeerClient(PeerClient&&) noexcept;
  PeerClient& operator=(PeerClient&&) noexcept;

  // Sends a message and waits for the response. Fails with kUnavailable if the
  // message was not sent, kOutcomeUnknown if it was sent and no response was
  // received in time, kProtocol if the response is malformed, kInvalidArgument
  // if the message exceeds the size limit, or the error that the peer returned.
  boost::asio::awaitable<Result<PeerResponse>> Call(std::string_view kind,
                                                    const nlohmann::json& body,
                                                    Duration timeout);
  // Sends a body from EncodeBody() without waiting and without reporting a
  // failure.
  void Send(std::string_view kind, std::vector<std::uint8_t> body,
            Duration timeout);

  bool has_pending_calls() const;
  bool is_connected() const;
  TimePoint last_use_time() const;
  void AddTcpSegmentCounts(PeerTrafficCounters& counters) const;
  // Closes the connection; open calls fail.
  void Close();

 private:
  class Connection;
  struct State;
  // Shared because open calls and the connection outlive the client.
  std::shared_ptr<State> state_;
};

}  // namespace dogwood
