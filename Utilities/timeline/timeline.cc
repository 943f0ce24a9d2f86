#include "Utilities/timeline/timeline.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kMaxEventNumber = 65535;
constexpr std::int64_t kMicrosecondsPerSecond = 1000000;

std::string ToText(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

bool MatchesIfSet(const std::optional<std::string>& expected,
                  const std::string& actual) {
  return !expected.has_value() || *expected == actual;
}

}  // namespace

std::string TimelineEvent::FieldOrEmpty(const std::string& field_name) const {
  for (const auto& [key, value] : fields) {
    if (key == field_name) return value;
  }
  return "";
}

bool TimelineFilter::Matches(const TimelineEvent& event) const {
  return MatchesIfSet(request, event.FieldOrEmpty("request")) &&
         MatchesIfSet(change, event.FieldOrEmpty("change")) &&
         MatchesIfSet(host, event.host) && MatchesIfSet(zone, event.zone) &&
         event.event_number >= min_event_number.value_or(0) &&
         event.event_number <= max_event_number.value_or(kMaxEventNumber);
}

std::optional<TimelineEvent> ParseTimelineEvent(const std::string& line) {
  const Json json = Json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("wall") ||
      !json["wall"].is_number_integer() || !json.contains("event") ||
      !json["event"].is_number_integer()) {
    return std::nullopt;
  }
  TimelineEvent event;
  for (const auto& [key, value] : json.items()) {
    if (key == "wall") {
      event.wall_microseconds = value.get<std::int64_t>();
    } else if (key == "event") {
      event.event_number = value.get<int>();
    } else if (key == "host") {
      event.host = ToText(value);
    } else if (key == "zone") {
      event.zone = ToText(value);
    } else if (key == "process") {
      event.process = ToText(value);
    } else if (key == "name") {
      event.name = ToText(value);
    } else {
      event.fields.emplace_back(key, ToText(value));
    }
  }
  return event;
}

std::size_t Timeline::AddLog(std::istream& log, const TimelineFilter& filter) {
  std::size_t invalid_lines = 0;
  for (std::string line; std::getline(log, line);) {
    std::optional<TimelineEvent> event = ParseTimelineEvent(line);
    if (!event.has_value()) {
      ++invalid_lines;
    } else if (filter.Matches(*event)) {
      events_.push_back(std::move(*event));
    }
  }
  return invalid_lines;
}

const std::vector<TimelineEvent>& Timeline::SortByTime() {
  std::stable_sort(events_.begin(), events_.end(),
                   [](const TimelineEvent& a, const TimelineEvent& b) {
                     return a.wall_microseconds < b.wall_microseconds;
                   });
  return events_;
}

std::string FormatTimelineEvent(const TimelineEvent& event) {
  const std::time_t seconds = event.wall_microseconds / kMicrosecondsPerSecond;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char clock[40];
  std::snprintf(
      clock, sizeof(clock), "%02d:%02d:%02d.%06d", utc.tm_hour, utc.tm_min,
      utc.tm_sec,
      static_cast<int>(event.wall_microseconds % kMicrosecondsPerSecond));
  std::string text = std::string(clock) + " " + event.host + " " + event.zone +
                     " " + event.process + " " +
                     std::to_string(event.event_number) + " " + event.name;
  for (const auto& [key, value] : event.fields) {
    text += ' ';
    text += key;
    text += '=';
    text += value;
  }
  return text;
}

}  // namespace dogwood
