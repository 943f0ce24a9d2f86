#pragma once

#include <mutex>

namespace dogwood {

// Lock order of the shared tables: a thread may take a lock only if its rank is
// greater than the ranks of all locks that the thread holds.
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

// Called by RankedMutex; abort the process if the lock order is violated.
void CheckAndPushLockRank(LockRank rank);
void PopLockRank(LockRank rank);

// Mutex that checks the lock order in debug builds. Meets the BasicLockable
// requirements.
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
