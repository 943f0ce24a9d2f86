#pragma once

#include <cstdint>

#include "Libraries/Routing/linked_pool.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// A permit of this host that a peer holds for one request.
struct LentPermit {
  ServerIndex server = kNoIndex;
  std::uint32_t slot = 0;
  HostIndex borrower = kNoIndex;
  std::uint64_t borrow_id = 0;
  TimePoint next_query;
  // When the borrower is gone from the view: the end of the takeover delay.
  TimePoint reclaim_at = TimePoint::max();
};

using LentPermits = LinkedPool<LentPermit>;

// A borrow request of this host at one peer.
struct OwnBorrow {
  enum class State : std::uint8_t { kPending, kInUse };
  std::uint64_t id = 0;
  HostIndex peer = kNoIndex;
  std::uint32_t entry = kNoIndex;  // of the waiting request, while pending
  State state = State::kPending;
  TimePoint sent;
};

// The low bits of a borrow id are its index in the pool, the rest counts up.
inline constexpr std::uint32_t kBorrowIndexBits = 20;

using OwnBorrows = LinkedPool<OwnBorrow>;

inline std::uint32_t BorrowIndexOf(std::uint64_t borrow_id) {
  return static_cast<std::uint32_t>(borrow_id &
                                    ((1ULL << kBorrowIndexBits) - 1));
}

}  // namespace dogwood
