#include <cstdio>
#include <map>

#include "Utilities/timeline/timeline.h"

namespace dogwood {
namespace {

constexpr int kRowHeight = 22;    // pixels
constexpr int kLabelWidth = 240;  // pixels
constexpr int kPlotWidth = 1100;  // pixels
constexpr int kRightMargin = 20;  // pixels

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

// Events whose numbers share the thousands digit have the same color.
const char* ColorOf(int event_number) {
  switch (event_number / 1000) {
    case 1:
      return "#333333";
    case 2:
      return "#c0392b";
    case 3:
      return "#d68910";
    case 4:
      return "#2471a3";
    case 5:
      return "#1e8449";
    case 6:
      return "#7d3c98";
    default:
      return "#7f8c8d";
  }
}

}  // namespace

std::string RenderTimelineHtml(const std::vector<TimelineEvent>& events) {
  std::map<std::string, int> rows;
  for (const TimelineEvent& event : events)
    rows.emplace(event.host + " " + event.process, 0);
  int next_row = 0;
  for (auto& [name, row] : rows) row = next_row++;
  const std::int64_t first =
      events.empty() ? 0 : events.front().wall_microseconds;
  const std::int64_t length =
      events.empty()
          ? 1
          : std::max<std::int64_t>(events.back().wall_microseconds - first, 1);
  const int height = kRowHeight * (next_row + 1);
  std::string html =
      "<!doctype html><meta charset=\"utf-8\"><title>dogwoodcourse "
      "timeline</title>\n"
      "<style>body{font:13px "
      "sans-serif}svg{background:#fafafa}text{font-size:12px}"
      "circle:hover{stroke:#000;stroke-width:2}</style>\n";
  html += "<p>" + std::to_string(events.size()) + " events over " +
          std::to_string(static_cast<double>(length) / 1e6) + " s</p>\n";
  html += "<svg width=\"" +
          std::to_string(kLabelWidth + kPlotWidth + kRightMargin) +
          "\" height=\"" + std::to_string(height) + "\">\n";
  for (const auto& [name, row] : rows) {
    const int y = kRowHeight * (row + 1);
    html += "<text x=\"4\" y=\"" + std::to_string(y + 4) + "\">" +
            EscapeHtml(name) + "</text>";
    html += "<line x1=\"" + std::to_string(kLabelWidth) + "\" x2=\"" +
            std::to_string(kLabelWidth + kPlotWidth) + "\" y1=\"" +
            std::to_string(y) + "\" y2=\"" + std::to_string(y) +
            "\" stroke=\"#ddd\"/>\n";
  }
  for (const TimelineEvent& event : events) {
    const int y = kRowHeight * (rows[event.host + " " + event.process] + 1);
    const std::int64_t x =
        kLabelWidth + (event.wall_microseconds - first) * kPlotWidth / length;
    html += "<circle cx=\"" + std::to_string(x) + "\" cy=\"" +
            std::to_string(y) + "\" r=\"4\" fill=\"" +
            ColorOf(event.event_number) + "\"><title>" +
            EscapeHtml(FormatTimelineEvent(event)) + "</title></circle>\n";
  }
  return html + "</svg>\n";
}

}  // namespace dogwood
