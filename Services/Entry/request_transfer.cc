// The parts of RequestExchange that move bytes between caller and backend
// server.
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>

#include "Libraries/Http/socket_io.h"
#include "Services/Entry/head_writer.h"
#include "Services/Entry/request_exchange.h"

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kChunkEndAndLast = "\r\n0\r\n\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr unsigned kSwitchingProtocols = 101;

// A gather list of a head, a chunk header, the slices of a piece and a chunk
// end.
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
    if (piece.size_bytes > 0) Add(piece.is_last ? kChunkEndAndLast : kLineEnd);
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

  // Head, chunk header, slices, chunk end.
  static constexpr std::size_t kMostBuffers =
      BodyReader<CallerStream>::Piece::kMostSlices + 3;

  std::array<asio::const_buffer, kMostBuffers> buffers_;
  std::array<char, 20> chunk_header_{};
  std::size_t count_ = 0;
};

}  // namespace

// Sends the head and the buffered part of the body in one write and starts the
// upload of the rest; false when nothing was sent.
asio::awaitable<bool> RequestExchange::SendRequest() {
  const bool is_whole = parser_.is_complete();
  request_framing_ = {.framing = parser_.framing(),
                      .length = parser_.content_length()};
  // The length of a buffered body is known, whatever its framing was.
  if (is_whole && request_framing_.framing == BodyFraming::kChunked) {
    request_framing_ = {.framing = BodyFraming::kLength,
                        .length = memory_.body.size()};
  }
  sent_at_ = MonotonicNow();
  WriteRequestHead(memory_.head, parser_.head(), plan_, request_framing_,
                   plan_.attributes.deadline - sent_at_);
  CallerBody::Piece buffered;
  if (!memory_.body.empty()) {
    buffered.slices[0] = memory_.body;
    buffered.slice_count = 1;
    buffered.size_bytes = memory_.body.size();
  }
  buffered.is_last = is_whole;
  GatherList list;
  list.Add(memory_.head);
  list.AddPiece(buffered, request_framing_.framing);
  PendingWrite write{.buffers = list.buffers()};
  const bool is_done = TryWriteAll(connection_->socket(), write);
  if (!is_done) co_await WriteAll(connection_->socket(), write);
  if (write.written == 0) {
    Fail(AttemptEvent::kWriteFailed, "connection-lost");
    co_return false;
  }
  memory_.attempt.Process(AttemptEvent::kBytesSent);
  // A response may precede the error, so it is read in any case.
  if (!is_whole && !write.error) {
    upload_ = UploadState::kRunning;
    asio::co_spawn(context_.executor, Upload(), asio::detached);
  }
  co_return true;
}

asio::awaitable<void> RequestExchange::Upload() {
  // The session must outlive this coroutine.
  const std::shared_ptr<void> owner = owner_;
  UploadState end = UploadState::kBroken;
  bool can_read = true;
  if (plan_.expects_continue && !has_response_begun_ &&
      caller_.input().empty()) {
    std::array buffers{asio::const_buffer(asio::buffer(kContinue))};
    PendingWrite write{.buffers = buffers};
    co_await WriteAll(caller_.socket(), write);
    can_read = !write.error;
  }
  CallerBody reader(caller_, parser_);
  while (can_read && !is_stopping_upload_ && cause_ == Cause::kNone) {
    const CallerBody::Piece piece = co_await reader.Next();
    if (is_stopping_upload_ || cause_ != Cause::kNone) break;
    if (piece.has_failed()) {
      request_fault_ = piece.fault;
      Abort(piece.fault ? Cause::kMalformed : Cause::kCallerLeft);
      break;
    }
    request_bytes_ += piece.size_bytes;
    GatherList list;
    list.AddPiece(piece, request_framing_.framing);
    PendingWrite write{.buffers = list.buffers()};
    const bool is_done = TryWriteAll(connection_->socket(), write);
    if (!is_done) co_await WriteAll(connection_->socket(), write);
    if (write.error) break;
    if (piece.is_last) {
      end = UploadState::kFinished;
      break;
    }
  }
  reader.Release();
  upload_ = end;
  if (end == UploadState::kFinished && !has_response_begun_) WatchCaller();
  upload_ended_.Notify();
}

asio::awaitable<void> RequestExchange::StopUpload() {
  if (upload_ != UploadState::kRunning) co_return;
  is_stopping_upload_ = true;
  if (connection_) connection_->Close();
  caller_.CancelReading();
  while (upload_ == UploadState::kRunning) co_await upload_ended_.Wait();
}

