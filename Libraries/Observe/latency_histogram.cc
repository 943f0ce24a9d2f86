#include "Libraries/Observe/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace dogwood {

int LatencyHistogram::BucketIndex(Duration duration) {
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  const auto value =
      static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 0));
  if (value < kSubBucketsPerPower) return static_cast<int>(value);
  const int exponent =
      static_cast<int>(std::bit_width(value)) -
      static_cast<int>(std::bit_width<std::uint64_t>(kSubBucketsPerPower));
  const int sub_bucket =
      static_cast<int>(value >> exponent) - kSubBucketsPerPower;
  return std::min(kSubBucketsPerPower * (exponent + 1) + sub_bucket,
                  kBucketCount - 1);
}

Duration LatencyHistogram::BucketUpperBound(int bucket) {
  if (bucket < kSubBucketsPerPower)
    return std::chrono::microseconds(bucket + 1);
  const int exponent = bucket / kSubBucketsPerPower - 1;
  const std::int64_t sub_bucket = bucket % kSubBucketsPerPower;
  return std::chrono::microseconds((kSubBucketsPerPower + sub_bucket + 1)
                                   << exponent);
}

void LatencyHistogram::Record(Duration duration) {
  bucket_counts_[BucketIndex(duration)].fetch_add(1, std::memory_order_relaxed);
  count_.fetch_add(1, std::memory_order_relaxed);
  sum_nanoseconds_.fetch_add(duration.count(), std::memory_order_relaxed);
}

Duration LatencyHistogram::Quantile(double quantile) const {
  const std::uint64_t total = count();
  if (total == 0) return Duration::zero();
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(total)));
  std::uint64_t cumulative_count = 0;
  for (int bucket = 0; bucket < kBucketCount; ++bucket) {
    cumulative_count += bucket_counts_[bucket].load(std::memory_order_relaxed);
    if (cumulative_count >= rank) return BucketUpperBound(bucket);
  }
  return BucketUpperBound(kBucketCount - 1);
}

std::uint64_t LatencyHistogram::CountUpTo(Duration bound) const {
  std::uint64_t cumulative_count = 0;
  for (int bucket = 0;
       bucket < kBucketCount && BucketUpperBound(bucket) <= bound; ++bucket) {
    cumulative_count += bucket_counts_[bucket].load(std::memory_order_relaxed);
  }
  return cumulative_count;
}

}  // namespace dogwood
