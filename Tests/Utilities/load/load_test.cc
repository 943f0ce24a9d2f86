#include <doctest/doctest.h>

#include <cmath>
#include <string>
#include <vector>

#include "Utilities/load/central_queue_simulation.h"
#include "Utilities/load/load_options.h"
#include "Utilities/load/load_report.h"

namespace dogwood {
namespace {

Arrival MakeArrival(std::int64_t start_microseconds,
                    std::uint32_t work_microseconds) {
  return {std::chrono::microseconds(start_microseconds), 0, work_microseconds};
}

// Guards against comparing placement policies on different requests.
TEST_CASE(
    "Arrivals are equal for equal seeds and have the configured rate and mean "
    "service time") {
  const std::vector<LoadStream> streams{
      {.requests_per_second = 2000, .mean_work_milliseconds = 10}};
  const auto first = GenerateArrivals(streams, std::chrono::seconds(20), 7);
  const auto second = GenerateArrivals(streams, std::chrono::seconds(20), 7);
  REQUIRE(first.size() == second.size());
  double work_microseconds = 0;
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].start_offset == second[i].start_offset);
    CHECK(first[i].work_microseconds == second[i].work_microseconds);
    work_microseconds += first[i].work_microseconds;
  }
  CHECK(std::abs(static_cast<double>(first.size()) - 40000) < 1000);
  CHECK(std::abs(work_microseconds / static_cast<double>(first.size()) -
                 10000) < 300);
}

TEST_CASE(
    "A central queue serves in order of arrival while all slots are busy") {
  const std::vector<Arrival> arrivals{
      MakeArrival(0, 1000), MakeArrival(0, 3000), MakeArrival(100, 500),
      MakeArrival(200, 100)};
  const auto latencies = SimulateCentralQueue(arrivals, 0, 2, 1, {});
  CHECK(latencies == std::vector<double>{1.0, 3.0, 1.4, 1.4});
}

// Guards against work that runs at full speed through slow windows.
TEST_CASE("Work takes three times as long in slow windows") {
  SlowdownPattern always_slow;
  always_slow.slow_percent = 100;
  CHECK(always_slow.CompletionTime(0, 10000, 20000) == 70000);
  SlowdownPattern never_slow;
  CHECK(never_slow.CompletionTime(0, 10000, 90000) == 100000);
}

TEST_CASE("The configured fifth of the windows is slow") {
  SlowdownPattern pattern;
  pattern.slow_percent = 20;
  int slow_windows = 0;
  for (std::int64_t window = 0; window < 10000; ++window) {
    if (pattern.SpeedAt(3, window * 50000) < 1) ++slow_windows;
  }
  CHECK(std::abs(slow_windows - 2000) < 150);
}

TEST_CASE(
    "Quantiles use the nearest rank, and only answered requests count as "
    "latencies") {
  std::vector<double> values{4, 1, 3, 2};
  CHECK(Quantile(values, 0.5) == 2);
  CHECK(Quantile(values, 1) == 4);
  const LoadSummary summary =
      SummarizeResults({{0, LoadOutcome::kAnswered, 5, 0},
                        {0, LoadOutcome::kUnknown, 900, 0},
                        {0, LoadOutcome::kNotRun, 1, 0}});
  CHECK(summary.requests == 3);
  CHECK(summary.answered == 1);
  CHECK(summary.unknown == 1);
  CHECK(summary.not_run == 1);
  CHECK(summary.p99_milliseconds == 5);
}

TEST_CASE("An unknown stream option is rejected by name") {
  const auto rejected = ParseLoadStream("service=proofs,speed=3");
  REQUIRE(rejected.has_error());
  CHECK(rejected.error().message == "stream option \"speed\" does not exist");
  const auto stream = ParseLoadStream("service=proofs,rate=20,keys=yes");
  REQUIRE(stream.has_value());
  CHECK(stream.value().requests_per_second == 20);
  CHECK(stream.value().has_idempotency_keys);
}

}  // namespace
}  // namespace dogwood
