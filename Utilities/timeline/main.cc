// dogwood-timeline: merges the event logs of several processes into one
// timeline.
#include <getopt.h>

#include <charconv>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

#include "Utilities/timeline/timeline.h"

namespace {

constexpr char kUsage[] =
    "usage: dogwood-timeline [options] FILE...\n"
    "Merges event logs by time. \"-\" as FILE reads standard input.\n"
    "  --request ID    only events of this request\n"
    "  --change ID     only events of this settings change\n"
    "  --host NAME     only events of this host\n"
    "  --zone NAME     only events of hosts of this availability zone\n"
    "  --from N        only events with this event number or a greater one\n"
    "  --to N          only events with this event number or a smaller one\n"
    "  --html FILE     writes a chart as a self-contained HTML page instead "
    "of text\n"
    "  --help, --version\n"
    "Exit codes: 0 done, 1 a file could not be read or written, 2 usage "
    "error.\n";

constexpr option kLongOptions[] = {
    {"request", required_argument, nullptr, 'r'},
    {"change", required_argument, nullptr, 'c'},
    {"host", required_argument, nullptr, 'h'},
    {"zone", required_argument, nullptr, 'z'},
    {"from", required_argument, nullptr, 'f'},
    {"to", required_argument, nullptr, 't'},
    {"html", required_argument, nullptr, 'o'},
    {"help", no_argument, nullptr, 'H'},
    {"version", no_argument, nullptr, 'V'},
    {},
};

// Returns 0 for text that does not start with a number.
int ParseEventNumber(const std::string& text) {
  int value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

int PrintText(const std::vector<dogwood::TimelineEvent>& events) {
  for (const auto& event : events)
    std::printf("%s\n", dogwood::FormatTimelineEvent(event).c_str());
  return 0;
}

int WriteHtml(const std::vector<dogwood::TimelineEvent>& events,
              const std::string& path) {
  std::ofstream file(path);
  file << dogwood::RenderTimelineHtml(events);
  if (file.good()) return 0;
  std::fprintf(stderr,
               "dogwood-timeline: %s: the HTML page could not be written\n",
               path.c_str());
  return 1;
}

int AddLogFile(dogwood::Timeline& timeline, const std::string& path,
               const dogwood::TimelineFilter& filter) {
  std::ifstream file;
  if (path != "-") {
    file.open(path);
    if (!file.is_open()) {
      std::fprintf(stderr,
                   "dogwood-timeline: %s: the event log could not be opened\n",
                   path.c_str());
      return 1;
    }
  }
  const std::size_t invalid_lines =
      timeline.AddLog(path == "-" ? std::cin : file, filter);
  if (invalid_lines > 0) {
    std::fprintf(
        stderr, "dogwood-timeline: %s: skipped %zu lines that are not events\n",
        path.c_str(), invalid_lines);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  dogwood::TimelineFilter filter;
  std::string html_path;
  int option_letter = 0;
  while ((option_letter = getopt_long(argc, argv, "", kLongOptions, nullptr)) !=
         -1) {
    switch (option_letter) {
      case 'r':
        filter.request = optarg;
        break;
      case 'c':
        filter.change = optarg;
        break;
      case 'h':
        filter.host = optarg;
        break;
      case 'z':
        filter.zone = optarg;
        break;
      case 'f':
        filter.min_event_number = ParseEventNumber(optarg);
        break;
      case 't':
        filter.max_event_number = ParseEventNumber(optarg);
        break;
      case 'o':
        html_path = optarg;
        break;
      case 'H':
        std::fputs(kUsage, stdout);
        return 0;
      case 'V':
        std::puts("dogwood-timeline " DOGWOOD_VERSION);
        return 0;
      default:
        std::fputs(kUsage, stderr);
        return 2;
    }
  }
  if (optind == argc) {
    std::fputs(kUsage, stderr);
    return 2;
  }
  dogwood::Timeline timeline;
  for (int i = optind; i < argc; ++i) {
    if (AddLogFile(timeline, argv[i], filter) != 0) return 1;
  }
  return html_path.empty() ? PrintText(timeline.SortByTime())
                           : WriteHtml(timeline.SortByTime(), html_path);
}
