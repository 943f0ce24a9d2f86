// dogwood-soak: injects random faults around real gateway processes and checks
// invariants from the view of callers and backend servers.
#include <getopt.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "Tests/Soak/soak_runner.h"

namespace dogwood {
namespace {

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;
constexpr const char* kUsage =
    "Usage: dogwood-soak --program PATH --folder DIR [--seed N] [--seconds N]\n"
    "                    [--hosts N] [--servers N] [--callers N] [--safety]\n"
    "--safety checks only invariants that do not depend on timing.\n";

bool ParseCommandLine(int argc, char** argv, SoakOptions& options) {
  static const std::array<option, 9> kOptions = {{
      {"program", required_argument, nullptr, 'p'},
      {"folder", required_argument, nullptr, 'f'},
      {"seed", required_argument, nullptr, 's'},
      {"seconds", required_argument, nullptr, 't'},
      {"hosts", required_argument, nullptr, 'h'},
      {"servers", required_argument, nullptr, 'b'},
      {"callers", required_argument, nullptr, 'c'},
      {"safety", no_argument, nullptr, 'j'},
      {nullptr, 0, nullptr, 0},
  }};
  int option_character = 0;
  while ((option_character =
              ::getopt_long(argc, argv, "", kOptions.data(), nullptr)) >= 0) {
    const std::string text = optarg == nullptr ? "" : optarg;
    const long number = std::strtol(text.c_str(), nullptr, 10);
    const bool is_number = option_character != 'p' && option_character != 'f' &&
                           option_character != 'j';
    if (option_character == '?' || (is_number && number < 1)) return false;
    if (option_character == 'j')
      options.checked_invariants = CheckedInvariants::kSafety;
    if (option_character == 'p') options.program = text;
    if (option_character == 'f') options.directory = text;
    if (option_character == 's')
      options.seed = static_cast<std::uint64_t>(number);
    if (option_character == 't')
      options.fault_phase_duration = std::chrono::seconds(number);
    if (option_character == 'h') options.hosts = static_cast<int>(number);
    if (option_character == 'b') options.servers = static_cast<int>(number);
    if (option_character == 'c') options.callers = static_cast<int>(number);
  }
  return !options.program.empty() && !options.directory.empty();
}

int Main(int argc, char** argv) {
  SoakOptions options;
  if (!ParseCommandLine(argc, argv, options)) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  SoakRunner runner(options);
  if (const auto run = runner.Run(); !run) {
    std::fprintf(stderr, "%s\n", run.error().ToString().c_str());
    return kExitUsage;
  }
  const InvariantChecker& checker = runner.checker();
  for (const InvariantChecker::Violation& violation : checker.violations()) {
    std::printf(
        "violation: %s: %s\n",
        std::string(kInvariantNames.NameOf(violation.invariant)).c_str(),
        violation.detail.c_str());
  }
  std::printf("seed %llu: %zu asked, %zu served, %zu violations\n",
              static_cast<unsigned long long>(options.seed),
              checker.sent_count(), checker.served_count(),
              checker.violations().size());
  return checker.violations().empty() ? 0 : kExitViolation;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) { return dogwood::Main(argc, argv); }
