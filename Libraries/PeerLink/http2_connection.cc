#include "Libraries/PeerLink/http2_connection.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstring>

#include "Libraries/Core/verify.h"
#include "Libraries/PeerLink/tcp_segment_counts.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

// A write that has reached this size takes no further frames.
constexpr std::size_t kMaxWriteBytes = 64U << 10U;
// Windows large enough that small messages cause no window updates. The limits
// on messages and queues bound the memory instead.
constexpr std::int32_t kConnectionWindowBytes = 16 << 20;
constexpr std::uint32_t kStreamWindowBytes = 1U << 20U;
constexpr std::size_t kMaxHeaderValueBytes = 256;
constexpr std::size_t kMaxHeaderCount = 8;
// Timeouts on a slow peer reset many streams within a second. Above its default
// limit of 33 a second nghttp2 treats that as an attack.
constexpr std::uint64_t kMaxStreamResetsPerSecond = 100'000;

nghttp2_nv ToNghttp2Header(const Http2Connection::Header& header) {
  // nghttp2 copies the bytes and does not modify them.
  const auto bytes = [](std::string_view text) {
    return const_cast<std::uint8_t*>(
        reinterpret_cast<const std::uint8_t*>(text.data()));
  };
  return {bytes(header.name), bytes(header.value), header.name.size(),
          header.value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view ToStringView(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

}  // namespace

// Callbacks of nghttp2. The user data is the Http2Connection.
struct Http2Connection::Callbacks {
  static Http2Connection& Self(void* user_data) {
    return *static_cast<Http2Connection*>(user_data);
  }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                            void* user_data) {
    Http2Connection& self = Self(user_data);
    if (self.role_ == Role::kServer &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST)
      self.streams_[frame->hd.stream_id].message.stream = frame->hd.stream_id;
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_size,
                      const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t, void* user_data) {
    Stream* const stream = Self(user_data).FindStream(frame->hd.stream_id);
    if (stream == nullptr) return 0;
    if (value_size > kMaxHeaderValueBytes)
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    Message& message = stream->message;
    const std::string_view header = ToStringView(name, name_size);
    const std::string_view text = ToStringView(value, value_size);
    if (header == ":path") {
      message.path = text;
    } else if (header == ":method") {
      message.method = text;
    } else if (header == ":status") {
      std::from_chars(text.data(), text.data() + text.size(), message.status);
    } else if (header == "version") {
      message.version = text;
    } else if (header == "sender") {
      message.sender = text;
    } else if (header == "incarnation") {
      message.incarnation = text;
    }
    return 0;
  }

  static int OnData(nghttp2_session*, std::uint8_t, std::int32_t id,
                    const std::uint8_t* data, std::size_t size,
                    void* user_data) {
    Http2Connection& self = Self(user_data);
    Stream* const stream = self.FindStream(id);
    if (stream == nullptr || stream->message.is_too_large) return 0;
    std::vector<std::uint8_t>& body = stream->message.body;
    if (body.size() + size > self.limits_.max_message_bytes) {
      stream->message.is_too_large = true;
      body = {};
      return 0;
    }
    body.insert(body.end(), data, data + size);
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame,
                     void* user_data) {
    const bool is_message_frame =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (!is_message_frame || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
      return 0;
    Http2Connection& self = Self(user_data);
    Stream* const stream = self.FindStream(frame->hd.stream_id);
    if (stream == nullptr) return 0;
    ++self.counters_->messages_received;
    stream->has_message = true;
    self.events_.push_back(
        {.message = std::move(stream->message), .is_message = true});
    return 0;
  }

  static int OnFrameSend(nghttp2_session*, const nghttp2_frame* frame,
                         void* user_data) {
    if (frame->hd.type != NGHTTP2_HEADERS) return 0;
    Http2Connection& self = Self(user_data);
    ++self.counters_->messages_sent;
    if (Stream* const stream = self.FindStream(frame->hd.stream_id))
      stream->is_sent = true;
    return 0;
  }

  // Called for a request that was reset before it was sent or that was
  // submitted after a GOAWAY.
  static int OnFrameNotSent(nghttp2_session* session,
                            const nghttp2_frame* frame, int, void* user_data) {
    if (frame->hd.type != NGHTTP2_HEADERS) return 0;
    return OnStreamClose(session, frame->hd.stream_id, NGHTTP2_REFUSED_STREAM,
                         user_data);
  }

  static int OnStreamClose(nghttp2_session*, std::int32_t id,
                           std::uint32_t error, void* user_data) {
    Http2Connection& self = Self(user_data);
    const auto found = self.streams_.find(id);
    if (found == self.streams_.end()) return 0;
    Stream& stream = found->second;
    self.queued_bytes_ -= stream.outgoing.size() - stream.outgoing_offset;
    if (!stream.has_message) {
      const bool is_refused = error == NGHTTP2_REFUSED_STREAM;
      self.events_.push_back({.message = std::move(stream.message),
                              .failure = !stream.is_sent || is_refused
                                             ? StreamFailure::kNotProcessed
                                             : StreamFailure::kUnknown});
    }
    self.streams_.erase(found);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*, std::int32_t id,
                          std::uint8_t* buffer, std::size_t size,
                          std::uint32_t* flags, nghttp2_data_source*,
                          void* user_data) {
    Http2Connection& self = Self(user_data);
    Stream* const stream = self.FindStream(id);
    if (stream == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const std::size_t part =
        std::min(size, stream->outgoing.size() - stream->outgoing_offset);
    std::memcpy(buffer, stream->outgoing.data() + stream->outgoing_offset,
                part);
    stream->outgoing_offset += part;
    self.queued_bytes_ -= part;
    if (stream->outgoing_offset == stream->outgoing.size())
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(part);
  }
};

Http2Connection::Http2Connection(asio::ip::tcp::socket socket, Role role,
                                 Limits limits,
                                 std::shared_ptr<PeerTrafficCounters> counters)
    : socket_(std::move(socket)),
      role_(role),
      limits_(limits),
      counters_(std::move(counters)),
      last_receive_time_(MonotonicNow()) {
  ++counters_->connections_opened;
  nghttp2_session_callbacks* callbacks = nullptr;
  VERIFY(nghttp2_session_callbacks_new(&callbacks) == 0);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks,
                                                       Callbacks::OnFrameSend);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(
      callbacks, Callbacks::OnFrameNotSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, Callbacks::OnStreamClose);
  nghttp2_option* option = nullptr;
  VERIFY(nghttp2_option_new(&option) == 0);
  nghttp2_option_set_no_closed_streams(option, 1);
  nghttp2_option_set_stream_reset_rate_limit(option, kMaxStreamResetsPerSecond,
                                             kMaxStreamResetsPerSecond);
  const int created =
      role_ == Role::kClient
          ? nghttp2_session_client_new2(&session_, callbacks, this, option)
          : nghttp2_session_server_new2(&session_, callbacks, this, option);
  VERIFY(created == 0);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
}

Http2Connection::~Http2Connection() {
  nghttp2_session_del(session_);
  if (is_open_) ++counters_->connections_closed;
}

void Http2Connection::Start() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto settings = std::to_array<nghttp2_settings_entry>(
      {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
       {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
        limits_.max_concurrent_streams},
       {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}});
  // A server must not send ENABLE_PUSH, which is the last entry.
  const std::size_t count =
      role_ == Role::kClient ? settings.size() : settings.size() - 1;
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), count);
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  ScheduleFlush();
  Read();
}

