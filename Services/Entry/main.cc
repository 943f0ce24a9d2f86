#include <cstdio>
#include <random>

#include "Services/Entry/baseline_dispatcher.h"
#include "Services/Entry/command_line.h"
#include "Services/Entry/entry_host.h"
#include "Services/Entry/entry_settings.h"

namespace {

using namespace dogwood;  // NOLINT(google-build-using-namespace)

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

void PrintError(const std::string& message) {
  std::fprintf(stderr, "dogwood-entry: %s\n", message.c_str());
}

Result<EntrySettings> LoadSettings(const std::string& path) {
  TRY_ASSIGN(const std::string text, ReadWholeFile(path));
  return EntrySettings::Parse(text);
}

Result<FleetConfiguration> LoadFleet(const EntrySettings& settings) {
  if (settings.fleet_file.empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                "fleet_file: is required when no platform is configured");
  }
  TRY_ASSIGN(const std::string text, ReadWholeFile(settings.fleet_file));
  return FleetConfiguration::Parse(text);
}

int RunHost(const EntrySettings& settings, FleetConfiguration fleet,
            BaselineDispatcher& dispatcher) {
  const auto log = EventLog::Open({.host = settings.host,
                                   .zone = settings.zone,
                                   .process = "dogwood-entry",
                                   .file = settings.log_file,
                                   .lowest_level = settings.log_level});
  if (!log) {
    PrintError(log.error().ToString());
    return kExitFailure;
  }
  MetricsRegistry metrics;
  EntryHost host(
      settings, std::move(fleet),
      {.dispatcher = dispatcher, .log = *log.value(), .metrics = metrics});
  host.HandleSignals();
  const Result<void> started = host.Start();
  if (!started) {
    log.value()->Record(EventId::kStartFailed,
                        {{"error", started.error().message}});
    PrintError(started.error().ToString());
    return started.error().code == ErrorCode::kInvalidArgument ? kExitUsage
                                                               : kExitFailure;
  }
  host.Run();
  return host.cut_count() == 0 ? kExitSuccess : kExitFailure;
}

}  // namespace

int main(int argument_count, char** arguments) {
  const auto line = CommandLine::Parse(argument_count, arguments);
  if (!line) {
    PrintError(line.error().message + "\nTry 'dogwood-entry --help'.");
    return kExitUsage;
  }
  if (line.value().action == CommandLine::Action::kShowHelp) {
    std::fputs(CommandLine::Help().data(), stdout);
    return kExitSuccess;
  }
  if (line.value().action == CommandLine::Action::kShowVersion) {
    std::puts("dogwood-entry " DOGWOOD_VERSION);
    return kExitSuccess;
  }
  const auto settings = LoadSettings(line.value().configuration_file);
  if (!settings) {
    PrintError(settings.error().ToString());
    return kExitUsage;
  }
  auto fleet = LoadFleet(settings.value());
  if (!fleet) {
    PrintError(fleet.error().ToString());
    return kExitUsage;
  }
  BaselineDispatcher dispatcher(settings.value().placement_policy,
                                std::random_device()());
  const Result<void> applied = dispatcher.Apply(fleet.value());
  if (!applied) {
    PrintError(applied.error().ToString());
    return kExitUsage;
  }
  if (line.value().action == CommandLine::Action::kCheckConfiguration) {
    std::puts("configuration is valid");
    return kExitSuccess;
  }
  return RunHost(settings.value(), std::move(fleet).value(), dispatcher);
}
