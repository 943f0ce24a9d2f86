#pragma once

#include <cstdint>

#include "Libraries/Routing/linked_pool.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// A permit of this host that a peer uses for one request.
struct LentPermit {
  ServerIndex server = kInvalidIndex;
  std::uint32_t slot = 0;
  HostIndex borrower = kInvalidIndex;
  std::uint64_t borrow_id = 0;
  TimePoint next_query_at;
  // End of the takeover delay once the borrower has left the fleet.
  TimePoint reclaim_at = TimePoint::max();
};

using LentPermits = LinkedPool<LentPermit>;

// A borrow request that this host sent to one peer.
struct OutgoingBorrow {
  enum class State : std::uint8_t { kPending, kInUse };
  std::uint64_t id = 0;
  HostIndex peer = kInvalidIndex;
  std::uint32_t entry =
      kInvalidIndex;  // queue entry of the request, while pending
  State state = State::kPending;
  TimePoint sent;
};

// The low bits of a borrow id are the index in the pool of outgoing borrows,
// the high bits a generation counter.
inline constexpr std::uint32_t kBorrowIndexBits = 20;

using OutgoingBorrows = LinkedPool<OutgoingBorrow>;

inline std::uint32_t BorrowIndex(std::uint64_t borrow_id) {
  return static_cast<std::uint32_t>(borrow_id &
                                    ((1ULL << kBorrowIndexBits) - 1));
}

}  // namespace dogwood
