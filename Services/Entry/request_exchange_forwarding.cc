// Functions of RequestExchange that forward the request to the backend server
// and the response to the caller.
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>

#include "Libraries/Http/socket_io.h"
#include "Services/Entry/message_writer.h"
#include "Services/Entry/request_exchange.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kChunkEnd = "\r\n";
constexpr std::string_view kChunkEndAndLastChunk = "\r\n0\r\n\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr unsigned kSwitchingProtocols = 101;

// Buffers of one gather write: a message head, and a chunk header, body slices
// and a chunk end.
class GatherList {
 public:
  void Add(std::string_view bytes) {
    if (!bytes.empty()) buffers_[count_++] = asio::buffer(bytes);
  }

  template <typename Piece>
  void AddPiece(const Piece& piece, BodyFraming framing) {
    const bool is_chunked = framing == BodyFraming::kChunked;
    if (is_chunked && piece.size_bytes > 0) AddChunkHeader(piece.size_bytes);
    for (std::size_t i = 0; i < piece.slice_count; ++i) Add(piece.slices[i]);
    if (!is_chunked) return;
    if (piece.size_bytes > 0)
      Add(piece.is_last ? kChunkEndAndLastChunk : kChunkEnd);
    if (piece.size_bytes == 0 && piece.is_last) Add(kLastChunk);
  }

  std::span<asio::const_buffer> buffers() { return {buffers_.data(), count_}; }

 private:
  void AddChunkHeader(std::size_t size) {
    char* end =
        std::to_chars(chunk_header_.data(),
                      chunk_header_.data() + chunk_header_.size(), size, 16)
            .ptr;
    *end++ = '\r';
    *end++ = '\n';
    Add({chunk_header_.data(),
         static_cast<std::size_t>(end - chunk_header_.data())});
  }

  // Slices, message head, chunk header and chunk end.
  static constexpr std::size_t kMaxBuffers =
      BodyReader<CallerStream>::ReadResult::kMaxSlices + 3;

  std::array<asio::const_buffer, kMaxBuffers> buffers_;
  // Room for 16 hexadecimal digits and CRLF.
  static constexpr std::size_t kChunkHeaderBytes = 20;

  std::array<char, kChunkHeaderBytes> chunk_header_{};
  std::size_t count_ = 0;
};

}  // namespace

// Sends the head and the buffered part of the body in one write and starts
// forwarding the rest of the body. Returns false if nothing was sent.
asio::awaitable<bool> RequestExchange::SendRequest() {
  const bool is_body_buffered = parser_.is_complete();
  request_framing_ = {.framing = parser_.framing(),
                      .length = parser_.content_length()};
  // A chunked body that is buffered whole is sent with its length.
  if (is_body_buffered && request_framing_.framing == BodyFraming::kChunked) {
    request_framing_ = {.framing = BodyFraming::kLength,
                        .length = scratch_.body.size()};
  }
  sent_at_ = MonotonicNow();
  WriteRequestHead(scratch_.head, parser_.head(), parameters_, request_framing_,
                   parameters_.attributes.deadline - sent_at_);
  CallerBody::ReadResult buffered;
  if (!scratch_.body.empty()) {
    buffered.slices[0] = scratch_.body;
    buffered.slice_count = 1;
    buffered.size_bytes = scratch_.body.size();
  }
  buffered.is_last = is_body_buffered;
  GatherList gather_list;
  gather_list.Add(scratch_.head);
  gather_list.AddPiece(buffered, request_framing_.framing);
  PendingWrite write{.buffers = gather_list.buffers()};
  const bool is_written = TryWriteAll(connection_->socket(), write);
  if (!is_written) co_await WriteAll(connection_->socket(), write);
  if (write.written == 0) {
    FailAttempt(AttemptEvent::kWriteFailed, "connection-lost");
    co_return false;
  }
  scratch_.attempt_state.ProcessEvent(AttemptEvent::kBytesSent);
  // After a write error the response is still read: the backend server may have
  // sent it before it closed the connection.
  if (!is_body_buffered && !write.error) {
    upload_state_ = UploadState::kRunning;
    asio::co_spawn(context_.executor, ForwardRequestBody(), asio::detached);
  }
  co_return true;
}

