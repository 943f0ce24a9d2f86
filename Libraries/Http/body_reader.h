#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <concepts>
#include <span>
#include <string_view>

#include "Libraries/Http/byte_buffer.h"
#include "Libraries/Http/message_parser.h"

namespace dogwood {

template <typename Source>
concept ByteSource = requires(Source source) {
  {
    source.Fill()
    } -> std::same_as<boost::asio::awaitable<boost::system::error_code>>;
  { source.input() } -> std::same_as<ByteBuffer&>;
};

// Reads the body that follows a parsed head, without copying it.
template <ByteSource Source>
class BodyReader {
 public:
  // What one read brought. The slices stay valid until the next call.
  struct Piece {
    // Small chunks that arrived together are passed on together.
    static constexpr std::size_t kMostSlices = 8;

    std::array<std::string_view, kMostSlices> slices;
    std::size_t slice_count = 0;
    std::size_t size_bytes = 0;
    bool is_last = false;
    boost::system::error_code error;    // the source ended early
    std::optional<FramingFault> fault;  // the source broke the framing

    bool has_failed() const { return error || fault.has_value(); }
  };

  BodyReader(Source& source, MessageParser& parser)
      : source_(source), parser_(parser) {}

  boost::asio::awaitable<Piece> Next() {
    Release();
    Piece piece;
    bool needs_more = source_.input().empty();
    while (!parser_.is_complete()) {
      if (needs_more) {
        // The slices point into the buffer that Fill may move.
        if (piece.slice_count > 0) break;
        piece.error = co_await source_.Fill();
        if (piece.error) co_return piece;
      }
      const MessageParser::Step step =
          parser_.Feed(source_.input().data().substr(consumed_));
      if (step.fault) {
        piece.fault = step.fault;
        co_return piece;
      }
      if (!step.body.empty()) {
        piece.slices[piece.slice_count++] = step.body;
        piece.size_bytes += step.body.size();
      }
      consumed_ += step.consumed;
      if (piece.slice_count == 0) Release();
      if (piece.slice_count == Piece::kMostSlices && !parser_.is_complete())
        break;
      needs_more =
          step.needs_more || consumed_ == source_.input().data().size();
    }
    piece.is_last = parser_.is_complete();
    co_return piece;
  }

  // Whether bytes follow the end of the message.
  bool has_surplus() const {
    return parser_.is_complete() && source_.input().data().size() > consumed_;
  }

  // Gives up the bytes of the last piece.
  void Release() {
    source_.input().Consume(consumed_);
    consumed_ = 0;
  }

 private:
  Source& source_;
  MessageParser& parser_;
  std::size_t consumed_ = 0;  // parsed bytes still in the source's buffer
};

}  // namespace dogwood
