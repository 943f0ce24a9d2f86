#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <numeric>
#include <utility>

#include "Services/Gateway/response_memory.h"

namespace dogwood {

// Memory for the requests that a host holds and for the connections to callers.
// When a request finds it used up, the request that arrives most slowly is
// given up first.
class RequestMemory {
 public:
  // Bodies may take this fraction of the process's memory limit. A body of
  // 64 MiB, the largest that callers send, fits that of a host with 160 MB.
  static constexpr std::size_t kBodyNumerator = 7;
  static constexpr std::size_t kBodyDivisor = 16;
  // What heads take beyond this size...
  static constexpr std::size_t kFreeHeadBytes = std::size_t{4} << 10U;
  // ...may take this fraction.
  static constexpr std::size_t kLargeHeadDivisor = 16;
  // What a connection takes before its request counts: kFreeHeadBytes, the free
  // part of the receive buffer, and the state of its coroutines.
  static constexpr std::size_t kConnectionBytes = std::size_t{16} << 10U;
  // Connections may take this fraction: 3,840 of them on a host with 160 MB.
  static constexpr std::size_t kConnectionNumerator = 3;
  static constexpr std::size_t kConnectionDivisor = 8;

  enum class Part {
    kBody,
    kLargeHead,  // beyond kFreeHeadBytes of each head
    kConnection
  };

  RequestMemory(std::size_t process_memory_bytes,
                ResponseMemory& response_memory)
      : max_bytes_{process_memory_bytes / kBodyDivisor * kBodyNumerator,
                   process_memory_bytes / kLargeHeadDivisor,
                   process_memory_bytes / kConnectionDivisor *
                       kConnectionNumerator},
        response_memory_(response_memory) {}

  bool has_room(Part part, std::size_t bytes) const {
    return used_bytes(part) + bytes <=
               max_bytes_[static_cast<std::size_t>(part)] &&
           response_memory_.has_room_for_requests(used_bytes() + bytes);
  }
  // Returns false, and reserves nothing, when the memory is used up and no
  // request can be given up.
  bool try_reserve(Part part, std::size_t bytes) {
    while (!has_room(part, bytes)) {
      if (!give_up_slowest_ || !give_up_slowest_(part)) return false;
    }
    Add(part, bytes);
    return true;
  }
  // For an accepted connection. Those that wait are accepted when there is
  // room.
  void AddConnection() { Add(Part::kConnection, kConnectionBytes); }
  void Release(Part part, std::size_t bytes) {
    used_bytes_[static_cast<std::size_t>(part)] -= bytes;
    response_memory_.set_request_bytes(used_bytes());
  }
  // Sets what gives up the request that arrives most slowly and releases its
  // memory. It returns false when there is none that holds such memory.
  void set_give_up_slowest(std::function<bool(Part)> give_up_slowest) {
    give_up_slowest_ = std::move(give_up_slowest);
  }
  std::size_t used_bytes(Part part) const {
    return used_bytes_[static_cast<std::size_t>(part)];
  }
  std::size_t used_bytes() const {
    return std::accumulate(used_bytes_.begin(), used_bytes_.end(),
                           std::size_t{0});
  }

 private:
  static constexpr std::size_t kPartCount = 3;

  void Add(Part part, std::size_t bytes) {
    used_bytes_[static_cast<std::size_t>(part)] += bytes;
    response_memory_.set_request_bytes(used_bytes());
  }

  // Indexed by Part.
  std::array<std::size_t, kPartCount> max_bytes_;
  std::array<std::size_t, kPartCount> used_bytes_{};
  ResponseMemory& response_memory_;
  std::function<bool(Part)> give_up_slowest_;
};

}  // namespace dogwood
