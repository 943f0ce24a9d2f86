#pragma once

#include <algorithm>
#include <cstdint>

namespace dogwood {

// Connections that a backend server accepts from the whole fleet.
inline constexpr std::uint32_t kConnectionsPerServer = 260;

// Connections that one host may keep to a backend server.
constexpr std::uint32_t ConnectionCap(std::uint32_t live_hosts) {
  return std::max(1U, kConnectionsPerServer / std::max(1U, live_hosts));
}

}  // namespace dogwood
