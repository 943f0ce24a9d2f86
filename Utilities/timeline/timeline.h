#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dogwood {

// One event line of one process.
struct TimelineEvent {
  std::int64_t wall = 0;  // microseconds since the Unix epoch
  std::string host;
  std::string zone;
  std::string process;
  int number = 0;
  std::string name;
  std::vector<std::pair<std::string, std::string>>
      fields;  // in the order of the line

  // The value of a field, or empty.
  std::string Field(const std::string& field_name) const;
};

// An event passes when it equals every given value.
struct TimelineFilter {
  std::optional<std::string> request;
  std::optional<std::string> change;
  std::optional<std::string> host;
  std::optional<std::string> zone;
  std::optional<int> lowest_number;
  std::optional<int> highest_number;

  bool Matches(const TimelineEvent& event) const;
};

// Parses one line; nullopt for a line that is not an event, for example one cut
// short by a crash.
std::optional<TimelineEvent> ParseTimelineEvent(const std::string& line);

class Timeline {
 public:
  // Adds the matching events of one process's log. Returns the number of lines
  // that are no events.
  std::size_t Add(std::istream& log, const TimelineFilter& filter);

  // All events by wall time; events of the same microsecond keep the order in
  // which they were added.
  const std::vector<TimelineEvent>& Sort();

 private:
  std::vector<TimelineEvent> events_;
};

// "HH:MM:SS.uuuuuu host zone process number name field=value ..."
std::string TimelineText(const TimelineEvent& event);

// A self-contained HTML page: one row a process, one mark an event, details on
// hover.
std::string TimelineHtml(const std::vector<TimelineEvent>& events);

}  // namespace dogwood
