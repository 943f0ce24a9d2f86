#pragma once

#include <cstdint>
#include <string_view>

namespace dogwood {

// Hash of a name that is equal on all hosts.
std::uint64_t HashName(std::string_view name);

// Combines two hashes with the finalizer of SplitMix64.
constexpr std::uint64_t CombineHashes(std::uint64_t left, std::uint64_t right) {
  std::uint64_t value = left + 0x9e3779b97f4a7c15ULL * (right + 1);
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// Rendezvous hashing (highest random weight): the weight of a host for one
// slot. The live host with the greatest weight owns the slot.
constexpr std::uint64_t RendezvousWeight(std::uint64_t host,
                                         std::uint64_t server,
                                         std::uint32_t slot) {
  return CombineHashes(CombineHashes(host, server), slot);
}

}  // namespace dogwood
