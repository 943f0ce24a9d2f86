// dogwood-gateway: the load balancer process of an entry host.
#include <getopt.h>
#include <malloc.h>

#include <array>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "Services/Gateway/gateway.h"

namespace dogwood {
namespace {

constexpr int kExitUsage = 2;
// Larger allocations return to the system when they are freed. With 128 kB, the
// holes between bodies of mixed sizes took 4 MB of 64 MB.
constexpr int kMappedAllocationBytes = 64 << 10;
constexpr const char* kUsage =
    "Usage: dogwood-gateway [--settings FILE] [--metrics-port PORT]\n"
    "                       [--log-level debug|info|warning|error]\n"
    "                       [--check-config] [--version] [--help]\n"
    "Settings are read from the file that the platform names when --settings "
    "is absent.\n";

constexpr EnumNames<EventLevel, 4> kLevelNames{{{
    {EventLevel::kDebug, "debug"},
    {EventLevel::kInfo, "info"},
    {EventLevel::kWarning, "warning"},
    {EventLevel::kError, "error"},
}}};

struct CommandLine {
  std::string settings_path = platform::HostSettingsPath();
  std::optional<std::uint16_t> metrics_port;
  EventLevel level = EventLevel::kInfo;
  bool should_check_only = false;
  bool should_show_help = false;
  bool should_show_version = false;
};

Result<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || rest != end || port == 0) {
    return Fail(ErrorCode::kInvalidArgument, "--metrics-port: found \"" +
                                                 std::string(text) +
                                                 "\", allowed is 1 to 65535");
  }
  return port;
}

Result<CommandLine> ParseCommandLine(int argc, char** argv) {
  static const std::array<option, 7> kOptions = {{
      {"settings", required_argument, nullptr, 's'},
      {"metrics-port", required_argument, nullptr, 'm'},
      {"log-level", required_argument, nullptr, 'l'},
      {"check-config", no_argument, nullptr, 'c'},
      {"version", no_argument, nullptr, 'v'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0},
  }};
  CommandLine command;
  for (int option_character = 0;
       (option_character =
            getopt_long(argc, argv, "", kOptions.data(), nullptr)) != -1;) {
    switch (option_character) {
      case 's':
        command.settings_path = optarg;
        break;
      case 'm': {
        TRY_ASSIGN(command.metrics_port, ParsePort(optarg));
        break;
      }
      case 'l': {
        const auto level = kLevelNames.FindValue(optarg);
        if (!level)
          return Fail(ErrorCode::kInvalidArgument,
                      "--log-level: found \"" + std::string(optarg) +
                          "\", allowed are debug, info, warning, error");
        command.level = *level;
        break;
      }
      case 'c':
        command.should_check_only = true;
        break;
      case 'v':
        command.should_show_version = true;
        break;
      case 'h':
        command.should_show_help = true;
        break;
      default:
        return Fail(ErrorCode::kInvalidArgument, "unknown option");
    }
  }
  if (optind < argc)
    return Fail(ErrorCode::kInvalidArgument,
                "unexpected argument \"" + std::string(argv[optind]) + "\"");
  return command;
}

Result<void> Run(const CommandLine& command) {
  TRY_ASSIGN(platform::HostSettings settings,
             platform::LoadHostSettings(command.settings_path));
  if (command.should_check_only) {
    std::puts("settings are valid");
    return outcome::success();
  }
  EventLog::Options log_options;
  log_options.host = settings.host;
  log_options.zone = settings.zone;
  log_options.process = "dogwood-gateway";
  log_options.min_level = command.level;
  log_options.sink = EventSink::kStandardOutput;
  TRY_ASSIGN(auto log, EventLog::Open(log_options));
  boost::asio::io_context io(1);
  Gateway gateway(io, std::move(settings), command.settings_path,
                  std::move(log));
  TRY(gateway.Start(command.metrics_port));
  io.run();
  return outcome::success();
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  // A constant threshold: the C library would raise it when a large body is
  // freed, and keep the memory of later ones.
  mallopt(M_MMAP_THRESHOLD, dogwood::kMappedAllocationBytes);
  const auto command = dogwood::ParseCommandLine(argc, argv);
  if (!command) {
    std::fprintf(stderr, "dogwood-gateway: %s\n%s",
                 command.error().message.c_str(), dogwood::kUsage);
    return dogwood::kExitUsage;
  }
  if (command.value().should_show_help) {
    std::fputs(dogwood::kUsage, stdout);
    return EXIT_SUCCESS;
  }
  if (command.value().should_show_version) {
    std::puts("dogwood-gateway " DOGWOOD_VERSION);
    return EXIT_SUCCESS;
  }
  const auto result = dogwood::Run(command.value());
  if (result) return EXIT_SUCCESS;
  std::fprintf(stderr, "dogwood-gateway: %s\n",
               result.error().ToString().c_str());
  return EXIT_FAILURE;
}
