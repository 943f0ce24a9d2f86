#include "Libraries/Observe/observe.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

namespace dogwood {
namespace {

// Guards against an event that is missing from the documentation or differs
// from it.
TEST_CASE("docs/events.md lists exactly the events of the catalogue") {
  std::ifstream file(DOGWOOD_SOURCE_DIR "/docs/events.md");
  REQUIRE(file.is_open());
  std::stringstream expected;
  std::stringstream actual;
  for (const EventDescription& event : EventCatalogue()) {
    expected << "| " << static_cast<int>(event.id) << " | " << event.name
             << " | " << event.description << " |\n";
  }
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("| ") && line.size() > 2 && std::isdigit(line[2]))
      actual << line << "\n";
  }
  CHECK(actual.str() == expected.str());
}

// DescribeEvent() finds events by binary search.
TEST_CASE("The events of the catalogue are in ascending order") {
  const auto catalogue = EventCatalogue();
  for (std::size_t i = 1; i < catalogue.size(); ++i) {
    CHECK(catalogue[i - 1].id < catalogue[i].id);
  }
}

// Guards against bucket index errors that lose or shift values.
TEST_CASE("A quantile is at most one bucket above the exact value") {
  LatencyHistogram histogram;
  for (int i = 1; i <= 10000; ++i)
    histogram.Record(std::chrono::microseconds(i));
  CHECK(histogram.count() == 10000);
  CHECK(histogram.Quantile(0.5) >= std::chrono::microseconds(5000));
  CHECK(histogram.Quantile(0.5) <= std::chrono::microseconds(5350));
  CHECK(histogram.Quantile(0.99) >= std::chrono::microseconds(9900));
  CHECK(histogram.Quantile(0.99) <= std::chrono::microseconds(10600));
}

TEST_CASE("The exposition has one TYPE line for each metric name") {
  MetricsRegistry registry;
  registry.FindOrCreateCounter("requests_total", "service=\"a\"").Add(2);
  registry.FindOrCreateCounter("requests_total", "service=\"b\"").Add(3);
  registry.FindOrCreateGauge("in_work").Set(-1);
  CHECK(registry.ToPrometheusText() ==
        "# TYPE requests_total counter\n"
        "requests_total{service=\"a\"} 2\n"
        "requests_total{service=\"b\"} 3\n"
        "# TYPE in_work gauge\n"
        "in_work -1\n");
}

}  // namespace
}  // namespace dogwood
