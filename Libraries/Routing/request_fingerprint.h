#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace dogwood {

// Bytes of a body that count towards a fingerprint.
inline constexpr std::size_t kMaxFingerprintBodyBytes = 4096;

// Hash that is equal for resends of a request on all hosts. `identity` holds
// what identifies the request besides its body, such as method and target.
std::uint64_t ComputeRequestFingerprint(
    std::span<const std::string_view> identity, std::string_view body);

}  // namespace dogwood
