#pragma once

#include <algorithm>
#include <cstdint>

namespace dogwood {

// Connections that all hosts together may open to one backend server.
inline constexpr std::uint32_t kMaximumConnectionsPerServer = 260;

// Connections that one host may open to one backend server.
constexpr std::uint32_t MaximumConnectionsPerHost(std::uint32_t live_hosts) {
  return std::max(1U, kMaximumConnectionsPerServer / std::max(1U, live_hosts));
}

}  // namespace dogwood
