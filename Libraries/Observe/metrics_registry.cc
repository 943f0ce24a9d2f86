#include "Libraries/Observe/metrics_registry.h"

#include <spdlog/fmt/fmt.h>

#include <array>

namespace dogwood {
namespace {

// Upper bounds of the histogram buckets that are exposed.
constexpr auto kExposedBucketBounds = std::to_array<Duration>({
    std::chrono::microseconds(250),
    std::chrono::microseconds(500),
    std::chrono::milliseconds(1),
    std::chrono::milliseconds(2),
    std::chrono::milliseconds(5),
    std::chrono::milliseconds(10),
    std::chrono::milliseconds(25),
    std::chrono::milliseconds(50),
    std::chrono::milliseconds(100),
    std::chrono::milliseconds(250),
    std::chrono::milliseconds(500),
    std::chrono::seconds(1),
    std::chrono::seconds(5),
    std::chrono::seconds(30),
});

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Encloses labels in braces; returns an empty string for no labels.
std::string FormatLabels(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

void AppendTypeLine(std::string& text, std::string& previous_name,
                    const std::string& name, std::string_view type) {
  if (name == previous_name) return;
  previous_name = name;
  text += fmt::format("# TYPE {} {}\n", name, type);
}

void AppendHistogram(std::string& text, const std::string& name,
                     const std::string& labels,
                     const LatencyHistogram& histogram) {
  const std::string label_prefix = labels.empty() ? "" : labels + ",";
  for (const Duration bound : kExposedBucketBounds) {
    text += fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", name, label_prefix,
                        ToSeconds(bound), histogram.CountUpTo(bound));
  }
  text += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", name, label_prefix,
                      histogram.count());
  text += fmt::format("{}_sum{} {}\n", name, FormatLabels(labels),
                      ToSeconds(histogram.sum()));
  text += fmt::format("{}_count{} {}\n", name, FormatLabels(labels),
                      histogram.count());
}

}  // namespace

Counter& MetricsRegistry::FindOrCreateCounter(const std::string& name,
                                              const std::string& labels) {
  const std::scoped_lock lock(mutex_);
  return counters_[{name, labels}];
}

Gauge& MetricsRegistry::FindOrCreateGauge(const std::string& name,
                                          const std::string& labels) {
  const std::scoped_lock lock(mutex_);
  return gauges_[{name, labels}];
}

LatencyHistogram& MetricsRegistry::FindOrCreateHistogram(
    const std::string& name, const std::string& labels) {
  const std::scoped_lock lock(mutex_);
  return histograms_[{name, labels}];
}

std::string MetricsRegistry::ToPrometheusText() const {
  const std::scoped_lock lock(mutex_);
  std::string text;
  std::string previous_name;
  for (const auto& [key, counter] : counters_) {
    AppendTypeLine(text, previous_name, key.first, "counter");
    text += fmt::format("{}{} {}\n", key.first, FormatLabels(key.second),
                        counter.value());
  }
  for (const auto& [key, gauge] : gauges_) {
    AppendTypeLine(text, previous_name, key.first, "gauge");
    text += fmt::format("{}{} {}\n", key.first, FormatLabels(key.second),
                        gauge.value());
  }
  for (const auto& [key, histogram] : histograms_) {
    AppendTypeLine(text, previous_name, key.first, "histogram");
    AppendHistogram(text, key.first, key.second, histogram);
  }
  return text;
}

}  // namespace dogwood
