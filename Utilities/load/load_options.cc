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
  kDeadlineMilliseconds,
  kOutput,
  kCentralQueueServers,
  kCentralQueueSlotsPerServer,
  kSlowPercent,
  kHelp,
  kVersion,
};

constexpr option kLongOptions[] = {
    {"targets", required_argument, nullptr, kTargets},
    {"stream", required_argument, nullptr, kStream},
    {"seconds", required_argument, nullptr, kSeconds},
    {"seed", required_argument, nullptr, kSeed},
    {"threads", required_argument, nullptr, kThreads},
    {"deadline-ms", required_argument, nullptr, kDeadlineMilliseconds},
    {"output", required_argument, nullptr, kOutput},
    {"bound-servers", required_argument, nullptr, kCentralQueueServers},
    {"bound-slots", required_argument, nullptr, kCentralQueueSlotsPerServer},
    {"slow-percent", required_argument, nullptr, kSlowPercent},
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
    stream.client_account = value;
  } else if (name == "method") {
    stream.method = value;
  } else if (name == "keys") {
    stream.has_idempotency_keys = value == "yes";
  } else if (name == "rate") {
    TRY_ASSIGN(stream.requests_per_second, ParseNumber<double>(name, value));
  } else if (name == "work-ms") {
    TRY_ASSIGN(stream.mean_work_milliseconds, ParseNumber<double>(name, value));
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
  std::istringstream targets(text);
  for (std::string target; std::getline(targets, target, ',');) {
    TRY_ASSIGN(auto endpoint, ParseEndpoint(target));
    options.targets.push_back(endpoint);
  }
  return outcome::success();
}

Result<void> ApplyOption(int option_id, const std::string& value,
                         LoadOptions& options) {
  switch (option_id) {
    case kTargets:
      return ParseTargets(value, options);
    case kStream: {
      TRY_ASSIGN(LoadStream stream, ParseLoadStream(value));
      options.streams.push_back(std::move(stream));
      return outcome::success();
    }
    case kSeconds: {
      TRY_ASSIGN(options.duration_seconds,
                 ParseNumber<double>("--seconds", value));
      return outcome::success();
    }
    case kSeed: {
      TRY_ASSIGN(options.seed, ParseNumber<std::uint64_t>("--seed", value));
      return outcome::success();
    }
    case kThreads: {
      TRY_ASSIGN(options.thread_count,
                 ParseNumber<std::uint32_t>("--threads", value));
      return outcome::success();
    }
    case kDeadlineMilliseconds: {
      TRY_ASSIGN(options.deadline_milliseconds,
                 ParseNumber<std::uint32_t>("--deadline-ms", value));
      return outcome::success();
    }
    case kOutput:
      options.report_path = value;
      return outcome::success();
    case kCentralQueueServers: {
      TRY_ASSIGN(options.central_queue_servers,
                 ParseNumber<std::uint32_t>("--bound-servers", value));
      return outcome::success();
    }
    case kCentralQueueSlotsPerServer: {
      TRY_ASSIGN(options.central_queue_slots_per_server,
                 ParseNumber<std::uint32_t>("--bound-slots", value));
      return outcome::success();
    }
    case kSlowPercent: {
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
    "Sends requests in open loop: Poisson arrivals with a given mean rate, "
    "whether or not earlier\n"
    "requests have been answered. Latencies count from the scheduled "
    "start.\n"
    "  --stream TEXT       service, party, rate (requests a second), work-ms, "
    "sigma, method,\n"
    "                      keys=yes, body, response (bytes); may be given "
    "several times\n"
    "  --seconds N         length of the run (10)\n"
    "  --seed N            random seed of arrivals and service times (1)\n"
    "  --threads N         sending threads (1)\n"
    "  --deadline-ms N     deadline of each request (2000)\n"
    "  --output FILE       writes the report as JSON\n"
    "  --bound-servers N   also simulates one central queue over N servers\n"
    "  --bound-slots N     slots of each of these servers (6)\n"
    "  --slow-percent N    slow windows of these servers, as given to the "
    "backend stand-ins (0)\n"
    "  --help, --version\n"
    "Exit codes: 0 done, 1 the report could not be written, 2 usage error.\n";

Result<LoadStream> ParseLoadStream(const std::string& text) {
  LoadStream stream;
  std::istringstream assignments(text);
  for (std::string assignment; std::getline(assignments, assignment, ',');) {
    const std::size_t equals = assignment.find('=');
    if (equals == std::string::npos) {
      return Fail(ErrorCode::kInvalidArgument,
                  "stream option \"" + assignment + "\" has no value");
    }
    TRY(ApplyStreamOption(stream, assignment.substr(0, equals),
                          assignment.substr(equals + 1)));
  }
  return stream;
}

Result<LoadOptions> ParseLoadOptions(int argc, char** argv) {
  LoadOptions options;
  int option_id = 0;
  while ((option_id = getopt_long(argc, argv, "", kLongOptions, nullptr)) !=
         -1) {
    TRY(ApplyOption(option_id, optarg == nullptr ? "" : optarg, options));
  }
  if (options.targets.empty() || options.streams.empty() ||
      options.thread_count == 0) {
    return Fail(ErrorCode::kInvalidArgument, kLoadUsage);
  }
  return options;
}

}  // namespace dogwood
