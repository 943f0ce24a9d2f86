#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Major version of the messages; a receiver refuses a higher one.
inline constexpr std::uint32_t kPeerMessageVersion = 1;

// Fields that every message carries. They travel as HTTP/2 headers instead of
// CBOR fields because HPACK sends a repeated header in one byte.
struct PeerEnvelope {
  std::uint32_t version = kPeerMessageVersion;
  HostId sender;
  Incarnation incarnation;
};

// Refuses malformed CBOR and nesting deeper than 64 levels with kProtocol.
Result<nlohmann::json> DecodeBody(std::span<const std::uint8_t> bytes);
// An empty object becomes an empty body.
std::vector<std::uint8_t> EncodeBody(const nlohmann::json& body);

// The body of a failed response and back. An unreadable body gives kProtocol.
nlohmann::json ErrorToJson(const Error& error);
Error ErrorFromJson(const nlohmann::json& body);

// Refuses missing, malformed and unsupported values with kProtocol.
Result<PeerEnvelope> ParseEnvelope(std::string_view version,
                                   std::string_view sender,
                                   std::string_view incarnation);

}  // namespace dogwood
