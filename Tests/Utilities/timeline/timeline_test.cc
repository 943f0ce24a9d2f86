#include "Utilities/timeline/timeline.h"

#include <doctest/doctest.h>

#include <sstream>

namespace dogwood {
namespace {

constexpr char kFirstLog[] =
    R"({"wall":1000002,"host":"a","zone":"z1","process":"p","event":2001,"name":"n","request":"r1"}
{"wall":1000009,"host":"a","zone":"z1","process":"p","event":1001,"name":"stopped","cut":0}
{"wall":10000)";
constexpr char kSecondLog[] =
    R"({"wall":1000005,"host":"b","zone":"z2","process":"p","event":2000,"name":"m","request":"r1"})";

std::vector<TimelineEvent> Merge(const TimelineFilter& filter) {
  Timeline timeline;
  std::istringstream first(kFirstLog);
  std::istringstream second(kSecondLog);
  // The last line of the first log is truncated, as by a crash.
  CHECK(timeline.AddLog(first, filter) == 1);
  CHECK(timeline.AddLog(second, filter) == 0);
  return timeline.SortByTime();
}

TEST_CASE("Events of several processes are merged by wall time") {
  const auto events = Merge({});
  REQUIRE(events.size() == 3);
  CHECK(events[0].host == "a");
  CHECK(events[1].host == "b");
  CHECK(FormatTimelineEvent(events[2]) ==
        "00:00:01.000009 a z1 p 1001 stopped cut=0");
}

TEST_CASE(
    "Filters select events by request, change, host, zone and event number") {
  CHECK(Merge({.request = "r1"}).size() == 2);
  CHECK(Merge({.request = "r1", .host = "b"}).size() == 1);
  CHECK(Merge({.zone = "z1"}).size() == 2);
  CHECK(Merge({.min_event_number = 2000, .max_event_number = 2000}).size() ==
        1);
  CHECK(Merge({.change = "c"}).empty());
}

// Guards against HTML injection: callers choose the text of some event fields.
TEST_CASE("The HTML page escapes event fields") {
  TimelineEvent event{
      .wall_microseconds = 1, .host = "a", .process = "p", .name = "n"};
  event.fields.emplace_back("error", "<script>");
  const std::string html = RenderTimelineHtml({event});
  CHECK(html.find("<script>") == std::string::npos);
  CHECK(html.find("error=&lt;script&gt;") != std::string::npos);
}

}  // namespace
}  // namespace dogwood
