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
  CommandLine command_line;
  optind = 0;  // resets the state that getopt keeps between calls
  opterr = 0;
  while (true) {
    const int option_character = getopt_long(argument_count, arguments, ":c:hV",
                                             kOptions.data(), nullptr);
    if (option_character == -1) break;
    switch (option_character) {
      case 'c':
        command_line.configuration_file = optarg;
        break;
      case 'k':
        command_line.action = Action::kCheckConfiguration;
        break;
      case 'h':
        command_line.action = Action::kShowHelp;
        return command_line;
      case 'V':
        command_line.action = Action::kShowVersion;
        return command_line;
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
  if (command_line.configuration_file.empty())
    return Fail(ErrorCode::kInvalidArgument, "--config FILE is required");
  return command_line;
}

std::string_view CommandLine::HelpText() {
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
