#include "Libraries/PeerLink/message_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using nlohmann::json;

// The decoder recurses once per nesting level, so deep nesting would exhaust
// the stack.
constexpr std::size_t kMaxNestingDepth = 64;
// A body up to this size cannot nest deeply enough to exhaust the stack and is
// decoded without a separate pass that checks the depth.
constexpr std::size_t kMaxUncheckedBodyBytes = 256;
constexpr std::size_t kMaxHostNameBytes = 255;

// SAX handler that accepts every value and fails at the depth limit.
class NestingDepthChecker : public nlohmann::json_sax<json> {
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
  bool Enter() { return ++depth_ <= kMaxNestingDepth; }
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
  // The parser throws on an array or object length that exceeds the address
  // space, even with exceptions disabled.
  try {
    NestingDepthChecker check;
    if (bytes.size() > kMaxUncheckedBodyBytes &&
        !json::sax_parse(bytes.begin(), bytes.end(), &check,
                         json::input_format_t::cbor)) {
      return Fail(ErrorCode::kProtocol,
                  "a peer message of " + std::to_string(bytes.size()) +
                      " bytes is malformed CBOR or nested deeper than " +
                      std::to_string(kMaxNestingDepth) + " levels");
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
    return {ErrorCode::kProtocol, "the error response of a peer has no code"};
  const auto code =
      kErrorCodeNames.FindValue(body["code"].get_ref<const std::string&>());
  if (!code)
    return {ErrorCode::kProtocol,
            "the error response of a peer has an unknown code"};
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
  // A minor version after a dot does not affect compatibility.
  if (!ParseNumber(version.substr(0, version.find('.')), envelope.version))
    return Fail(ErrorCode::kProtocol, "a peer message has no valid version");
  if (envelope.version == 0 || envelope.version > kPeerMessageVersion)
    return Fail(ErrorCode::kProtocol, "peer message version " +
                                          std::to_string(envelope.version) +
                                          " is not supported");
  if (sender.empty() || sender.size() > kMaxHostNameBytes)
    return Fail(ErrorCode::kProtocol, "the sender of a peer message has " +
                                          std::to_string(sender.size()) +
                                          " bytes, expected 1 to " +
                                          std::to_string(kMaxHostNameBytes));
  if (!ParseNumber(incarnation, number))
    return Fail(ErrorCode::kProtocol,
                "a peer message has no valid incarnation");
  envelope.sender = HostId(std::string(sender));
  envelope.incarnation = Incarnation(number);
  return envelope;
}

}  // namespace dogwood
