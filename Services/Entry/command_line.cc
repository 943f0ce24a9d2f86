#include "Services/Entry/command_line.h"

#include <getopt.h>

#include <array>

namespace dogwood {

Result<CommandLine> CommandLine::Parse(int argument_count, char** arguments) {
  static const std::array<option, 5> kOptions = {{
      {"config", required_argument, nullptr, 'c'},
      {"check-config", no_argument, nullptr, 'k'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'V'},
      {nullptr, 0, nullptr, 0},
  }};
  CommandLine line;
  optind = 0;  // 0 restarts getopt, which keeps state between calls
  opterr = 0;
  while (true) {
    const int letter = getopt_long(argument_count, arguments, ":c:hV",
                                   kOptions.data(), nullptr);
    if (letter == -1) break;
    switch (letter) {
      case 'c':
        line.configuration_file = optarg;
        break;
      case 'k':
        line.action = Action::kCheckConfiguration;
        break;
      case 'h':
        line.action = Action::kShowHelp;
        return line;
      case 'V':
        line.action = Action::kShowVersion;
        return line;
      case ':':
        return Fail(
            ErrorCode::kInvalidArgument,
            std::string("option needs a value: ") + arguments[optind - 1]);
      default:
        return Fail(ErrorCode::kInvalidArgument,
                    std::string("unknown option: ") + arguments[optind - 1]);
    }
  }
  if (optind < argument_count) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("unexpected argument: ") + arguments[optind]);
  }
  if (line.configuration_file.empty())
    return Fail(ErrorCode::kInvalidArgument, "--config FILE is required");
  return line;
}

std::string_view CommandLine::Help() {
  return R"(Usage: dogwood-entry --config FILE [--check-config]

Relays callers' requests to backend servers.

  -c, --config FILE   process settings (JSON)
      --check-config  check the settings and the fleet file, then exit
  -h, --help          show this text
  -V, --version       show the version

SIGTERM or SIGINT begins a graceful shutdown; a second one ends it at once.

Exit codes: 0 success, 1 failure at run time or requests cut by a forced stop,
2 wrong usage or configuration.
)";
}

}  // namespace dogwood
