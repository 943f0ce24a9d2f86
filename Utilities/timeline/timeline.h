#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dogwood {

// One line of a process's event log.
struct TimelineEvent {
  std::int64_t wall_microseconds = 0;  // since the Unix epoch
  std::string host;
  std::string zone;
  std::string process;
  int event_number = 0;
  std::string name;
  // The remaining fields, in the order of the line.
  std::vector<std::pair<std::string, std::string>> fields;

  // Returns the value of one of the remaining fields.
  std::string FieldOrEmpty(const std::string& field_name) const;
};

// Selects events that match every criterion that is set.
struct TimelineFilter {
  std::optional<std::string> request;
  std::optional<std::string> change;
  std::optional<std::string> host;
  std::optional<std::string> zone;
  std::optional<int> min_event_number;
  std::optional<int> max_event_number;

  bool Matches(const TimelineEvent& event) const;
};

// Returns nullopt for a line that is not an event, for example one truncated by
// a crash.
std::optional<TimelineEvent> ParseTimelineEvent(const std::string& line);

// Events of the logs of several processes.
class Timeline {
 public:
  // Adds the matching events of a log. Returns the number of lines that are not
  // events.
  std::size_t AddLog(std::istream& log, const TimelineFilter& filter);

  // Returns all events by wall time. Events of the same microsecond keep the
  // order in which they were added.
  const std::vector<TimelineEvent>& SortByTime();

 private:
  std::vector<TimelineEvent> events_;
};

// "HH:MM:SS.uuuuuu host zone process number name field=value ...", in UTC.
std::string FormatTimelineEvent(const TimelineEvent& event);

// Renders a self-contained HTML page with one row per process and one mark per
// event, whose details show on hover. The events must be in order of time.
std::string RenderTimelineHtml(const std::vector<TimelineEvent>& events);

}  // namespace dogwood
