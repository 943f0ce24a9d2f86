// dogwood-timeline: merges the event logs of all processes into one time line.
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
    "Merges event logs by time; FILE - reads standard input.\n"
    "  --request ID    only events of this request\n"
    "  --change ID     only events of this settings change\n"
    "  --host NAME     only events of this host\n"
    "  --zone NAME     only events of hosts of this availability zone\n"
    "  --from N        only events with this number or a greater one\n"
    "  --to N          only events with this number or a smaller one\n"
    "  --html FILE     writes a picture as a self-contained HTML page instead "
    "of text\n"
    "  --help, --version\n"
    "Exit codes: 0 done, 1 a file could not be read or written, 2 wrong "
    "usage.\n";

constexpr option kOptions[] = {
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

int NumberOf(const std::string& text) {
  int value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

int PrintText(const std::vector<dogwood::TimelineEvent>& events) {
  for (const auto& event : events)
    std::printf("%s\n", dogwood::TimelineText(event).c_str());
  return 0;
}

int WriteHtml(const std::vector<dogwood::TimelineEvent>& events,
              const std::string& name) {
  std::ofstream file(name);
  file << dogwood::TimelineHtml(events);
  if (file.good()) return 0;
  std::fprintf(stderr, "dogwood-timeline: %s: could not be written\n",
               name.c_str());
  return 1;
}

int AddFile(dogwood::Timeline& timeline, const std::string& name,
            const dogwood::TimelineFilter& filter) {
  std::ifstream file;
  if (name != "-") {
    file.open(name);
    if (!file.is_open()) {
      std::fprintf(stderr, "dogwood-timeline: %s: could not be read\n",
                   name.c_str());
      return 1;
    }
  }
  const std::size_t other = timeline.Add(name == "-" ? std::cin : file, filter);
  if (other > 0) {
    std::fprintf(stderr, "dogwood-timeline: %s: %zu lines are no events\n",
                 name.c_str(), other);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  dogwood::TimelineFilter filter;
  std::string html;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    switch (choice) {
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
        filter.lowest_number = NumberOf(optarg);
        break;
      case 't':
        filter.highest_number = NumberOf(optarg);
        break;
      case 'o':
        html = optarg;
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
    if (AddFile(timeline, argv[i], filter) != 0) return 1;
  }
  return html.empty() ? PrintText(timeline.Sort())
                      : WriteHtml(timeline.Sort(), html);
}