asio::awaitable<void> RequestExchange::ForwardRequestBody() {
  // Keeps the session alive until this coroutine ends.
  const std::shared_ptr<void> owner = owner_;
  UploadState final_state = UploadState::kFailed;
  bool can_read = true;
  if (parameters_.expects_continue && !has_response_started_ &&
      caller_.input().empty()) {
    std::array buffers{asio::const_buffer(asio::buffer(kContinueResponse))};
    PendingWrite write{.buffers = buffers};
    co_await WriteAll(caller_.socket(), write);
    can_read = !write.error;
  }
  CallerBody reader(caller_, parser_);
  while (can_read && !should_stop_upload_ &&
         abort_reason_ == AbortReason::kNone) {
    const CallerBody::ReadResult piece = co_await reader.ReadSome();
    if (should_stop_upload_ || abort_reason_ != AbortReason::kNone) break;
    if (piece.has_failed()) {
      request_parse_error_ = piece.parse_error;
      Abort(piece.parse_error ? AbortReason::kMalformedRequest
                              : AbortReason::kCallerDisconnected);
      break;
    }
    request_body_bytes_ += piece.size_bytes;
    GatherList gather_list;
    gather_list.AddPiece(piece, request_framing_.framing);
    PendingWrite write{.buffers = gather_list.buffers()};
    const bool is_written = TryWriteAll(connection_->socket(), write);
    if (!is_written) co_await WriteAll(connection_->socket(), write);
    if (write.error) break;
    if (piece.is_last) {
      final_state = UploadState::kFinished;
      break;
    }
  }
  reader.Release();
  upload_state_ = final_state;
  if (final_state == UploadState::kFinished && !has_response_started_)
    WatchForDisconnect();
  upload_ended_.Notify();
}

asio::awaitable<void> RequestExchange::StopUpload() {
  if (upload_state_ != UploadState::kRunning) co_return;
  should_stop_upload_ = true;
  if (connection_) connection_->Close();
  caller_.CancelRead();
  while (upload_state_ == UploadState::kRunning) co_await upload_ended_.Wait();
}

// Returns false if the attempt failed or the backend server shed the request.
asio::awaitable<bool> RequestExchange::ReadResponseHead() {
  MessageParser& parser = connection_->parser();
  ReceiveBuffer& input = connection_->input();
  const bool is_head = parser_.head().method == "HEAD";
  parser.Reset(is_head);
  bool needs_more = input.empty();
  while (!parser.is_head_complete()) {
    if (needs_more) {
      const auto error = co_await connection_->Fill();
      if (error) {
        FailAttempt(AttemptEvent::kConnectionLost, "connection-lost");
        co_return false;
      }
    }
    const MessageParser::FeedResult step = parser.Feed(input.data());
    input.Consume(step.consumed_bytes);
    if (step.parse_error) {
      FailAttempt(AttemptEvent::kInvalidResponse, "response-malformed");
      co_return false;
    }
    if (parser.is_head_complete() && parser.head().status < 200 &&
        parser.head().status != kSwitchingProtocols) {
      // Interim responses are not forwarded.
      parser.Reset(is_head);
    }
    needs_more = step.needs_more || input.empty();
  }
  co_return ValidateResponseHead();
}

