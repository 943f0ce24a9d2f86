#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "Libraries/Core/core.h"

namespace dogwood {

// Logarithmic histogram of durations up to about 9.5 hours; longer durations
// count in the last bucket. Buckets are 1 microsecond wide up to 16
// microseconds and about 6% wide above. Lock-free; all members may be called on
// any thread.
class LatencyHistogram {
 public:
  void Record(Duration duration);

  // Returns the upper bound of the bucket that contains the quantile (0 to 1),
  // or zero when the histogram is empty.
  Duration Quantile(double quantile) const;
  std::uint64_t count() const { return count_.load(std::memory_order_relaxed); }
  Duration sum() const {
    return Duration(sum_nanoseconds_.load(std::memory_order_relaxed));
  }

  // Returns the number of durations in the buckets that end at or below the
  // bound.
  std::uint64_t CountUpTo(Duration bound) const;

 private:
  static constexpr int kSubBucketsPerPower = 16;  // linear within a power of 2
  static constexpr int kPowerCount = 32;
  static constexpr int kBucketCount = kSubBucketsPerPower * kPowerCount;

  static int BucketIndex(Duration duration);
  static Duration BucketUpperBound(int bucket);

  std::array<std::atomic<std::uint64_t>, kBucketCount> bucket_counts_{};
  std::atomic<std::uint64_t> count_{0};
  std::atomic<std::int64_t> sum_nanoseconds_{0};
};

}  // namespace dogwood
