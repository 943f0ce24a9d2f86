#include "Utilities/timeline/timeline.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::ordered_json;

std::string TextOf(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

bool EqualsIfGiven(const std::optional<std::string>& wanted,
                   const std::string& actual) {
  return !wanted.has_value() || *wanted == actual;
}

}  // namespace

std::string TimelineEvent::Field(const std::string& field_name) const {
  for (const auto& [key, value] : fields) {
    if (key == field_name) return value;
  }
  return "";
}

bool TimelineFilter::Matches(const TimelineEvent& event) const {
  return EqualsIfGiven(request, event.Field("request")) &&
         EqualsIfGiven(change, event.Field("change")) &&
         EqualsIfGiven(host, event.host) && EqualsIfGiven(zone, event.zone) &&
         event.number >= lowest_number.value_or(0) &&
         event.number <= highest_number.value_or(65535);
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
      event.wall = value.get<std::int64_t>();
    } else if (key == "event") {
      event.number = value.get<int>();
    } else if (key == "host") {
      event.host = TextOf(value);
    } else if (key == "zone") {
      event.zone = TextOf(value);
    } else if (key == "process") {
      event.process = TextOf(value);
    } else if (key == "name") {
      event.name = TextOf(value);
    } else {
      event.fields.emplace_back(key, TextOf(value));
    }
  }
  return event;
}

std::size_t Timeline::Add(std::istream& log, const TimelineFilter& filter) {
  std::size_t other_lines = 0;
  for (std::string line; std::getline(log, line);) {
    std::optional<TimelineEvent> event = ParseTimelineEvent(line);
    if (!event.has_value()) {
      ++other_lines;
    } else if (filter.Matches(*event)) {
      events_.push_back(std::move(*event));
    }
  }
  return other_lines;
}

const std::vector<TimelineEvent>& Timeline::Sort() {
  std::stable_sort(events_.begin(), events_.end(),
                   [](const TimelineEvent& a, const TimelineEvent& b) {
                     return a.wall < b.wall;
                   });
  return events_;
}

std::string TimelineText(const TimelineEvent& event) {
  const std::time_t seconds = event.wall / 1000000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char clock[40];
  std::snprintf(clock, sizeof(clock), "%02d:%02d:%02d.%06d", utc.tm_hour,
                utc.tm_min, utc.tm_sec, static_cast<int>(event.wall % 1000000));
  std::string text = std::string(clock) + " " + event.host + " " + event.zone +
                     " " + event.process + " " + std::to_string(event.number) +
                     " " + event.name;
  for (const auto& [key, value] : event.fields) {
    text += ' ';
    text += key;
    text += '=';
    text += value;
  }
  return text;
}

}  // namespace dogwood