void Http2Connection::Close() {
  if (!is_open_) return;
  AddTcpSegmentCounts(*counters_);
  is_open_ = false;
  ++counters_->connections_closed;
  boost::system::error_code ignored;
  socket_.close(ignored);
  for (auto& [id, stream] : streams_) {
    if (stream.has_message) continue;
    events_.push_back({.message = std::move(stream.message),
                       .failure = stream.is_sent
                                      ? StreamFailure::kUnknown
                                      : StreamFailure::kNotProcessed});
  }
  streams_.clear();
  const auto self = shared_from_this();
  DispatchEvents();
  OnClosed();
}

void Http2Connection::Drain() {
  if (!is_open_ || is_draining_) return;
  is_draining_ = true;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  ScheduleFlush();
}

bool Http2Connection::can_open_stream() const {
  return is_open_ && nghttp2_session_check_request_allowed(session_) != 0;
}

void Http2Connection::AddTcpSegmentCounts(PeerTrafficCounters& counters) const {
  if (!is_open_) return;
  // native_handle() is not const but does not modify the socket.
  const TcpSegmentCounts count = ReadTcpSegmentCounts(
      const_cast<asio::ip::tcp::socket&>(socket_).native_handle());
  counters.segments_sent += count.sent;
  counters.segments_received += count.received;
}

