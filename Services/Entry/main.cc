#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <random>

#include "Services/Entry/command_line.h"
#include "Services/Entry/control_plane.h"
#include "Services/Entry/entry_host.h"
#include "Services/Entry/entry_settings.h"
#include "Services/Entry/local_policy_dispatcher.h"

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

Result<FleetConfiguration> LoadFleetConfiguration(
    const EntrySettings& settings) {
  if (settings.fleet_file.empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                "fleet_file: is required when no platform is configured");
  }
  TRY_ASSIGN(const std::string text, ReadWholeFile(settings.fleet_file));
  return FleetConfiguration::Parse(text);
}

Result<std::unique_ptr<EventLog>> OpenLog(const EntrySettings& settings) {
  return EventLog::Open({.host = settings.host,
                         .zone = settings.zone,
                         .process = "dogwood-entry",
                         .file = settings.log_file,
                         .min_level = settings.log_level});
}

int ReportStartFailure(EventLog& log, const Error& error) {
  log.Record(EventId::kStartFailed, {{"error", error.message}});
  PrintError(error.ToString());
  return error.code == ErrorCode::kInvalidArgument ? kExitUsage : kExitFailure;
}

// Runs without a fleet: configuration from a file, baseline load balancing.
int RunStandalone(const EntrySettings& settings, FleetConfiguration fleet,
                  EventLog& log) {
  LocalPolicyDispatcher dispatcher(settings.placement_policy,
                                   std::random_device()());
  const Result<void> applied = dispatcher.Apply(fleet);
  if (applied.has_error()) return ReportStartFailure(log, applied.error());
  MetricsRegistry metrics;
  boost::asio::io_context control(1);
  EntryHost host(settings, std::move(fleet),
                 {.dispatcher = dispatcher,
                  .log = log,
                  .metrics = metrics,
                  .control = control});
  host.HandleSignals();
  const Result<void> started = host.Start();
  if (started.has_error()) return ReportStartFailure(log, started.error());
  host.Run();
  return host.aborted_request_count() == 0 ? kExitSuccess : kExitFailure;
}

// Joins the fleet, then opens the listeners.
boost::asio::awaitable<void> JoinFleetAndStart(ControlPlane& plane,
                                               EntryHost& host, EventLog& log,
                                               int& exit_code) {
  co_await plane.JoinFleet();
  const Result<void> started = host.Start();
  if (started.has_value()) co_return;
  exit_code = ReportStartFailure(log, started.error());
  host.control_context().stop();
}

// Runs as a member of a fleet, with settings from the platform.
int RunAsFleetMember(const EntrySettings& settings, EventLog& log) {
  MetricsRegistry metrics;
  boost::asio::io_context control(1);
  auto plane = ControlPlane::Create(settings, control, log, metrics);
  if (plane.has_error()) return ReportStartFailure(log, plane.error());
  ControlPlane& control_plane = *plane.value();
  int exit_code = kExitSuccess;
  {
    EntryHost host(
        settings, FleetConfiguration{},
        {.dispatcher = control_plane.dispatcher(),
         .log = log,
         .metrics = metrics,
         .control = control,
         .claims = &control_plane.claims(),
         .usage = &control_plane.usage(),
         .on_leaving = [&] { return control_plane.AnnounceShutdown(); },
         .on_drained = [&] { return control_plane.FinishShutdown(); }});
    control_plane.AttachTo(host);
    host.HandleSignals();
    boost::asio::co_spawn(
        control, JoinFleetAndStart(control_plane, host, log, exit_code),
        boost::asio::detached);
    host.Run();
    if (host.aborted_request_count() > 0) exit_code = kExitFailure;
  }
  return exit_code;
}

int RunHost(const EntrySettings& settings) {
  const auto log = OpenLog(settings);
  if (log.has_error()) {
    PrintError(log.error().ToString());
    return kExitFailure;
  }
  if (settings.platform.has_value())
    return RunAsFleetMember(settings, *log.value());
  auto fleet = LoadFleetConfiguration(settings);
  if (fleet.has_error()) {
    return ReportStartFailure(*log.value(), fleet.error());
  }
  return RunStandalone(settings, std::move(fleet).value(), *log.value());
}

Result<void> CheckConfiguration(const EntrySettings& settings) {
  if (settings.platform.has_value()) {
    if (settings.peers.has_value()) return outcome::success();
    return Fail(ErrorCode::kInvalidArgument,
                "listen.peers: is required when a platform is configured");
  }
  TRY_ASSIGN(const FleetConfiguration fleet, LoadFleetConfiguration(settings));
  LocalPolicyDispatcher dispatcher(settings.placement_policy, 1);
  return dispatcher.Apply(fleet);
}

}  // namespace

int main(int argument_count, char** arguments) {
  const auto command_line = CommandLine::Parse(argument_count, arguments);
  if (!command_line) {
    PrintError(command_line.error().message + "\nTry 'dogwood-entry --help'.");
    return kExitUsage;
  }
  if (command_line.value().action == CommandLine::Action::kShowHelp) {
    std::fputs(CommandLine::HelpText().data(), stdout);
    return kExitSuccess;
  }
  if (command_line.value().action == CommandLine::Action::kShowVersion) {
    std::puts("dogwood-entry " DOGWOOD_VERSION);
    return kExitSuccess;
  }
  const auto settings = LoadSettings(command_line.value().configuration_file);
  if (!settings) {
    PrintError(settings.error().ToString());
    return kExitUsage;
  }
  const Result<void> configuration_check = CheckConfiguration(settings.value());
  if (configuration_check.has_error()) {
    PrintError(configuration_check.error().ToString());
    return kExitUsage;
  }
  if (command_line.value().action == CommandLine::Action::kCheckConfiguration) {
    std::puts("configuration is valid");
    return kExitSuccess;
  }
  return RunHost(settings.value());
}
