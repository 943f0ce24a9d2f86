#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "Libraries/Http/message_head.h"

namespace dogwood {

enum class MessageKind { kRequest, kResponse };

// How the body of a message is delimited.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

// Why bytes are not a well-formed HTTP/1.1 message.
enum class FramingFault {
  kMalformed,           // start line, field or chunk breaks the grammar
  kHeadTooLarge,        // over kHeadLimitBytes
  kConflictingFraming,  // two lengths, or a length with chunked
  kUnsupportedCoding,   // a transfer coding other than chunked
  kFoldedField,         // a field continued on the next line
};

std::string_view TextOf(FramingFault fault);

// Incremental strict parser of one HTTP/1.1 message after another. Body bytes
// are never copied: Feed points into the bytes it was given.
class MessageParser {
 public:
  // Greatest size of start line and fields together.
  static constexpr std::size_t kHeadLimitBytes = std::size_t{16} * 1024;

  struct Step {
    std::size_t consumed = 0;  // bytes of the input that are done with
    std::string_view body;     // body bytes within the consumed input
    bool needs_more = false;   // no progress without further input
    std::optional<FramingFault> fault;
  };

  explicit MessageParser(MessageKind kind);
  ~MessageParser();
  MessageParser(MessageParser&&) noexcept;
  MessageParser& operator=(MessageParser&&) noexcept;

  // Prepares for the next message. `is_bodiless` marks a response to HEAD.
  void Reset(bool is_bodiless = false);

  // Parses one step of non-empty input: up to the end of the head, or one piece
  // of the body.
  Step Feed(std::string_view input);

  bool is_head_complete() const;
  bool is_complete() const;
  const MessageHead& head() const;

  // The following need a complete head.
  BodyFraming framing() const;
  std::uint64_t content_length() const;  // 0 unless framing is kLength
  bool is_keep_alive() const;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace dogwood
