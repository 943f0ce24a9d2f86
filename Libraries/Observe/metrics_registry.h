#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "Libraries/Observe/latency_histogram.h"

namespace dogwood {

// Monotonically increasing count.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// Value that can increase and decrease.
class Gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// Owns all counters, gauges and histograms of a process. Each lookup takes a
// lock, so hot paths keep the returned reference, which is valid for the
// lifetime of the registry.
class MetricsRegistry {
 public:
  // Each returns the metric with this name and label set and creates it on
  // first use. `labels` is the text between the braces of the exposition
  // format, for example `service="tracking"`; it may be empty.
  Counter& FindOrCreateCounter(const std::string& name,
                               const std::string& labels = "");
  Gauge& FindOrCreateGauge(const std::string& name,
                           const std::string& labels = "");
  // The exposition is in seconds.
  LatencyHistogram& FindOrCreateHistogram(const std::string& name,
                                          const std::string& labels = "");

  // Returns all metrics in the Prometheus text exposition format, version
  // 0.0.4.
  std::string ToPrometheusText() const;

 private:
  using Key = std::pair<std::string, std::string>;  // name and labels

  mutable std::mutex mutex_;
  std::map<Key, Counter> counters_;
  std::map<Key, Gauge> gauges_;
  std::map<Key, LatencyHistogram> histograms_;
};

}  // namespace dogwood
