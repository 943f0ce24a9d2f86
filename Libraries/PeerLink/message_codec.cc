#include "Libraries/PeerLink/message_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using nlohmann::json;

// The decoder recurses once per level of nesting.
constexpr std::size_t kDeepestNesting = 64;
// A body of this size cannot nest deeply enough to exhaust the stack, so it
// needs no pass of its own to check the depth.
constexpr std::size_t kUncheckedBytes = 256;
constexpr std::size_t kLongestHostName = 255;

// Accepts every value and stops at the depth limit.
class DepthCheck : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Exit(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Exit(); }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Enter() { return ++depth_ <= kDeepestNesting; }
  bool Exit() {
    --depth_;
    return true;
  }

  std::size_t depth_ = 0;
};

template <typename Number>
bool ParseNumber(std::string_view text, Number& number) {
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  return error == std::errc{} && rest == end;
}

}  // namespace

Result<json> DecodeBody(std::span<const std::uint8_t> bytes) {
  if (bytes.empty()) return json::object();
  // The parser throws on an array or object length that no memory could hold,
  // even when exceptions are disallowed.
  try {
    DepthCheck check;
    if (bytes.size() > kUncheckedBytes &&
        !json::sax_parse(bytes.begin(), bytes.end(), &check,
                         json::input_format_t::cbor)) {
      return Fail(ErrorCode::kProtocol, "a peer message is malformed CBOR");
    }
    json body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (body.is_discarded())
      return Fail(ErrorCode::kProtocol, "a peer message is malformed CBOR");
    return body;
  } catch (const json::exception& exception) {
    return Fail(
        ErrorCode::kProtocol,
        std::string("a peer message is malformed CBOR: ") + exception.what());
  }
}

std::vector<std::uint8_t> EncodeBody(const json& body) {
  if (body.is_object() && body.empty()) return {};
  return json::to_cbor(body);
}

json ErrorToJson(const Error& error) {
  return {{"code", kErrorCodeNames.NameOf(error.code)},
          {"message", error.message}};
}

Error ErrorFromJson(const json& body) {
  if (!body.is_object() || !body.contains("code") || !body["code"].is_string())
    return {ErrorCode::kProtocol, "a peer refused a message without a code"};
  const auto code =
      kErrorCodeNames.ValueOf(body["code"].get_ref<const std::string&>());
  if (!code)
    return {ErrorCode::kProtocol, "a peer refused a message, code unknown"};
  Error error{*code, ""};
  if (body.contains("message") && body["message"].is_string())
    error.message = body["message"].get<std::string>();
  return error;
}

Result<PeerEnvelope> ParseEnvelope(std::string_view version,
                                   std::string_view sender,
                                   std::string_view incarnation) {
  PeerEnvelope envelope;
  std::uint64_t number = 0;
  // A minor version after a dot is compatible.
  if (!ParseNumber(version.substr(0, version.find('.')), envelope.version))
    return Fail(ErrorCode::kProtocol, "a peer message has no version");
  if (envelope.version == 0 || envelope.version > kPeerMessageVersion)
    return Fail(ErrorCode::kProtocol, "peer message version " +
                                          std::to_string(envelope.version) +
                                          " is not supported");
  if (sender.empty() || sender.size() > kLongestHostName)
    return Fail(ErrorCode::kProtocol, "a peer message has no sender");
  if (!ParseNumber(incarnation, number))
    return Fail(ErrorCode::kProtocol, "a peer message has no incarnation");
  envelope.sender = HostId(std::string(sender));
  envelope.incarnation = Incarnation(number);
  return envelope;
}

}  // namespace dogwood
