#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Major version of the messages. A receiver rejects a greater one.
inline constexpr std::uint32_t kPeerMessageVersion = 1;

// Fields of every message. They are HTTP/2 headers instead of CBOR fields
// because HPACK encodes a repeated header in one byte.
struct PeerEnvelope {
  std::uint32_t version = kPeerMessageVersion;
  HostId sender;
  Incarnation incarnation;
};

// Fails with kProtocol on malformed CBOR and on nesting deeper than 64 levels.
// An empty body is an empty object.
Result<nlohmann::json> DecodeBody(std::span<const std::uint8_t> bytes);
// Encodes as CBOR; an empty object becomes an empty body.
std::vector<std::uint8_t> EncodeBody(const nlohmann::json& body);

// Convert an error to the body of an error response and back. An invalid body
// becomes an error with kProtocol.
nlohmann::json ErrorToJson(const Error& error);
Error ErrorFromJson(const nlohmann::json& body);

// Fails with kProtocol on a missing, malformed or unsupported value.
Result<PeerEnvelope> ParseEnvelope(std::string_view version,
                                   std::string_view sender,
                                   std::string_view incarnation);

}  // namespace dogwood
