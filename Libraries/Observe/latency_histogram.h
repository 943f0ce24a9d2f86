#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "Libraries/Core/core.h"

namespace dogwood {

// Counts durations in buckets of about 6% relative width from 1 microsecond to
// about 70 minutes. Recording is lock-free and may run on any thread.
class LatencyHistogram {
 public:
  void Record(Duration duration);

  // Upper bound of the bucket that holds the given quantile (0 to 1); zero when
  // empty.
  Duration Quantile(double quantile) const;
  std::uint64_t count() const { return count_.load(std::memory_order_relaxed); }
  Duration sum() const {
    return Duration(sum_.load(std::memory_order_relaxed));
  }

  // Number of recorded durations up to and including the bound.
  std::uint64_t CountUpTo(Duration bound) const;

 private:
  static constexpr int kSubBuckets = 16;  // per power of two
  static constexpr int kPowers = 32;
  static constexpr int kBuckets = kSubBuckets * kPowers;

  static int BucketOf(Duration duration);
  static Duration UpperBound(int bucket);

  std::array<std::atomic<std::uint64_t>, kBuckets> buckets_{};
  std::atomic<std::uint64_t> count_{0};
  std::atomic<std::int64_t> sum_{0};
};

}  // namespace dogwood