// False when the attempt failed or the backend server shed the request.
asio::awaitable<bool> RequestExchange::ReadResponseHead() {
  MessageParser& parser = connection_->parser();
  ByteBuffer& input = connection_->input();
  const bool is_head = parser_.head().method == "HEAD";
  parser.Reset(is_head);
  bool needs_more = input.empty();
  while (!parser.is_head_complete()) {
    if (needs_more) {
      const auto error = co_await connection_->Fill();
      if (error) {
        Fail(AttemptEvent::kConnectionLost, "connection-lost");
        co_return false;
      }
    }
    const MessageParser::Step step = parser.Feed(input.data());
    input.Consume(step.consumed);
    if (step.fault) {
      Fail(AttemptEvent::kResponseInvalid, "response-malformed");
      co_return false;
    }
    if (parser.is_head_complete() && parser.head().status < 200 &&
        parser.head().status != kSwitchingProtocols) {
      // Interim responses are not passed on.
      parser.Reset(is_head);
    }
    needs_more = step.needs_more || input.empty();
  }
  co_return CheckResponseHead();
}

bool RequestExchange::CheckResponseHead() {
  MessageParser& parser = connection_->parser();
  const MessageHead& head = parser.head();
  report_.status = head.status;
  report_.latency = MonotonicNow() - sent_at_;
  report_.start_id = head.ValueOf("Dogwood-Start-Id");
  const std::string_view in_work = head.ValueOf("Dogwood-In-Work");
  std::uint32_t count = 0;
  const auto [stop, error] =
      std::from_chars(in_work.data(), in_work.data() + in_work.size(), count);
  if (!in_work.empty() && error == std::errc() &&
      stop == in_work.data() + in_work.size()) {
    report_.in_work = count;
  }
  const std::string_view echoed = head.ValueOf("Dogwood-Request-Id");
  if (!echoed.empty() && echoed != id_.value()) {
    Fail(AttemptEvent::kResponseInvalid, "response-crossed");
    return false;
  }
  if (parser.framing() == BodyFraming::kUntilClose ||
      head.status == kSwitchingProtocols) {
    Fail(AttemptEvent::kResponseInvalid, "response-without-length");
    return false;
  }
  if (head.status == 503 && head.ValueOf("Dogwood-Shed") == "not-run") {
    Fail(AttemptEvent::kShedArrived, "shed");
    return false;
  }
  context_.shared.metrics.backend_latency.Record(report_.latency);
  return true;
}

asio::awaitable<void> RequestExchange::Deliver(const DispatchGrant& grant) {
  MessageParser& parser = connection_->parser();
  BackendBody reader(*connection_, parser);
  const unsigned status = parser.head().status;
  const bool has_no_body =
      status == 204 || status == 304 || parser_.head().method == "HEAD";
  ForwardedFraming framing{.framing = parser.framing(),
                           .length = parser.content_length()};
  if (status == 204) framing = {};
  // A caller of HTTP/1.0 knows no chunks; its connection's end ends the body.
  const bool is_until_close =
      framing.framing == BodyFraming::kChunked && parser_.head().version < 11;
  if (is_until_close) framing = {.framing = BodyFraming::kUntilClose};
  const BodyFraming body_framing =
      has_no_body ? BodyFraming::kNone : framing.framing;

  bool is_first = true;
  bool is_answering = false;
  while (true) {
    BackendBody::Piece piece;
    if (parser.is_complete() || !is_first || !connection_->input().empty()) {
      piece = co_await reader.Next();
    }
    if (piece.has_failed()) {
      Fail(AttemptEvent::kResponseInvalid, "response-truncated");
      co_return;
    }
    if (reader.has_surplus()) {
      Fail(AttemptEvent::kResponseInvalid, "response-surplus");
      co_return;
    }
    if (!is_answering) {
      is_answering = true;
      memory_.attempt.Process(AttemptEvent::kHeadArrived);
    }
    response_bytes_ += piece.size_bytes;
    if (piece.is_last) {
      memory_.attempt.Process(AttemptEvent::kBodyEnded);
      // The backend server is free again before the caller has read all.
      Complete(grant);
    }
    GatherList list;
    if (is_first) {
      const ConnectionUse use =
          is_until_close ? ConnectionUse::kClose : caller_use();
      closes_caller_ = use == ConnectionUse::kClose;
      WriteResponseHead(memory_.head, parser.head(), id_, framing, use,
                        parser_.head().version);
      list.Add(memory_.head);
      has_response_begun_ = true;
      is_first = false;
    }
    list.AddPiece(piece, body_framing);
    PendingWrite write{.buffers = list.buffers()};
    const bool is_done = TryWriteAll(caller_.socket(), write);
    if (!is_done) co_await WriteAll(caller_.socket(), write);
    if (write.error) {
      if (cause_ == Cause::kNone) cause_ = Cause::kCallerLeft;
      Fail(AttemptEvent::kCancelled, "caller-left");
      co_return;
    }
    if (piece.is_last) break;
  }
  reader.Release();
  is_delivered_ = true;
  if (parser.is_keep_alive() && parser_.is_complete() &&
      upload_ != UploadState::kRunning && upload_ != UploadState::kBroken) {
    context_.shared.pool.Release(context_.worker, std::move(connection_),
                                 MonotonicNow());
  }
}

}  // namespace dogwood
