#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dogwood {

// Outcome of a request as the caller sees it.
enum class LoadOutcome { kAnswered, kNotRun, kUnknown, kFailed };

// Result of one request.
struct LoadResult {
  std::uint32_t stream_index = 0;
  LoadOutcome outcome = LoadOutcome::kFailed;
  double latency_milliseconds = 0;  // from the scheduled start
  double start_offset_seconds = 0;  // scheduled start in the run
};

// Counts by outcome, and latency quantiles of answered requests.
struct LoadSummary {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t failed = 0;
  double p50_milliseconds = 0;
  double p99_milliseconds = 0;
  double p999_milliseconds = 0;
};

// Returns the value at a quantile between 0 and 1 by the nearest-rank method,
// or 0 without values. Sorts the values.
double Quantile(std::vector<double>& values, double quantile);

LoadSummary SummarizeResults(const std::vector<LoadResult>& results);
// Counts every latency as an answered request.
LoadSummary SummarizeLatencies(std::vector<double> latencies_milliseconds);

// Serializes a summary as a JSON object.
std::string ToJson(const LoadSummary& summary);
// Header and rows of the summary table on standard output.
std::string FormatTableHeader();
std::string FormatTableRow(const std::string& name, const LoadSummary& summary);

}  // namespace dogwood
