// Measures a call over PeerLink, with client and server on one thread:
// processor time, payload bytes and TCP segments per call. Usage:
// peer-link-cost [CALLS]
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

constexpr Duration kCallTimeout = std::chrono::seconds(10);

// A borrow request has these fields, about 60 bytes of CBOR.
nlohmann::json MakeBorrowRequestBody() {
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

asio::awaitable<Result<nlohmann::json>> RespondTrue(PeerRequest) {
  co_return nlohmann::json(true);
}

asio::awaitable<void> CallSequentially(PeerClient& client, std::size_t calls,
                                       std::size_t& completed_calls) {
  const nlohmann::json body = MakeBorrowRequestBody();
  for (std::size_t i = 0; i < calls; ++i) {
    const auto reply = co_await client.Call("borrow", body, kCallTimeout);
    if (reply.has_value()) ++completed_calls;
  }
}

int Run(std::size_t calls) {
  for (const std::size_t concurrent_calls : {1U, 8U, 64U}) {
    asio::io_context io_context(1);
    const auto counters = std::make_shared<PeerTrafficCounters>();
    const PeerEnvelope self{.sender = HostId("host-1"),
                            .incarnation = Incarnation(1733300000000)};
    auto server = PeerServer::Listen(io_context.get_executor(),
                                     {asio::ip::make_address("127.0.0.1"), 0},
                                     {.self = self}, RespondTrue, counters);
    if (server.has_error()) {
      std::cerr << server.error().ToString() << "\n";
      return EXIT_FAILURE;
    }
    PeerClient client(io_context.get_executor(),
                      server.value().local_endpoint(), {.self = self},
                      counters);
    std::size_t completed_calls = 0;
    std::size_t active_callers = concurrent_calls;
    for (std::size_t i = 0; i < concurrent_calls; ++i) {
      asio::co_spawn(
          io_context,
          CallSequentially(client, calls / concurrent_calls, completed_calls),
          [&](const std::exception_ptr&) {
            if (--active_callers == 0) io_context.stop();
          });
    }
    const double cpu_before = CpuMicroseconds();
    io_context.run();
    const double cpu_microseconds = CpuMicroseconds() - cpu_before;
    client.AddTcpSegmentCounts(*counters);
    const auto call_count = static_cast<double>(completed_calls);
    const nlohmann::json row = {
        {"concurrent", concurrent_calls},
        {"calls", completed_calls},
        {"cpu_microseconds_per_call", cpu_microseconds / call_count},
        {"payload_bytes_per_call",
         static_cast<double>(counters->bytes_sent) / call_count},
        {"segments_per_call", static_cast<double>(counters->segments_sent +
                                                  counters->segments_received) /
                                  call_count}};
    std::cout << row.dump() << std::endl;
    if (completed_calls != calls / concurrent_calls * concurrent_calls)
      return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  return dogwood::Run(argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 100'000);
}
