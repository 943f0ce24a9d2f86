#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "Services/Gateway/disconnect_signal.h"
#include "Services/Gateway/gateway_context.h"
#include "Services/Gateway/request_forwarder.h"
#include "Services/Gateway/request_memory.h"

namespace dogwood {

// Totals over all caller connections of a gateway.
struct CallerConnectionTotals {
  std::size_t connections = 0;
  std::size_t requests = 0;  // read completely and not yet responded to
  // Of `requests`, those behind another one on their connection.
  std::size_t pipelined_requests = 0;
  // Of responses that wait until those before them have been written.
  std::size_t waiting_response_bytes = 0;
};

// HTTP/1.1 server connection to a caller, with pipelining: requests are read
// ahead and served in parallel, and their responses are written in the order of
// the requests.
//
// Only requests without a body that may be retried run ahead. Callers send all
// requests behind a response that closes the connection again, so another
// request starts only when every response before it has been written.
class CallerConnection {
 public:
  // A whole head of the largest size fits, and a chunk line.
  static constexpr std::size_t kInputBufferBytes = std::size_t{18} * 1024;
  // What a receive buffer takes beyond this counts as memory for bodies.
  static constexpr std::size_t kFreeInputBytes = std::size_t{4} * 1024;
  // Requests that have arrived for a shorter time are not given up for lack of
  // memory or of connections. Longer than a retransmission takes.
  static constexpr Duration kMinReadTime = std::chrono::seconds(1);
  // Longest time without progress while a request body is read.
  static constexpr Duration kBodyReadTimeout = std::chrono::seconds(10);
  // Longest time to write a response to a caller.
  static constexpr Duration kWriteTimeout = std::chrono::seconds(10);
  // After the last response, input is discarded for this long. Closing a socket
  // with unread input would reset the connection, and the caller might lose
  // responses that it has not read yet.
  static constexpr Duration kLingerTimeout = std::chrono::seconds(1);
  // Requests of one connection that are read and not yet responded to.
  static constexpr std::size_t kMaxRequestsInFlight = 16;
  // Pipelined requests of all connections. Bounds the memory for their heads;
  // further requests wait in the receive buffers of the kernel.
  static constexpr std::size_t kMaxPipelinedRequests = 512;
  // No requests are read ahead while responses that wait for others take more
  // than this fraction of the process's memory limit: one eighth.
  static constexpr std::size_t kWaitingResponseMemoryDivisor = 8;

  CallerConnection(GatewayContext& context, RequestForwarder& forwarder,
                   CallerConnectionTotals& totals, RequestMemory& memory,
                   boost::asio::ip::tcp::socket socket);
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Returns when the connection is closed and none of its requests runs.
  boost::asio::awaitable<void> Run();

  // Closes the connection when its current read or write has timed out.
  void CloseIfTimedOut(TimePoint now);
  // How long the caller has taken no bytes of a response that does not fit the
  // send buffer; absent unless it is being written.
  std::optional<Duration> WriteStall(TimePoint now) const;
  // Gives up the responses of a caller that does not read them.
  void AbandonStalledCaller();
  // Average rate, in bytes per second, at which the only request of the
  // connection arrives; absent unless it has arrived for kMinReadTime.
  std::optional<double> ReadRate(TimePoint now) const;
  // How long the connection has waited for a request; absent unless idle.
  std::optional<Duration> IdleTime(TimePoint now) const;
  // Memory that the request that is being read holds.
  std::size_t reserved_bytes(RequestMemory::Part part) const;
  // Closes a connection without requests in flight and releases the memory of
  // the one that is being read.
  void GiveUpRequest(std::string_view reason);
  // Whether a request has arrived, in part or completely, and has no response.
  bool is_busy() const;
  // Logs the requests that have no complete response yet.
  void LogCutRequests(TimePoint stop_requested_at) const;
  // Closes the connection unless it is busy.
  void CloseIfIdle();

  // ByteSource interface of BodyReader.
  boost::asio::awaitable<boost::system::error_code> Fill();
  ReceiveBuffer& input() { return input_; }

 private:
  enum class HeadReadResult {
    kRead,
    kClosed,
    kMalformed,
    kTooLarge,
    kMemoryExhausted
  };
  enum class BodyReadResult {
    kRead,
    kClosed,
    kMalformed,
    kTooLarge,
    kMemoryExhausted
  };
  // Whether another request may be read from the connection.
  enum class ReadState { kReadable, kFinished };

