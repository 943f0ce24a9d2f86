// standin-backend: simulates the backend servers of one service.
#include <getopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "Tests/StandIns/backend_simulator.h"

namespace {

constexpr char kUsage[] =
    "usage: standin-backend --listen IP:PORT --control IP:PORT [options]\n"
    "  --count N             servers, on consecutive ports (1)\n"
    "  --name TEXT           prefix of the server names (backend)\n"
    "  --slots N             concurrent requests per server (6)\n"
    "  --cold-limit N        concurrent requests of a cold server (1)\n"
    "  --shed-above N        sheds above this many requests; 0 queues all (0)\n"
    "  --work-us N           default work per request, in microseconds "
    "(10000)\n"
    "  --slow-percent N      percentage of 50 ms windows at 1/3 speed (0)\n"
    "  --connections N       connection limit per server (260)\n";

enum Option {
  kListen = 1,
  kControl,
  kCount,
  kName,
  kSlots,
  kColdLimit,
  kShedAbove,
  kWorkDuration,
  kSlowPercent,
  kConnections,
  kHelp,
};

constexpr option kOptions[] = {
    {"listen", required_argument, nullptr, kListen},
    {"control", required_argument, nullptr, kControl},
    {"count", required_argument, nullptr, kCount},
    {"name", required_argument, nullptr, kName},
    {"slots", required_argument, nullptr, kSlots},
    {"cold-limit", required_argument, nullptr, kColdLimit},
    {"shed-above", required_argument, nullptr, kShedAbove},
    {"work-us", required_argument, nullptr, kWorkDuration},
    {"slow-percent", required_argument, nullptr, kSlowPercent},
    {"connections", required_argument, nullptr, kConnections},
    {"help", no_argument, nullptr, kHelp},
    {},
};

std::uint32_t ParseUnsigned(const char* text) {
  return static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

dogwood::Result<dogwood::BackendSimulator::Options> ParseOptions(int argc,
                                                                 char** argv) {
  dogwood::BackendSimulator::Options options;
  options.server.name = "backend";
  while (true) {
    switch (getopt_long(argc, argv, "", kOptions, nullptr)) {
      case kListen: {
        TRY_ASSIGN(options.first_endpoint, dogwood::ParseEndpoint(optarg));
        break;
      }
      case kControl: {
        TRY_ASSIGN(options.control_endpoint, dogwood::ParseEndpoint(optarg));
        break;
      }
      case kCount:
        options.count = ParseUnsigned(optarg);
        break;
      case kName:
        options.server.name = optarg;
        break;
      case kSlots:
        options.server.slots = ParseUnsigned(optarg);
        break;
      case kColdLimit:
        options.server.cold_limit = ParseUnsigned(optarg);
        break;
      case kShedAbove:
        options.server.shed_above = ParseUnsigned(optarg);
        break;
      case kWorkDuration:
        options.default_work_duration =
            std::chrono::microseconds(ParseUnsigned(optarg));
        break;
      case kSlowPercent:
        options.server.slowdown.slow_percent = ParseUnsigned(optarg);
        break;
      case kConnections:
        options.connection_limit = ParseUnsigned(optarg);
        break;
      case -1:
        if (options.first_endpoint.port() == 0 ||
            options.control_endpoint.port() == 0) {
          return dogwood::Fail(dogwood::ErrorCode::kInvalidArgument, kUsage);
        }
        return options;
      default:
        return dogwood::Fail(dogwood::ErrorCode::kInvalidArgument, kUsage);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = ParseOptions(argc, argv);
  if (options.has_error()) {
    std::fputs(options.error().message.c_str(), stderr);
    return 2;
  }
  boost::asio::io_context context(1);
  dogwood::BackendSimulator simulator(context, options.value());
  if (const auto started = simulator.Start(); started.has_error()) {
    std::fprintf(stderr, "standin-backend: %s\n",
                 started.error().ToString().c_str());
    return 1;
  }
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait(
      [&context](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
