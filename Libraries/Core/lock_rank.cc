#include "Libraries/Core/lock_rank.h"

#include <algorithm>
#include <vector>

#include "Libraries/Core/verify.h"

namespace dogwood {
namespace {

std::vector<LockRank>& HeldRanks() {
  thread_local std::vector<LockRank> ranks;
  return ranks;
}

}  // namespace

void CheckAndPushLockRank(LockRank rank) {
  std::vector<LockRank>& ranks = HeldRanks();
  VERIFY(ranks.empty() || ranks.back() < rank);
  ranks.push_back(rank);
}

void PopLockRank(LockRank rank) {
  std::vector<LockRank>& ranks = HeldRanks();
  const auto held = std::find(ranks.rbegin(), ranks.rend(), rank);
  VERIFY(held != ranks.rend());
  ranks.erase(std::next(held).base());
}

}  // namespace dogwood
