#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <concepts>
#include <cstdint>
#include <span>
#include <string_view>

#include "Libraries/Http/message_parser.h"
#include "Libraries/Http/receive_buffer.h"

namespace dogwood {

// A connection with a receive buffer. Fill() waits for input and appends it.
template <typename Source>
concept BufferedSource = requires(Source source) {
  {
    source.Fill()
    } -> std::same_as<boost::asio::awaitable<boost::system::error_code>>;
  { source.input() } -> std::same_as<ReceiveBuffer&>;
};

// Reads the message body that follows a parsed head, without copying it.
template <BufferedSource Source>
class BodyReader {
 public:
  // Chunk lines and trailers that take more bytes than this, and more than
  // kMaxOverheadFactor times the body so far, are a parse error: their sender
  // would hold the connection without sending a body. Chunks of one byte take
  // five bytes each.
  static constexpr std::uint64_t kFreeOverheadBytes = std::uint64_t{64} << 10U;
  static constexpr std::uint64_t kMaxOverheadFactor = 8;

  // Result of one read. The slices are valid until the next call of ReadSome()
  // or Release().
  struct ReadResult {
    // Several chunks of the chunked coding that arrived together are returned
    // together and can be forwarded in one gather write.
    static constexpr std::size_t kMaxSlices = 8;

    std::array<std::string_view, kMaxSlices> slices;
    std::size_t slice_count = 0;
    std::size_t size_bytes = 0;
    bool is_last = false;
    // Set if reading the source failed.
    boost::system::error_code error;
    // Set if the bytes break HTTP framing.
    std::optional<MessageParseError> parse_error;

    bool has_failed() const { return error || parse_error.has_value(); }
  };

  BodyReader(Source& source, MessageParser& parser)
      : source_(source), parser_(parser) {}

  boost::asio::awaitable<ReadResult> ReadSome() {
    Release();
    ReadResult piece;
    bool needs_more = source_.input().empty();
    while (!parser_.is_complete()) {
      if (needs_more) {
        // Fill() may move the bytes that the slices point to.
        if (piece.slice_count > 0) break;
        // A chunk line or the trailers do not fit the receive buffer.
        if (source_.input().is_full()) {
          piece.parse_error = MessageParseError::kOverheadTooLarge;
          co_return piece;
        }
        piece.error = co_await source_.Fill();
        if (piece.error) co_return piece;
      }
      const MessageParser::FeedResult step =
          parser_.Feed(source_.input().data().substr(parsed_bytes_));
      if (step.parse_error) {
        piece.parse_error = step.parse_error;
        co_return piece;
      }
      if (!step.body.empty()) {
        piece.slices[piece.slice_count++] = step.body;
        piece.size_bytes += step.body.size();
      }
      parsed_bytes_ += step.consumed_bytes;
      body_bytes_ += step.body.size();
      overhead_bytes_ += step.consumed_bytes - step.body.size();
      if (overhead_bytes_ >
          kFreeOverheadBytes + kMaxOverheadFactor * body_bytes_) {
        piece.parse_error = MessageParseError::kOverheadTooLarge;
        co_return piece;
      }
      if (piece.slice_count == 0) Release();
      if (piece.slice_count == ReadResult::kMaxSlices && !parser_.is_complete())
        break;
      needs_more =
          step.needs_more || parsed_bytes_ == source_.input().data().size();
    }
    piece.is_last = parser_.is_complete();
    co_return piece;
  }

  // Returns whether the buffer holds bytes after the end of the message.
  bool has_excess_input() const {
    return parser_.is_complete() &&
           source_.input().data().size() > parsed_bytes_;
  }

  // Discards the bytes of the last piece and invalidates its slices.
  void Release() {
    source_.input().Consume(parsed_bytes_);
    parsed_bytes_ = 0;
  }

 private:
  Source& source_;
  MessageParser& parser_;
  std::size_t parsed_bytes_ = 0;  // parsed bytes at the front of the buffer
  std::uint64_t body_bytes_ = 0;
  std::uint64_t overhead_bytes_ = 0;  // of chunk lines and trailers
};

}  // namespace dogwood
