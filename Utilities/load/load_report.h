#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dogwood {

// How a request ended for the caller.
enum class LoadOutcome { kAnswered, kNotRun, kUnknown, kFailed };

struct LoadResult {
  std::uint32_t stream = 0;
  LoadOutcome outcome = LoadOutcome::kFailed;
  double milliseconds = 0;  // from the intended start
  double at_seconds = 0;    // intended start since the start of the run
};

struct LoadSummary {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t failed = 0;
  double p50 = 0;  // milliseconds, of answered requests
  double p99 = 0;
  double p999 = 0;
};

// Value at a quantile (0 to 1) of the values, which are sorted in place; 0 when
// there are none.
double Quantile(std::vector<double>& values, double quantile);

LoadSummary Summarize(const std::vector<LoadResult>& results);
LoadSummary SummarizeLatencies(std::vector<double> milliseconds);

// JSON object of a summary.
std::string ToJson(const LoadSummary& summary);
// One line of a table, and its heading.
std::string TableHeading();
std::string TableLine(const std::string& name, const LoadSummary& summary);

}  // namespace dogwood