std::optional<std::int32_t> Http2Connection::SubmitRequest(
    std::span<const Header> headers, std::vector<std::uint8_t> body,
    std::uint64_t call) {
  if (!can_open_stream()) return std::nullopt;
  VERIFY(headers.size() <= kMaxHeaderCount);
  std::array<nghttp2_nv, kMaxHeaderCount> values;
  std::transform(headers.begin(), headers.end(), values.begin(),
                 ToNghttp2Header);
  nghttp2_data_provider provider{.source = {},
                                 .read_callback = Callbacks::ReadBody};
  const std::int32_t id =
      nghttp2_submit_request(session_, nullptr, values.data(), headers.size(),
                             body.empty() ? nullptr : &provider, nullptr);
  if (id < 0) return std::nullopt;
  Stream& stream = streams_[id];
  stream.message.stream = id;
  stream.message.call = call;
  queued_bytes_ += body.size();
  stream.outgoing = std::move(body);
  ScheduleFlush();
  return id;
}

void Http2Connection::SubmitResponse(std::int32_t id,
                                     std::span<const Header> headers,
                                     std::vector<std::uint8_t> body) {
  Stream* const stream = is_open_ ? FindStream(id) : nullptr;
  if (stream == nullptr) return;
  VERIFY(headers.size() <= kMaxHeaderCount);
  std::array<nghttp2_nv, kMaxHeaderCount> values;
  std::transform(headers.begin(), headers.end(), values.begin(),
                 ToNghttp2Header);
  nghttp2_data_provider provider{.source = {},
                                 .read_callback = Callbacks::ReadBody};
  queued_bytes_ += body.size();
  stream->outgoing = std::move(body);
  nghttp2_submit_response(session_, id, values.data(), headers.size(),
                          stream->outgoing.empty() ? nullptr : &provider);
  ScheduleFlush();
}

void Http2Connection::ResetStream(std::int32_t id) {
  if (!is_open_) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
  ScheduleFlush();
}

bool Http2Connection::is_sent(std::int32_t id) const {
  const auto found = streams_.find(id);
  return found != streams_.end() && found->second.is_sent;
}

Http2Connection::Stream* Http2Connection::FindStream(std::int32_t id) {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : &found->second;
}

void Http2Connection::Read() {
  socket_.async_read_some(
      asio::buffer(input_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        if (error || !self->is_open_) return self->Close();
        self->last_receive_time_ = MonotonicNow();
        self->counters_->bytes_received += size;
        const ssize_t used =
            nghttp2_session_mem_recv(self->session_, self->input_.data(), size);
        self->DispatchEvents();
        if (used < 0) return self->Close();
        if (!self->is_open_) return;
        self->ScheduleFlush();
        self->Read();
      });
}

void Http2Connection::ScheduleFlush() {
  if (is_writing_ || is_flush_scheduled_ || !is_open_) return;
  is_flush_scheduled_ = true;
  // Frames submitted before the posted function runs share one write.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->is_flush_scheduled_ = false;
    self->Flush();
  });
}

void Http2Connection::Flush() {
  if (is_writing_ || !is_open_) return;
  output_.clear();
  while (output_.size() < kMaxWriteBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_, &data);
    if (size < 0) return Close();
    if (size == 0) break;
    output_.insert(output_.end(), data, data + size);
  }
  DispatchEvents();
  if (!is_open_) return;
  if (output_.empty()) {
    if (nghttp2_session_want_read(session_) == 0 &&
        nghttp2_session_want_write(session_) == 0)
      Close();
    return;
  }
  is_writing_ = true;
  asio::async_write(
      socket_, asio::buffer(output_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        self->is_writing_ = false;
        self->counters_->bytes_sent += size;
        if (error) return self->Close();
        self->Flush();
      });
}

void Http2Connection::DispatchEvents() {
  if (is_delivering_) return;
  is_delivering_ = true;
  const auto self = shared_from_this();
  // OnMessage() may append events by closing the connection.
  for (std::size_t i = 0; i < events_.size(); ++i) {
    Event event = std::move(events_[i]);
    if (event.is_message) {
      OnMessage(std::move(event.message));
    } else {
      OnStreamFailure(event.message.call, event.failure);
    }
  }
  events_.clear();
  is_delivering_ = false;
}

}  // namespace dogwood