  // A request that is being read, or whose response is not yet written.
  struct Exchange {
    MessageParser parser{MessageKind::kRequest};
    std::string body;
    std::size_t reserved_body_bytes = 0;
    std::size_t reserved_head_bytes = 0;
    platform::CallerHeaders headers;
    TimePoint arrived_at{};
    bool is_answered = false;  // `response` is set
    // When the response began to wait for the one in front, if it did.
    std::optional<TimePoint> waits_since;
    CallerResponse response;
    // The connection is closed after this response...
    bool is_last = false;
    // ...and input is discarded first, because the end of the request or what
    // follows it is unknown.
    bool is_rejected = false;
  };

  // Reads one request and starts it.
  boost::asio::awaitable<ReadState> ReadRequest();
  boost::asio::awaitable<ReadState> ReadRequest(
      std::unique_ptr<Exchange> exchange);
  boost::asio::awaitable<HeadReadResult> ReadHead(Exchange& exchange);
  boost::asio::awaitable<BodyReadResult> ReadBody(Exchange& exchange);
  // Counts the bytes of a head that is being read. Returns whether there is
  // memory for them.
  bool try_reserve_head(Exchange& exchange);
  // Counts received bytes of a body and makes room for them. Returns whether
  // there is memory for them.
  bool try_append_body(Exchange& exchange, std::string_view bytes,
                       std::size_t body_limit);
  // Counts the memory that the receive buffer takes. Returns whether there is
  // memory for it.
  bool try_reserve_input();
  // Replaces a receive buffer that takes memory by one that takes none.
  void ReleaseInputMemory();
  // Takes the request's bytes off the totals.
  void ReleaseRequestMemory(Exchange& exchange);
  // Waits until the bounds allow reading another request. Returns kFinished
  // when the connection is closed after the requests that were read.
  boost::asio::awaitable<ReadState> AwaitRoomForRequest();
  // Waits until all responses have been written. Returns kFinished when the
  // connection is closed after them.
  boost::asio::awaitable<ReadState> AwaitAllResponsesWritten();
  // Reads and discards input until the connection is closed.
  boost::asio::awaitable<void> DiscardInput();

  // Adds the exchange to the queue.
  Exchange& Enqueue(std::unique_ptr<Exchange> exchange);
  boost::asio::awaitable<void> Serve(Exchange& exchange);
  // Answers a request that cannot be read and closes the connection after the
  // response, because the end of the request is unknown.
  boost::asio::awaitable<void> Reject(std::unique_ptr<Exchange> exchange,
                                      unsigned status, std::string_view reason);
  // Writes the responses at the front of the queue that are ready.
  boost::asio::awaitable<void> WriteReadyResponses();
  // Returns whether the whole response was written.
  boost::asio::awaitable<bool> WriteResponse(const Exchange& exchange,
                                             bool should_close);
  // Records that a response is ready before those in front of it, and the end
  // of that wait.
  void BeginOrderWait(Exchange& exchange);
  void EndOrderWait(const Exchange& exchange);
  // Whether the bounds allow another request behind those of the connection.
  bool has_room_for_request() const;
  void RemoveFrontExchange();
  void FinishWriting(bool has_caller_announced_close);
  // The caller has disconnected, or cannot be written to.
  void Abandon();
  void Close();
  bool is_draining() const {
    return context_.serving_state == ServingState::kDraining;
  }
  boost::asio::awaitable<void> AwaitProgress();

  GatewayContext& context_;
  RequestForwarder& request_forwarder_;
  CallerConnectionTotals& totals_;
  RequestMemory& memory_;
  boost::asio::ip::tcp::socket socket_;
  ReceiveBuffer input_;
  std::size_t reserved_input_bytes_ = 0;  // of memory for bodies
  DisconnectSignal disconnect_signal_;
  // In the order of the requests. Pointers stay valid while others are removed.
  std::deque<std::unique_ptr<Exchange>> exchanges_;
  // Reused for the next request, so that its head needs no allocation.
  std::unique_ptr<Exchange> spare_exchange_;
  std::size_t running_count_ = 0;  // coroutines of Serve()
  // Cancelled when a response was written or an exchange has ended.
  boost::asio::steady_timer progress_;
  // The request that is being read, and since when; its bytes so far.
  Exchange* reading_exchange_ = nullptr;
  TimePoint reading_since_{};
  std::size_t read_bytes_ = 0;
  TimePoint idle_since_{};
  TimePoint read_deadline_ = TimePoint::max();
  TimePoint write_deadline_ = TimePoint::max();
  bool is_idle_ = true;  // no byte of the next request has arrived
  bool is_input_closed_ = false;
  bool is_writing_ = false;
  const PendingWrite* pending_write_ = nullptr;  // of the current response
  bool is_finished_ = false;  // no further response will be written
};

}  // namespace dogwood
