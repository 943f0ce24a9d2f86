#pragma once

#include <mutex>

namespace dogwood {

// Order in which a thread may take the locks of the shared tables: only a
// greater rank than every lock it already holds.
enum class LockRank : unsigned char {
  kSettings = 1,
  kMembers,
  kRouting,
  kSuspects,
  kGrants,
  kClaims,
  kUsage,
  kConnections,
  kLog,
};

// Called by RankedMutex; a violation is a broken invariant.
void CheckAndPushLockRank(LockRank rank);
void PopLockRank(LockRank rank);

// A mutex that checks the lock order in debug builds. Meets the standard
// Lockable requirements.
class RankedMutex {
 public:
  explicit RankedMutex(LockRank rank) : rank_(rank) {}

  RankedMutex(const RankedMutex&) = delete;
  RankedMutex& operator=(const RankedMutex&) = delete;

  LockRank rank() const { return rank_; }

  void lock() {
#ifndef NDEBUG
    CheckAndPushLockRank(rank_);
#endif
    mutex_.lock();
  }

  void unlock() {
    mutex_.unlock();
#ifndef NDEBUG
    PopLockRank(rank_);
#endif
  }

 private:
  std::mutex mutex_;
  LockRank rank_;
};

}  // namespace dogwood
