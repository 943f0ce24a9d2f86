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

// Why the input is not a well-formed HTTP/1.1 message.
enum class MessageParseError {
  kMalformed,           // syntax error in the start line, a field or a chunk
  kHeadTooLarge,        // larger than kHeadLimitBytes
  kConflictingFraming,  // several lengths, or a length with chunked
  kUnsupportedCoding,   // a transfer coding other than chunked
  kFoldedField,         // a field continued on the next line
  kOverheadTooLarge,    // too many bytes of chunk lines or trailers
};

// Description for logs and error responses.
std::string_view DescribeParseError(MessageParseError parse_error);

// Strict incremental parser for the HTTP/1.1 messages of one connection. Body
// bytes are not copied: Feed() returns views into its input.
class MessageParser {
 public:
  // Limit for the start line and the fields together.
  static constexpr std::size_t kHeadLimitBytes = std::size_t{16} * 1024;

  // Result of one call of Feed().
  struct FeedResult {
    std::size_t consumed_bytes = 0;  // parsed bytes at the front of the input
    std::string_view body;           // body bytes within the parsed input
    bool needs_more = false;         // the parser needs further input
    std::optional<MessageParseError> parse_error;
  };

  explicit MessageParser(MessageKind kind);
  ~MessageParser();
  MessageParser(MessageParser&&) noexcept;
  MessageParser& operator=(MessageParser&&) noexcept;

  // Prepares for the next message. The response to a HEAD request has no body
  // whatever its fields state.
  void Reset(bool is_response_to_head = false);

  // Parses non-empty input up to the end of the head or through one contiguous
  // range of body bytes.
  FeedResult Feed(std::string_view input);

  bool is_head_complete() const;
  bool is_complete() const;
  const MessageHead& head() const;

  // The following require a complete head.
  BodyFraming framing() const;
  std::uint64_t content_length() const;  // 0 unless framing is kLength
  bool is_keep_alive() const;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace dogwood
