#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "Libraries/Core/core.h"
#include "Libraries/PeerLink/link_counters.h"
#include "Libraries/PeerLink/message_codec.h"

namespace dogwood {

struct PeerReply {
  PeerEnvelope envelope;  // of the host that answered
  nlohmann::json body;
};

// Sends messages to one address over one connection, which is opened when
// needed and reopened with growing pauses. Used on one thread.
class PeerClient {
 public:
  struct Options {
    PeerEnvelope self;
    std::size_t message_bytes = 1U << 20U;
    std::size_t queued_bytes = 8U << 20U;
    Duration connect_timeout = std::chrono::seconds(1);
    // Pause after a failed connection attempt, doubled up to the longest.
    Duration shortest_pause = std::chrono::milliseconds(50);
    Duration longest_pause = std::chrono::seconds(2);
    // A connection on which a call timed out and nothing arrived for this long
    // is given up.
    Duration silence_limit = std::chrono::seconds(3);
  };

  PeerClient(const boost::asio::any_io_executor& executor,
             const boost::asio::ip::tcp::endpoint& endpoint, Options options,
             std::shared_ptr<LinkCounters> counters);
  ~PeerClient();
  PeerClient(PeerClient&&) noexcept;
  PeerClient& operator=(PeerClient&&) noexcept;

  // Sends one message and waits for its response. Fails with kUnavailable when
  // the message was not sent, kOutcomeUnknown when it was sent and no response
  // arrived in time, kProtocol on a malformed response, kInvalidArgument on a
  // message above the size limit, and with the error that the peer's handler
  // returned.
  boost::asio::awaitable<Result<PeerReply>> Call(std::string_view kind,
                                                 const nlohmann::json& body,
                                                 Duration timeout);
  // Sends a body from EncodeBody() without waiting; a loss is not reported.
  void Send(std::string_view kind, std::vector<std::uint8_t> body,
            Duration timeout);

  bool has_open_calls() const;
  bool is_connected() const;
  TimePoint newest_use() const;
  void AddSegments(LinkCounters& counters) const;
  // Ends the connection; open calls fail.
  void Close();

 private:
  class Connection;
  struct State;
  // Calls in flight and the connection outlive the client object.
  std::shared_ptr<State> state_;
};

}  // namespace dogwood
