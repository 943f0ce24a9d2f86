#include "Utilities/load/load_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace dogwood {

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(
      std::ceil(quantile * static_cast<double>(values.size())));
  return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

LoadSummary SummarizeLatencies(std::vector<double> latencies_milliseconds) {
  LoadSummary summary;
  summary.requests = latencies_milliseconds.size();
  summary.answered = latencies_milliseconds.size();
  summary.p50_milliseconds = Quantile(latencies_milliseconds, 0.5);
  summary.p99_milliseconds = Quantile(latencies_milliseconds, 0.99);
  summary.p999_milliseconds = Quantile(latencies_milliseconds, 0.999);
  return summary;
}

LoadSummary SummarizeResults(const std::vector<LoadResult>& results) {
  std::vector<double> latencies_milliseconds;
  LoadSummary counts;
  for (const LoadResult& result : results) {
    switch (result.outcome) {
      case LoadOutcome::kAnswered:
        latencies_milliseconds.push_back(result.latency_milliseconds);
        break;
      case LoadOutcome::kNotRun:
        ++counts.not_run;
        break;
      case LoadOutcome::kUnknown:
        ++counts.unknown;
        break;
      case LoadOutcome::kFailed:
        ++counts.failed;
        break;
    }
  }
  LoadSummary summary = SummarizeLatencies(std::move(latencies_milliseconds));
  summary.requests = results.size();
  summary.not_run = counts.not_run;
  summary.unknown = counts.unknown;
  summary.failed = counts.failed;
  return summary;
}

std::string ToJson(const LoadSummary& summary) {
  return nlohmann::ordered_json{{"requests", summary.requests},
                                {"answered", summary.answered},
                                {"not_run", summary.not_run},
                                {"unknown", summary.unknown},
                                {"failed", summary.failed},
                                {"p50_ms", summary.p50_milliseconds},
                                {"p99_ms", summary.p99_milliseconds},
                                {"p999_ms", summary.p999_milliseconds}}
      .dump();
}

std::string FormatTableHeader() {
  return "stream                          requests  answered  not-run  unknown "
         " failed   p50 ms   "
         "p99 ms  p999 ms\n";
}

std::string FormatTableRow(const std::string& name,
                           const LoadSummary& summary) {
  char line[256];
  std::snprintf(line, sizeof(line),
                "%-30s %9llu %9llu %8llu %8llu %7llu %8.2f %8.2f %8.2f\n",
                name.c_str(), static_cast<unsigned long long>(summary.requests),
                static_cast<unsigned long long>(summary.answered),
                static_cast<unsigned long long>(summary.not_run),
                static_cast<unsigned long long>(summary.unknown),
                static_cast<unsigned long long>(summary.failed),
                summary.p50_milliseconds, summary.p99_milliseconds,
                summary.p999_milliseconds);
  return line;
}

}  // namespace dogwood
