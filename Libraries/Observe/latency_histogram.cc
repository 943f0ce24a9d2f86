#include "Libraries/Observe/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace dogwood {

int LatencyHistogram::BucketOf(Duration duration) {
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  const auto value =
      static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 0));
  if (value < kSubBuckets) return static_cast<int>(value);
  const int power =
      static_cast<int>(std::bit_width(value)) -
      static_cast<int>(std::bit_width<std::uint64_t>(kSubBuckets));
  const int sub = static_cast<int>(value >> power) - kSubBuckets;
  return std::min(kSubBuckets * (power + 1) + sub, kBuckets - 1);
}

Duration LatencyHistogram::UpperBound(int bucket) {
  if (bucket < kSubBuckets) return std::chrono::microseconds(bucket + 1);
  const int power = bucket / kSubBuckets - 1;
  const std::int64_t sub = bucket % kSubBuckets;
  return std::chrono::microseconds((kSubBuckets + sub + 1) << power);
}

void LatencyHistogram::Record(Duration duration) {
  buckets_[BucketOf(duration)].fetch_add(1, std::memory_order_relaxed);
  count_.fetch_add(1, std::memory_order_relaxed);
  sum_.fetch_add(duration.count(), std::memory_order_relaxed);
}

Duration LatencyHistogram::Quantile(double quantile) const {
  const std::uint64_t total = count();
  if (total == 0) return Duration::zero();
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(total)));
  std::uint64_t seen = 0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    seen += buckets_[bucket].load(std::memory_order_relaxed);
    if (seen >= rank) return UpperBound(bucket);
  }
  return UpperBound(kBuckets - 1);
}

std::uint64_t LatencyHistogram::CountUpTo(Duration bound) const {
  std::uint64_t seen = 0;
  for (int bucket = 0; bucket < kBuckets && UpperBound(bucket) <= bound;
       ++bucket) {
    seen += buckets_[bucket].load(std::memory_order_relaxed);
  }
  return seen;
}

}  // namespace dogwood
