// Runs one PeerExchange node for a number of seconds and prints its cost as one
// JSON line; scripts/bench_control.sh starts many of them.
#include <getopt.h>
#include <sys/resource.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "Services/Entry/peer_exchange.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

constexpr const char* kUsage =
    "usage: peer-exchange-node --host NAME --listen IP:PORT\n"
    "         [--zone NAME] [--seeds IP:PORT,...] [--seconds N] [--warmup N]\n";
// IPv4 and TCP headers with the timestamp option, per segment.
constexpr std::uint64_t kSegmentHeaderBytes = 20 + 32;

struct Arguments {
  std::string host;
  std::string zone = "zone-1";
  std::string listen;
  std::vector<Contact> seeds;
  unsigned seconds = 10;
  unsigned warmup = 5;
};

std::optional<asio::ip::tcp::endpoint> ParseListen(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code error;
  const auto address = asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc{} || parsed.ptr != end)
    return std::nullopt;
  return asio::ip::tcp::endpoint(address, port);
}

bool ParseArguments(int argc, char** argv, Arguments& arguments) {
  const option options[] = {{"host", required_argument, nullptr, 'h'},
                            {"zone", required_argument, nullptr, 'z'},
                            {"listen", required_argument, nullptr, 'l'},
                            {"seeds", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 'n'},
                            {"warmup", required_argument, nullptr, 'w'},
                            {nullptr, 0, nullptr, 0}};
  int letter = 0;
  while ((letter = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    switch (letter) {
      case 'h':
        arguments.host = optarg;
        break;
      case 'z':
        arguments.zone = optarg;
        break;
      case 'l':
        arguments.listen = optarg;
        break;
      case 's': {
        std::istringstream list(optarg);
        for (std::string seed; std::getline(list, seed, ',');)
          arguments.seeds.push_back({.peer_address = seed});
        break;
      }
      case 'n':
        arguments.seconds = static_cast<unsigned>(std::atoi(optarg));
        break;
      case 'w':
        arguments.warmup = static_cast<unsigned>(std::atoi(optarg));
        break;
      default:
        return false;
    }
  }
  return !arguments.host.empty() && !arguments.listen.empty();
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double ResidentMegabytes() {
  std::ifstream status("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  status >> total >> resident;
  constexpr double kPageBytes = 4096;
  return static_cast<double>(resident) * kPageBytes / 1e6;
}

std::uint64_t PayloadBytes(const LinkCounters& counters) {
  return counters.bytes_sent + counters.bytes_received;
}

std::uint64_t SegmentBytes(const LinkCounters& counters) {
  return (counters.segments_sent + counters.segments_received) *
         kSegmentHeaderBytes;
}

int Run(const Arguments& arguments) {
  const auto endpoint = ParseListen(arguments.listen);
  if (!endpoint) {
    std::cerr << "peer-exchange-node: " << arguments.listen
              << " is not IP:PORT\n";
    return EXIT_FAILURE;
  }
  asio::io_context io(1);
  PeerExchange::Options options;
  options.host = HostId(arguments.host);
  options.zone = ZoneId(arguments.zone);
  options.incarnation = Incarnation(static_cast<std::uint64_t>(
      WallNow().time_since_epoch() / std::chrono::milliseconds(1)));
  options.listen = *endpoint;
  options.contacts = [&]() -> asio::awaitable<Result<std::vector<Contact>>> {
    co_return arguments.seeds;
  };
  auto started = PeerExchange::Start(io.get_executor(), std::move(options));
  if (started.has_error()) {
    std::cerr << "peer-exchange-node: " << started.error().ToString() << "\n";
    return EXIT_FAILURE;
  }
  PeerExchange& exchange = *started.value();
  // The value that every ping of the real process carries.
  exchange.AddPiggyback(
      "settings", [] { return nlohmann::json(1234); },
      [](const HostId&, const nlohmann::json&) {});

  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) io.stop();
  });
  io.run_for(std::chrono::seconds(arguments.warmup));
  const LinkCounters before = exchange.counters();
  const double cpu_before = CpuSeconds();
  const TimePoint begin = MonotonicNow();
  io.run_for(std::chrono::seconds(arguments.seconds));
  const double elapsed = ToMilliseconds(MonotonicNow() - begin) / 1e3;
  const LinkCounters after = exchange.counters();
  const auto payload =
      static_cast<double>(PayloadBytes(after) - PayloadBytes(before));
  const auto headers = static_cast<double>(SegmentBytes(after)) -
                       static_cast<double>(SegmentBytes(before));
  const nlohmann::json report = {
      {"host", arguments.host},
      {"members", exchange.members().size()},
      {"seconds", elapsed},
      {"payload_bytes_per_second", payload / elapsed},
      {"bytes_per_second", (payload + headers) / elapsed},
      {"messages_per_second",
       static_cast<double>(after.messages_sent + after.messages_received -
                           before.messages_sent - before.messages_received) /
           elapsed},
      {"cpu_percent", (CpuSeconds() - cpu_before) / elapsed * 100},
      {"memory_mb", ResidentMegabytes()},
      {"connections", exchange.connection_count()}};
  std::cout << report.dump() << std::endl;
  exchange.Stop();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  dogwood::Arguments arguments;
  if (!dogwood::ParseArguments(argc, argv, arguments)) {
    std::cerr << dogwood::kUsage;
    return EXIT_FAILURE;
  }
  return dogwood::Run(arguments);
}
