#include "Libraries/Http/message_parser.h"

#include <boost/beast/http/basic_parser.hpp>

#include "Libraries/Core/core.h"

namespace dogwood {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

std::string_view ToStringView(beast::string_view text) {
  return {text.data(), text.size()};
}

// State that the callbacks of the request and response parsers write.
struct ParserOutput {
  MessageHead head;
  std::string_view input;
  std::string_view body;
  std::optional<MessageParseError> parse_error;
  unsigned content_length_count = 0;     // Content-Length fields
  unsigned transfer_encoding_count = 0;  // Transfer-Encoding fields

  void AddField(std::string_view name, std::string_view value,
                beast::error_code& error) {
    const auto fail = [&](MessageParseError found) {
      parse_error = found;
      error = http::error::bad_field;
    };
    // Beast joins a folded value in a buffer of its own, so a value outside the
    // input was folded.
    if (!value.empty() && (value.data() < input.data() ||
                           value.data() >= input.data() + input.size())) {
      return fail(MessageParseError::kFoldedField);
    }
    if (EqualsIgnoringCase(name, "content-length")) {
      // Beast accepts a list of equal lengths as one length.
      if (++content_length_count > 1 ||
          value.find(',') != std::string_view::npos)
        return fail(MessageParseError::kConflictingFraming);
    }
    if (EqualsIgnoringCase(name, "transfer-encoding")) {
      if (++transfer_encoding_count > 1 ||
          !EqualsIgnoringCase(value, "chunked"))
        return fail(MessageParseError::kUnsupportedCoding);
    }
    if (content_length_count > 0 && transfer_encoding_count > 0)
      return fail(MessageParseError::kConflictingFraming);
    if (head.size_bytes() + name.size() + value.size() >
        MessageParser::kHeadLimitBytes) {
      return fail(MessageParseError::kHeadTooLarge);
    }
    head.AddField(name, value);
  }
};

template <bool kIsRequest>
class BeastParser : public http::basic_parser<kIsRequest> {
 public:
  explicit BeastParser(ParserOutput& output) : output_(output) {
    this->header_limit(MessageParser::kHeadLimitBytes);
    this->body_limit(boost::none);
    this->eager(false);
  }

 private:
  void on_request_impl(http::verb /*verb*/, beast::string_view method,
                       beast::string_view target, int version,
                       beast::error_code& /*error*/) override {
    output_.head.method.assign(method.data(), method.size());
    output_.head.target.assign(target.data(), target.size());
    output_.head.version = version;
  }
  void on_response_impl(int status, beast::string_view /*reason*/, int version,
                        beast::error_code& error) override {
    // Beast accepts any three digits.
    if (!IsValidStatus(status)) error = http::error::bad_status;
    output_.head.status = static_cast<unsigned>(status);
    output_.head.version = version;
  }
  void on_field_impl(http::field /*field*/, beast::string_view name,
                     beast::string_view value,
                     beast::error_code& error) override {
    // Trailer fields are dropped.
    if (this->is_header_done()) return;
    output_.AddField(ToStringView(name), ToStringView(value), error);
  }
  void on_header_impl(beast::error_code& /*error*/) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         beast::error_code& /*error*/) override {}
  std::size_t on_body_impl(beast::string_view body,
                           beast::error_code& /*error*/) override {
    output_.body = ToStringView(body);
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/,
                            beast::string_view /*extensions*/,
                            beast::error_code& /*error*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/,
                                 beast::string_view body,
                                 beast::error_code& /*error*/) override {
    output_.body = ToStringView(body);
    return body.size();
  }
  void on_finish_impl(beast::error_code& /*error*/) override {}

  ParserOutput& output_;
};

MessageParseError FromBeastError(const beast::error_code& error) {
  if (error == http::error::header_limit)
    return MessageParseError::kHeadTooLarge;
  if (error == http::error::multiple_content_length ||
      error == http::error::bad_transfer_encoding)
    return MessageParseError::kConflictingFraming;
  return MessageParseError::kMalformed;
}

}  // namespace

std::string_view DescribeParseError(MessageParseError parse_error) {
  switch (parse_error) {
    case MessageParseError::kMalformed:
      return "malformed message";
    case MessageParseError::kHeadTooLarge:
      return "header too large";
    case MessageParseError::kConflictingFraming:
      return "conflicting body lengths";
    case MessageParseError::kUnsupportedCoding:
      return "unsupported transfer coding";
    case MessageParseError::kFoldedField:
      return "folded header field";
    case MessageParseError::kOverheadTooLarge:
      return "too many bytes of chunk lines or trailers";
  }
  return "?";
}

struct MessageParser::Implementation {
  explicit Implementation(MessageKind message_kind) : kind(message_kind) {}

  // Calls the function with the parser of this kind of message.
  template <typename Function>
  auto VisitParser(Function function) {
    return kind == MessageKind::kRequest ? function(*request)
                                         : function(*response);
  }

  MessageKind kind;
  ParserOutput output;
  // A Beast parser parses one message; Reset() replaces it.
  std::optional<BeastParser<true>> request;
  std::optional<BeastParser<false>> response;
};

MessageParser::MessageParser(MessageKind kind)
    : implementation_(std::make_unique<Implementation>(kind)) {
  Reset();
}
MessageParser::~MessageParser() = default;
MessageParser::MessageParser(MessageParser&&) noexcept = default;
MessageParser& MessageParser::operator=(MessageParser&&) noexcept = default;

void MessageParser::Reset(bool is_response_to_head) {
  Implementation& state = *implementation_;
  state.output.head.Clear();
  state.output.parse_error.reset();
  state.output.content_length_count = 0;
  state.output.transfer_encoding_count = 0;
  if (state.kind == MessageKind::kRequest) {
    state.request.emplace(state.output);
  } else {
    state.response.emplace(state.output);
    state.response->skip(is_response_to_head);
  }
}

MessageParser::FeedResult MessageParser::Feed(std::string_view input) {
  VERIFY(!input.empty());
  VERIFY(!is_complete());
  ParserOutput& output = implementation_->output;
  output.input = input;
  output.body = {};
  FeedResult result;
  implementation_->VisitParser([&](auto& parser) {
    beast::error_code error;
    result.consumed_bytes = parser.put(
        boost::asio::const_buffer(input.data(), input.size()), error);
    if (error == http::error::need_more) {
      result.needs_more = true;
    } else if (error) {
      result.parse_error = output.parse_error.value_or(FromBeastError(error));
    }
  });
  result.body = output.body;
  return result;
}

bool MessageParser::is_head_complete() const {
  return implementation_->VisitParser(
      [](auto& parser) { return parser.is_header_done(); });
}

bool MessageParser::is_complete() const {
  return implementation_->VisitParser(
      [](auto& parser) { return parser.is_done(); });
}

const MessageHead& MessageParser::head() const {
  return implementation_->output.head;
}

BodyFraming MessageParser::framing() const {
  return implementation_->VisitParser([](auto& parser) {
    if (parser.chunked()) return BodyFraming::kChunked;
    if (parser.content_length()) return BodyFraming::kLength;
    return parser.need_eof() ? BodyFraming::kUntilClose : BodyFraming::kNone;
  });
}

std::uint64_t MessageParser::content_length() const {
  return implementation_->VisitParser(
      [](auto& parser) { return parser.content_length().value_or(0); });
}

bool MessageParser::is_keep_alive() const {
  return implementation_->VisitParser(
      [](auto& parser) { return parser.keep_alive(); });
}

}  // namespace dogwood
