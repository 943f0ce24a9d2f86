// Measures one message with its response over PeerLink, client and server on
// one thread: processor time and bytes. Usage: peer-link-cost [CALLS]
#include <sys/resource.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "Libraries/PeerLink/peer_link.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

// The fields of a borrow request, about 60 bytes of CBOR.
nlohmann::json BorrowMessage() {
  return {{"service", "tracking"},
          {"age", 1234567},
          {"id", 987654321},
          {"zone", "palermo"},
          {"count", 1}};
}

double CpuMicroseconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto microseconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_usec);
  };
  return microseconds(usage.ru_utime) + microseconds(usage.ru_stime);
}

asio::awaitable<Result<nlohmann::json>> Grant(PeerRequest) {
  co_return nlohmann::json(true);
}

asio::awaitable<void> CallInTurn(PeerClient& client, std::size_t calls,
                                 std::size_t& answered) {
  const nlohmann::json body = BorrowMessage();
  for (std::size_t i = 0; i < calls; ++i) {
    const auto reply =
        co_await client.Call("borrow", body, std::chrono::seconds(10));
    if (reply.has_value()) ++answered;
  }
}

int Run(std::size_t calls) {
  for (const std::size_t concurrent : {1U, 8U, 64U}) {
    asio::io_context io(1);
    const auto counters = std::make_shared<LinkCounters>();
    const PeerEnvelope self{.sender = HostId("host-1"),
                            .incarnation = Incarnation(1733300000000)};
    auto server = PeerServer::Listen(io.get_executor(),
                                     {asio::ip::make_address("127.0.0.1"), 0},
                                     {.self = self}, Grant, counters);
    if (server.has_error()) {
      std::cerr << server.error().ToString() << "\n";
      return EXIT_FAILURE;
    }
    PeerClient client(io.get_executor(), server.value().local_endpoint(),
                      {.self = self}, counters);
    std::size_t answered = 0;
    std::size_t open = concurrent;
    for (std::size_t i = 0; i < concurrent; ++i) {
      asio::co_spawn(io, CallInTurn(client, calls / concurrent, answered),
                     [&](const std::exception_ptr&) {
                       if (--open == 0) io.stop();
                     });
    }
    const double before = CpuMicroseconds();
    io.run();
    const double spent = CpuMicroseconds() - before;
    client.AddSegments(*counters);
    const auto count = static_cast<double>(answered);
    const nlohmann::json row = {
        {"concurrent", concurrent},
        {"calls", answered},
        {"cpu_microseconds_per_call", spent / count},
        {"payload_bytes_per_call",
         static_cast<double>(counters->bytes_sent) / count},
        {"segments_per_call", static_cast<double>(counters->segments_sent +
                                                  counters->segments_received) /
                                  count}};
    std::cout << row.dump() << std::endl;
    if (answered != calls / concurrent * concurrent) return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  return dogwood::Run(argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 100'000);
}
