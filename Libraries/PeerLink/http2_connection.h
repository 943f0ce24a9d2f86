#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/PeerLink/peer_traffic_counters.h"

struct nghttp2_session;

namespace dogwood {

// HTTP/2 connection over TCP that sends and receives whole messages, one per
// direction of a stream. Used on one thread. The virtual functions are not
// called from nghttp2 callbacks, so they may submit, reset streams and close.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  enum class Role { kClient, kServer };

  struct Limits {
    std::size_t max_message_bytes = 1U << 20U;
    // Limit of the bodies that wait for the socket.
    std::size_t max_queued_bytes = 8U << 20U;
    std::uint32_t max_concurrent_streams = 4096;
  };

  struct Header {
    std::string_view name;
    std::string_view value;
  };

  Http2Connection(boost::asio::ip::tcp::socket socket, Role role, Limits limits,
                  std::shared_ptr<PeerTrafficCounters> counters);
  virtual ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  void Start();
  // Ends all streams and closes the connection immediately.
  void Close();
  // Rejects new streams and closes the connection when the open ones have
  // ended.
  void Drain();
  bool is_open() const { return is_open_; }
  // Whether the connection is open and the peer has not announced a drain.
  bool can_open_stream() const;
  // Time at which data was last received.
  TimePoint last_receive_time() const { return last_receive_time_; }
  std::size_t open_stream_count() const { return streams_.size(); }
  // Adds the TCP segment counts of an open connection to `counters`.
  void AddTcpSegmentCounts(PeerTrafficCounters& counters) const;

 protected:
  struct Message {
    std::int32_t stream = 0;
    std::uint64_t call = 0;  // call id passed to SubmitRequest()
    int status = 0;
    std::string method;
    std::string path;
    std::string version;
    std::string sender;
    std::string incarnation;
    std::vector<std::uint8_t> body;
    bool is_too_large = false;  // the body was discarded
  };

  // Why a stream ended without a complete message.
  enum class StreamFailure {
    kNotProcessed,  // the peer did not process the request
    kUnknown,       // the peer may have processed the request
  };

  virtual void OnMessage(Message message) = 0;
  virtual void OnStreamFailure(std::uint64_t call, StreamFailure failure) = 0;
  virtual void OnClosed() = 0;

  // Returns the stream id, or nullopt if no stream can be opened.
  std::optional<std::int32_t> SubmitRequest(std::span<const Header> headers,
                                            std::vector<std::uint8_t> body,
                                            std::uint64_t call);
  // Does nothing if the stream has ended.
  void SubmitResponse(std::int32_t id, std::span<const Header> headers,
                      std::vector<std::uint8_t> body);
  void ResetStream(std::int32_t id);
  // Whether the headers of the stream have been serialized for the socket.
  bool is_sent(std::int32_t id) const;
  bool has_queue_capacity(std::size_t bytes) const {
    return queued_bytes_ + bytes <= limits_.max_queued_bytes;
  }
  const Limits& limits() const { return limits_; }
  boost::asio::any_io_executor executor() { return socket_.get_executor(); }

 private:
  static constexpr std::size_t kReadBufferBytes = 16U << 10U;

  struct Callbacks;
  struct Stream {
    Message message;
    std::vector<std::uint8_t> outgoing;
    std::size_t outgoing_offset = 0;
    bool is_sent = false;
    bool has_message = false;
  };
  struct Event {
    Message message;
    bool is_message = false;
    StreamFailure failure = StreamFailure::kUnknown;
  };

  Stream* FindStream(std::int32_t id);
  void Read();
  void ScheduleFlush();
  void Flush();
  void DispatchEvents();

  boost::asio::ip::tcp::socket socket_;
  Role role_;
  Limits limits_;
  // Shared because connections outlive the client or server that opened them.
  std::shared_ptr<PeerTrafficCounters> counters_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, Stream> streams_;
  std::vector<Event> events_;
  std::vector<std::uint8_t> output_;
  std::size_t queued_bytes_ = 0;
  TimePoint last_receive_time_;
  bool is_open_ = true;
  bool is_draining_ = false;
  bool is_writing_ = false;
  bool is_flush_scheduled_ = false;
  bool is_delivering_ = false;
  std::array<std::uint8_t, kReadBufferBytes> input_;
};

}  // namespace dogwood