bool RequestExchange::ValidateResponseHead() {
  MessageParser& parser = connection_->parser();
  const MessageHead& head = parser.head();
  report_.status = head.status;
  report_.latency = MonotonicNow() - sent_at_;
  report_.start_id = head.FieldValue("Dogwood-Start-Id");
  const std::string_view in_work = head.FieldValue("Dogwood-In-Work");
  std::uint32_t in_work_count = 0;
  const auto [stop, error] = std::from_chars(
      in_work.data(), in_work.data() + in_work.size(), in_work_count);
  if (!in_work.empty() && error == std::errc() &&
      stop == in_work.data() + in_work.size()) {
    report_.in_work = in_work_count;
  }
  const std::string_view echoed_request_id =
      head.FieldValue("Dogwood-Request-Id");
  if (!echoed_request_id.empty() && echoed_request_id != id_.value()) {
    FailAttempt(AttemptEvent::kInvalidResponse, "response-crossed");
    return false;
  }
  if (parser.framing() == BodyFraming::kUntilClose ||
      head.status == kSwitchingProtocols) {
    FailAttempt(AttemptEvent::kInvalidResponse, "response-without-length");
    return false;
  }
  if (head.status == 503 && head.FieldValue("Dogwood-Shed") == "not-run") {
    FailAttempt(AttemptEvent::kShedResponseReceived, "shed");
    return false;
  }
  context_.shared.metrics.backend_latency.Record(report_.latency);
  return true;
}

asio::awaitable<void> RequestExchange::ForwardResponse(
    const DispatchGrant& grant) {
  MessageParser& parser = connection_->parser();
  BackendBody reader(*connection_, parser);
  const unsigned status = parser.head().status;
  const bool has_no_body =
      status == 204 || status == 304 || parser_.head().method == "HEAD";
  ForwardedFraming framing{.framing = parser.framing(),
                           .length = parser.content_length()};
  if (status == 204) framing = {};
  // HTTP/1.0 has no chunked encoding, so closing the connection ends the body.
  const bool is_until_close =
      framing.framing == BodyFraming::kChunked && parser_.head().version < 11;
  if (is_until_close) framing = {.framing = BodyFraming::kUntilClose};
  const BodyFraming body_framing =
      has_no_body ? BodyFraming::kNone : framing.framing;

  bool is_first = true;
  bool is_head_processed = false;
  while (true) {
    BackendBody::ReadResult piece;
    if (parser.is_complete() || !is_first || !connection_->input().empty()) {
      piece = co_await reader.ReadSome();
    }
    if (piece.has_failed()) {
      FailAttempt(AttemptEvent::kInvalidResponse, "response-truncated");
      co_return;
    }
    if (reader.has_excess_input()) {
      FailAttempt(AttemptEvent::kInvalidResponse, "response-surplus");
      co_return;
    }
    if (!is_head_processed) {
      is_head_processed = true;
      scratch_.attempt_state.ProcessEvent(AttemptEvent::kResponseHeadReceived);
    }
    response_body_bytes_ += piece.size_bytes;
    if (piece.is_last) {
      scratch_.attempt_state.ProcessEvent(AttemptEvent::kResponseCompleted);
      // The backend server has finished the request, even if the caller has not
      // yet read the whole response.
      ReturnGrant(grant);
    }
    GatherList gather_list;
    if (is_first) {
      const ConnectionPersistence persistence =
          is_until_close ? ConnectionPersistence::kClose : caller_persistence();
      closes_caller_connection_ = persistence == ConnectionPersistence::kClose;
      WriteResponseHead(scratch_.head, parser.head(), id_, framing, persistence,
                        parser_.head().version);
      gather_list.Add(scratch_.head);
      has_response_started_ = true;
      is_first = false;
    }
    gather_list.AddPiece(piece, body_framing);
    PendingWrite write{.buffers = gather_list.buffers()};
    const bool is_written = TryWriteAll(caller_.socket(), write);
    if (!is_written) co_await WriteAll(caller_.socket(), write);
    if (write.error) {
      if (abort_reason_ == AbortReason::kNone)
        abort_reason_ = AbortReason::kCallerDisconnected;
      FailAttempt(AttemptEvent::kCancelled, "caller-left");
      co_return;
    }
    if (piece.is_last) break;
  }
  reader.Release();
  is_response_forwarded_ = true;
  if (parser.is_keep_alive() && parser_.is_complete() &&
      upload_state_ != UploadState::kRunning &&
      upload_state_ != UploadState::kFailed) {
    context_.shared.pool.Release(context_.worker_index, std::move(connection_),
                                 MonotonicNow());
  }
}

}  // namespace dogwood
