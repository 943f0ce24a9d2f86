// Runs one PeerNode node for a number of seconds and prints its network
// traffic, processor time and memory as one line of JSON.
// scripts/bench_control.sh starts many of them.
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

#include "Services/Entry/peer_node.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

constexpr const char* kUsage =
    "usage: peer-exchange-node --host NAME --listen IP:PORT\n"
    "         [--zone NAME] [--seeds IP:PORT,...] [--seconds N] [--warmup N]\n";
// IPv4 header, TCP header with the timestamp option.
constexpr std::uint64_t kHeaderBytesPerSegment = 20 + 32;

struct CommandLine {
  std::string host;
  std::string zone = "zone-1";
  std::string listen;
  std::vector<Contact> seeds;
  unsigned measured_seconds = 10;
  unsigned warmup_seconds = 5;
};

std::optional<asio::ip::tcp::endpoint> ParseListenEndpoint(
    const std::string& text) {
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

bool ParseCommandLine(int argc, char** argv, CommandLine& command_line) {
  const option long_options[] = {{"host", required_argument, nullptr, 'h'},
                                 {"zone", required_argument, nullptr, 'z'},
                                 {"listen", required_argument, nullptr, 'l'},
                                 {"seeds", required_argument, nullptr, 's'},
                                 {"seconds", required_argument, nullptr, 'n'},
                                 {"warmup", required_argument, nullptr, 'w'},
                                 {nullptr, 0, nullptr, 0}};
  int option_letter = 0;
  while ((option_letter = getopt_long(argc, argv, "", long_options, nullptr)) !=
         -1) {
    switch (option_letter) {
      case 'h':
        command_line.host = optarg;
        break;
      case 'z':
        command_line.zone = optarg;
        break;
      case 'l':
        command_line.listen = optarg;
        break;
      case 's': {
        std::istringstream list(optarg);
        for (std::string seed; std::getline(list, seed, ',');)
          command_line.seeds.push_back({.peer_address = seed});
        break;
      }
      case 'n':
        command_line.measured_seconds =
            static_cast<unsigned>(std::atoi(optarg));
        break;
      case 'w':
        command_line.warmup_seconds = static_cast<unsigned>(std::atoi(optarg));
        break;
      default:
        return false;
    }
  }
  return !command_line.host.empty() && !command_line.listen.empty();
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
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  status >> total_pages >> resident_pages;
  constexpr double kPageBytes = 4096;
  return static_cast<double>(resident_pages) * kPageBytes / 1e6;
}

std::uint64_t PayloadBytes(const PeerTrafficCounters& counters) {
  return counters.bytes_sent + counters.bytes_received;
}

std::uint64_t HeaderBytes(const PeerTrafficCounters& counters) {
  return (counters.segments_sent + counters.segments_received) *
         kHeaderBytesPerSegment;
}

int Run(const CommandLine& command_line) {
  const auto endpoint = ParseListenEndpoint(command_line.listen);
  if (!endpoint) {
    std::cerr << "peer-exchange-node: " << command_line.listen
              << " is not of the form IP:PORT\n";
    return EXIT_FAILURE;
  }
  asio::io_context io_context(1);
  PeerNode::Options options;
  options.host = HostId(command_line.host);
  options.zone = ZoneId(command_line.zone);
  options.incarnation = Incarnation(static_cast<std::uint64_t>(
      WallClockNow().time_since_epoch() / std::chrono::milliseconds(1)));
  options.listen = *endpoint;
  options.contacts = [&]() -> asio::awaitable<Result<std::vector<Contact>>> {
    co_return command_line.seeds;
  };
  auto started = PeerNode::Start(io_context.get_executor(), std::move(options));
  if (started.has_error()) {
    std::cerr << "peer-exchange-node: " << started.error().ToString() << "\n";
    return EXIT_FAILURE;
  }
  PeerNode& node = *started.value();
  // Stands for the settings version that an entry host adds to every ping.
  node.AddPiggyback(
      "settings", [] { return nlohmann::json(1234); },
      [](const HostId&, const nlohmann::json&) {});

  asio::signal_set signals(io_context, SIGINT, SIGTERM);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) io_context.stop();
  });
  io_context.run_for(std::chrono::seconds(command_line.warmup_seconds));
  const PeerTrafficCounters counters_before = node.counters();
  const double cpu_before = CpuSeconds();
  const TimePoint start = MonotonicNow();
  io_context.run_for(std::chrono::seconds(command_line.measured_seconds));
  const double elapsed_seconds = ToMilliseconds(MonotonicNow() - start) / 1e3;
  const PeerTrafficCounters counters_after = node.counters();
  const auto payload_bytes = static_cast<double>(PayloadBytes(counters_after) -
                                                 PayloadBytes(counters_before));
  const auto header_bytes = static_cast<double>(HeaderBytes(counters_after)) -
                            static_cast<double>(HeaderBytes(counters_before));
  const nlohmann::json report = {
      {"host", command_line.host},
      {"members", node.members().size()},
      {"seconds", elapsed_seconds},
      {"payload_bytes_per_second", payload_bytes / elapsed_seconds},
      {"bytes_per_second", (payload_bytes + header_bytes) / elapsed_seconds},
      {"messages_per_second",
       static_cast<double>(
           counters_after.messages_sent + counters_after.messages_received -
           counters_before.messages_sent - counters_before.messages_received) /
           elapsed_seconds},
      {"cpu_percent", (CpuSeconds() - cpu_before) / elapsed_seconds * 100},
      {"memory_mb", ResidentMegabytes()},
      {"connections", node.connection_count()}};
  std::cout << report.dump() << std::endl;
  node.Stop();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  dogwood::CommandLine command_line;
  if (!dogwood::ParseCommandLine(argc, argv, command_line)) {
    std::cerr << dogwood::kUsage;
    return EXIT_FAILURE;
  }
  return dogwood::Run(command_line);
}
