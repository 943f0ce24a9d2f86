// Stand-in for the backend servers of one service.
#include <getopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "Tests/StandIns/backend_process.h"

namespace {

constexpr char kUsage[] =
    "usage: standin-backend --listen IP:PORT --control IP:PORT [options]\n"
    "  --count N             servers, on consecutive ports (1)\n"
    "  --name TEXT           prefix of the server names (backend)\n"
    "  --slots N             requests that a server runs at once (6)\n"
    "  --cold-limit N        requests that a cold server bears (1)\n"
    "  --shed-above N        sheds above this much work; 0 queues instead (0)\n"
    "  --work-us N           work of a request that names none (10000)\n"
    "  --slow-percent N      share of 50 ms windows at a third of the speed "
    "(0)\n"
    "  --connections N       connections a server accepts (260)\n";

enum Option {
  kListen = 1,
  kControl,
  kCount,
  kName,
  kSlots,
  kColdLimit,
  kShedAbove,
  kWork,
  kSlow,
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
    {"work-us", required_argument, nullptr, kWork},
    {"slow-percent", required_argument, nullptr, kSlow},
    {"connections", required_argument, nullptr, kConnections},
    {"help", no_argument, nullptr, kHelp},
    {},
};

std::uint32_t Number(const char* text) {
  return static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

dogwood::Result<dogwood::BackendProcess::Options> ReadOptions(int argc,
                                                              char** argv) {
  dogwood::BackendProcess::Options options;
  options.server.name = "backend";
  while (true) {
    switch (getopt_long(argc, argv, "", kOptions, nullptr)) {
      case kListen: {
        TRY_ASSIGN(options.first, dogwood::ParseEndpoint(optarg));
        break;
      }
      case kControl: {
        TRY_ASSIGN(options.control, dogwood::ParseEndpoint(optarg));
        break;
      }
      case kCount:
        options.count = Number(optarg);
        break;
      case kName:
        options.server.name = optarg;
        break;
      case kSlots:
        options.server.slots = Number(optarg);
        break;
      case kColdLimit:
        options.server.cold_limit = Number(optarg);
        break;
      case kShedAbove:
        options.server.shed_above = Number(optarg);
        break;
      case kWork:
        options.default_work = std::chrono::microseconds(Number(optarg));
        break;
      case kSlow:
        options.server.slowdown.slow_percent = Number(optarg);
        break;
      case kConnections:
        options.connection_limit = Number(optarg);
        break;
      case -1:
        if (options.first.port() == 0 || options.control.port() == 0) {
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
  const auto options = ReadOptions(argc, argv);
  if (options.has_error()) {
    std::fputs(options.error().message.c_str(), stderr);
    return 2;
  }
  boost::asio::io_context context(1);
  dogwood::BackendProcess process(context, options.value());
  if (const auto started = process.Start(); started.has_error()) {
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
