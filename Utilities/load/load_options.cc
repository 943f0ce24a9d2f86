#include "Utilities/load/load_options.h"

#include <getopt.h>

#include <charconv>
#include <sstream>

#include "Libraries/Http/http.h"

#ifndef DOGWOOD_VERSION
#define DOGWOOD_VERSION "development"
#endif

namespace dogwood {
namespace {

enum Option {
  kTargets = 1,
  kStream,
  kSeconds,
  kSeed,
  kThreads,
  kDeadline,
  kOutput,
  kBoundServers,
  kBoundSlots,
  kSlow,
  kHelp,
  kVersion,
};

constexpr option kOptions[] = {
    {"targets", required_argument, nullptr, kTargets},
    {"stream", required_argument, nullptr, kStream},
    {"seconds", required_argument, nullptr, kSeconds},
    {"seed", required_argument, nullptr, kSeed},
    {"threads", required_argument, nullptr, kThreads},
    {"deadline-ms", required_argument, nullptr, kDeadline},
    {"output", required_argument, nullptr, kOutput},
    {"bound-servers", required_argument, nullptr, kBoundServers},
    {"bound-slots", required_argument, nullptr, kBoundSlots},
    {"slow-percent", required_argument, nullptr, kSlow},
    {"help", no_argument, nullptr, kHelp},
    {"version", no_argument, nullptr, kVersion},
    {},
};

template <typename Number>
Result<Number> ParseNumber(std::string_view name, std::string_view text) {
  Number value{};
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string(name) +
                    ": expected a number of 0 or more, found \"" +
                    std::string(text) + "\"");
  }
  return value;
}

Result<void> ApplyStreamOption(LoadStream& stream, const std::string& name,
                               const std::string& value) {
  if (name == "service") {
    stream.service = value;
  } else if (name == "party") {
    stream.party = value;
  } else if (name == "method") {
    stream.method = value;
  } else if (name == "keys") {
    stream.has_keys = value == "yes";
  } else if (name == "rate") {
    TRY_ASSIGN(stream.rate, ParseNumber<double>(name, value));
  } else if (name == "work-ms") {
    TRY_ASSIGN(stream.work_milliseconds, ParseNumber<double>(name, value));
  } else if (name == "sigma") {
    TRY_ASSIGN(stream.work_sigma, ParseNumber<double>(name, value));
  } else if (name == "body") {
    TRY_ASSIGN(stream.body_bytes, ParseNumber<std::uint32_t>(name, value));
  } else if (name == "response") {
    TRY_ASSIGN(stream.response_bytes, ParseNumber<std::uint32_t>(name, value));
  } else {
    return Fail(ErrorCode::kInvalidArgument,
                "stream option \"" + name + "\" does not exist");
  }
  return outcome::success();
}

Result<void> ParseTargets(const std::string& text, LoadOptions& options) {
  std::istringstream stream(text);
  for (std::string target; std::getline(stream, target, ',');) {
    TRY_ASSIGN(auto endpoint, ParseEndpoint(target));
    options.targets.push_back(endpoint);
  }
  return outcome::success();
}

Result<void> ApplyOption(int choice, const std::string& value,
                         LoadOptions& options) {
  switch (choice) {
    case kTargets:
      return ParseTargets(value, options);
    case kStream: {
      TRY_ASSIGN(LoadStream stream, ParseLoadStream(value));
      options.streams.push_back(std::move(stream));
      return outcome::success();
    }
    case kSeconds: {
      TRY_ASSIGN(options.seconds, ParseNumber<double>("--seconds", value));
      return outcome::success();
    }
    case kSeed: {
      TRY_ASSIGN(options.seed, ParseNumber<std::uint64_t>("--seed", value));
      return outcome::success();
    }
    case kThreads: {
      TRY_ASSIGN(options.threads,
                 ParseNumber<std::uint32_t>("--threads", value));
      return outcome::success();
    }
    case kDeadline: {
      TRY_ASSIGN(options.deadline_milliseconds,
                 ParseNumber<std::uint32_t>("--deadline-ms", value));
      return outcome::success();
    }
    case kOutput:
      options.output = value;
      return outcome::success();
    case kBoundServers: {
      TRY_ASSIGN(options.bound_servers,
                 ParseNumber<std::uint32_t>("--bound-servers", value));
      return outcome::success();
    }
    case kBoundSlots: {
      TRY_ASSIGN(options.bound_slots,
                 ParseNumber<std::uint32_t>("--bound-slots", value));
      return outcome::success();
    }
    case kSlow: {
      TRY_ASSIGN(options.slow_percent,
                 ParseNumber<std::uint32_t>("--slow-percent", value));
      return outcome::success();
    }
    case kHelp:
      return Fail(ErrorCode::kCancelled, kLoadUsage);
    case kVersion:
      return Fail(ErrorCode::kCancelled, "dogwood-load " DOGWOOD_VERSION "\n");
    default:
      return Fail(ErrorCode::kInvalidArgument, kLoadUsage);
  }
}

}  // namespace

const char kLoadUsage[] =
    "usage: dogwood-load --targets IP:PORT,... --stream NAME=VALUE,... "
    "[options]\n"
    "Sends requests at random times with a given mean rate, whether or not "
    "earlier ones have been\n"
    "answered, and reports latencies counted from the intended start.\n"
    "  --stream TEXT       service, party, rate (requests a second), work-ms, "
    "sigma, method,\n"
    "                      keys=yes, body, response (bytes); may be given "
    "several times\n"
    "  --seconds N         length of the run (10)\n"
    "  --seed N            of the arrivals and service times (1)\n"
    "  --threads N         (1)\n"
    "  --deadline-ms N     deadline of each request (2000)\n"
    "  --output FILE       writes the report as JSON\n"
    "  --bound-servers N   also computes one central queue over N servers\n"
    "  --bound-slots N     slots of each of them (6)\n"
    "  --slow-percent N    slowdown pattern that the backend stand-ins run "
    "with (0)\n"
    "  --help, --version\n"
    "Exit codes: 0 done, 1 could not run, 2 wrong usage.\n";

Result<LoadStream> ParseLoadStream(const std::string& text) {
  LoadStream stream;
  std::istringstream input(text);
  for (std::string item; std::getline(input, item, ',');) {
    const std::size_t equals = item.find('=');
    if (equals == std::string::npos) {
      return Fail(ErrorCode::kInvalidArgument,
                  "stream option \"" + item + "\" has no value");
    }
    TRY(ApplyStreamOption(stream, item.substr(0, equals),
                          item.substr(equals + 1)));
  }
  return stream;
}

Result<LoadOptions> ParseLoadOptions(int argc, char** argv) {
  LoadOptions options;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    TRY(ApplyOption(choice, optarg == nullptr ? "" : optarg, options));
  }
  if (options.targets.empty() || options.streams.empty() ||
      options.threads == 0) {
    return Fail(ErrorCode::kInvalidArgument, kLoadUsage);
  }
  return options;
}

}  // namespace dogwood
