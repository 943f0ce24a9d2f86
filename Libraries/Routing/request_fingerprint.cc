#include "Libraries/Routing/request_fingerprint.h"

#include <xxhash.h>

namespace dogwood {
namespace {

constexpr std::uint64_t kHashMultiplier = 31;

// Hashes the length of each part as well, so that moving a byte from one part
// to the next changes the result.
std::uint64_t AddPart(std::uint64_t hash, std::string_view part) {
  return XXH3_64bits_withSeed(part.data(), part.size(),
                              hash * kHashMultiplier + part.size());
}

}  // namespace

std::uint64_t ComputeRequestFingerprint(
    std::span<const std::string_view> identity, std::string_view body) {
  std::uint64_t hash = 0;
  for (const std::string_view part : identity) hash = AddPart(hash, part);
  return AddPart(hash, body.substr(0, kMaxFingerprintBodyBytes));
}

}  // namespace dogwood
