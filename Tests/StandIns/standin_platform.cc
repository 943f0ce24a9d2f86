// standin-platform: simulates the platform's table service, object store and
// host list.
#include <getopt.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <iostream>

#include "Libraries/Http/http.h"
#include "Tests/StandIns/platform_simulator.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

constexpr int kUsageError = 2;
constexpr std::uint64_t kBodyLimitBytes = 64U << 20U;

struct CommandLineOptions {
  std::string listen = "127.0.0.1:0";
  PlatformSimulator::Options service;
};

void PrintUsage(std::ostream& out) {
  out << "usage: standin-platform [--listen IP:PORT] [--reads-per-second N]\n"
         "         [--writes-per-second N] [--host-list-lag-ms N]\n"
         "Prints the address it listens on as its first line.\n";
}

// Exits after --help and --version and on invalid arguments.
CommandLineOptions ParseCommandLine(int argc, char** argv) {
  static const option kOptions[] = {
      {"listen", required_argument, nullptr, 'l'},
      {"reads-per-second", required_argument, nullptr, 'r'},
      {"writes-per-second", required_argument, nullptr, 'w'},
      {"host-list-lag-ms", required_argument, nullptr, 'g'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},
      {nullptr, 0, nullptr, 0}};
  CommandLineOptions options;
  for (int option = 0;
       (option = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
    switch (option) {
      case 'l':
        options.listen = optarg;
        break;
      case 'r':
        options.service.reads_per_second = std::strtod(optarg, nullptr);
        break;
      case 'w':
        options.service.writes_per_second = std::strtod(optarg, nullptr);
        break;
      case 'g':
        options.service.host_list_lag =
            std::chrono::milliseconds(std::strtol(optarg, nullptr, 10));
        break;
      case 'h':
        PrintUsage(std::cout);
        std::exit(EXIT_SUCCESS);
      case 'v':
        std::cout << "standin-platform " DOGWOOD_VERSION "\n";
        std::exit(EXIT_SUCCESS);
      default:
        PrintUsage(std::cerr);
        std::exit(kUsageError);
    }
  }
  return options;
}

int Run(const CommandLineOptions& options) {
  const auto endpoint = ParseEndpoint(options.listen);
  if (!endpoint) {
    std::cerr << "standin-platform: " << endpoint.error().message << "\n";
    return kUsageError;
  }
  asio::io_context context(1);
  PlatformSimulator service(options.service);
  auto server = HttpServer::Listen(
      context.get_executor(), endpoint.value(),
      {.body_limit_bytes = kBodyLimitBytes},
      [&](HttpRequest request) -> asio::awaitable<HttpResponse> {
        HttpResponse response = service.Handle(request, MonotonicNow());
        const bool is_control = request.target.starts_with("/faults") ||
                                request.target.starts_with("/stats");
        if (service.delay() > Duration::zero() && !is_control) {
          asio::steady_timer timer(context, service.delay());
          co_await timer.async_wait(asio::use_awaitable);
        }
        co_return response;
      });
  if (!server) {
    std::cerr << "standin-platform: " << server.error().message << "\n";
    return EXIT_FAILURE;
  }
  std::cout << server.value().local_endpoint() << std::endl;
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto, int) { context.stop(); });
  context.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  return dogwood::Run(dogwood::ParseCommandLine(argc, argv));
}
