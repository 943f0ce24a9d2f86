#include <doctest/doctest.h>

#include <cmath>
#include <string>
#include <vector>

#include "Utilities/load/central_queue.h"
#include "Utilities/load/load_options.h"
#include "Utilities/load/load_report.h"

namespace dogwood {
namespace {

Arrival ArrivalAt(std::int64_t microseconds, std::uint32_t work) {
  return {std::chrono::microseconds(microseconds), 0, work};
}

// Guards against comparing policies on different requests.
TEST_CASE(
    "Arrivals are equal for equal seeds and have the stated rate and mean "
    "work") {
  const std::vector<LoadStream> streams{
      {.rate = 2000, .work_milliseconds = 10}};
  const auto first = MakeArrivals(streams, std::chrono::seconds(20), 7);
  const auto second = MakeArrivals(streams, std::chrono::seconds(20), 7);
  REQUIRE(first.size() == second.size());
  double work = 0;
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].at == second[i].at);
    CHECK(first[i].work_microseconds == second[i].work_microseconds);
    work += first[i].work_microseconds;
  }
  CHECK(std::abs(static_cast<double>(first.size()) - 40000) < 1000);
  CHECK(std::abs(work / static_cast<double>(first.size()) - 10000) < 300);
}

TEST_CASE(
    "A central queue serves in order of arrival when all slots are taken") {
  const std::vector<Arrival> arrivals{ArrivalAt(0, 1000), ArrivalAt(0, 3000),
                                      ArrivalAt(100, 500), ArrivalAt(200, 100)};
  const auto latencies = CentralQueueLatencies(arrivals, 0, 2, 1, {});
  CHECK(latencies == std::vector<double>{1.0, 3.0, 1.4, 1.4});
}

// Guards against a stand-in that runs work at full speed through slow windows.
TEST_CASE("Work takes three times as long in slow windows") {
  SlowdownPattern always_slow;
  always_slow.slow_percent = 100;
  CHECK(always_slow.EndOfWork(0, 10000, 20000) == 70000);
  SlowdownPattern never_slow;
  CHECK(never_slow.EndOfWork(0, 10000, 90000) == 100000);
}

TEST_CASE("One fifth of the windows is slow") {
  SlowdownPattern pattern;
  pattern.slow_percent = 20;
  int slow = 0;
  for (std::int64_t window = 0; window < 10000; ++window) {
    if (pattern.SpeedAt(3, window * 50000) < 1) ++slow;
  }
  CHECK(std::abs(slow - 2000) < 150);
}

TEST_CASE(
    "Quantiles take the value at the rank, and unknown outcomes are not "
    "latencies") {
  std::vector<double> values{4, 1, 3, 2};
  CHECK(Quantile(values, 0.5) == 2);
  CHECK(Quantile(values, 1) == 4);
  const LoadSummary summary = Summarize({{0, LoadOutcome::kAnswered, 5, 0},
                                         {0, LoadOutcome::kUnknown, 900, 0},
                                         {0, LoadOutcome::kNotRun, 1, 0}});
  CHECK(summary.requests == 3);
  CHECK(summary.answered == 1);
  CHECK(summary.unknown == 1);
  CHECK(summary.not_run == 1);
  CHECK(summary.p99 == 5);
}

TEST_CASE("A stream option that does not exist is refused by name") {
  const auto refused = ParseLoadStream("service=proofs,speed=3");
  REQUIRE(refused.has_error());
  CHECK(refused.error().message == "stream option \"speed\" does not exist");
  const auto stream = ParseLoadStream("service=proofs,rate=20,keys=yes");
  REQUIRE(stream.has_value());
  CHECK(stream.value().rate == 20);
  CHECK(stream.value().has_keys);
}

}  // namespace
}  // namespace dogwood
