// dogwood-soak: plays random faults against real gateway processes and checks
// what callers and backend servers see.
#include <getopt.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "Tests/Soak/soak_world.h"

namespace dogwood {
namespace {

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;
constexpr const char* kUsage =
    "Usage: dogwood-soak --program PATH --folder DIR [--seed N] [--seconds N]\n"
    "                    [--hosts N] [--servers N] [--callers N] [--safety]\n"
    "--safety judges only what holds however slow the machine is.\n";

bool Parse(int argc, char** argv, SoakOptions& options) {
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
  int found = 0;
  while ((found = ::getopt_long(argc, argv, "", kOptions.data(), nullptr)) >=
         0) {
    const std::string text = optarg == nullptr ? "" : optarg;
    const long number = std::strtol(text.c_str(), nullptr, 10);
    const bool is_number = found != 'p' && found != 'f' && found != 'j';
    if (found == '?' || (is_number && number < 1)) return false;
    if (found == 'j') options.judged = Judged::kSafety;
    if (found == 'p') options.program = text;
    if (found == 'f') options.folder = text;
    if (found == 's') options.seed = static_cast<std::uint64_t>(number);
    if (found == 't') options.length = std::chrono::seconds(number);
    if (found == 'h') options.hosts = static_cast<int>(number);
    if (found == 'b') options.servers = static_cast<int>(number);
    if (found == 'c') options.callers = static_cast<int>(number);
  }
  return !options.program.empty() && !options.folder.empty();
}

int Main(int argc, char** argv) {
  SoakOptions options;
  if (!Parse(argc, argv, options)) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  SoakWorld world(options);
  if (const auto run = world.Run(); !run) {
    std::fprintf(stderr, "%s\n", run.error().ToString().c_str());
    return kExitUsage;
  }
  const SoakLedger& ledger = world.ledger();
  for (const SoakLedger::Violation& violation : ledger.violations()) {
    std::printf("violation: %s: %s\n",
                std::string(kPromiseNames.NameOf(violation.promise)).c_str(),
                violation.detail.c_str());
  }
  std::printf("seed %llu: %zu asked, %zu served, %zu violations\n",
              static_cast<unsigned long long>(options.seed),
              ledger.asked_count(), ledger.served_count(),
              ledger.violations().size());
  return ledger.violations().empty() ? 0 : kExitViolation;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) { return dogwood::Main(argc, argv); }
