// Simulates the router, baseline placement policies and one central queue in
// virtual time, and prints latency quantiles. The central queue is the bound
// that the others are compared with. The workload is that of `tail` in section
// 1.10 of docs/design.md.
// Usage: routing_model [--seconds S] [--sigma S] [--latency-us L] [--seed N]
//                      [--fanout N] [--lend-margin-us M] [--full-speed-load]
//                      [--no-baselines]
#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <string>

#include "Tests/Libraries/Routing/fleet_simulation.h"

namespace dogwood {
namespace {

constexpr Duration kWarmup = std::chrono::seconds(3);    // not recorded
constexpr Duration kIdleTime = std::chrono::seconds(2);  // before the load

struct PolicyResult {
  double p50_milliseconds = 0;
  double p99_milliseconds = 0;
  std::uint32_t max_in_work = 0;
  double borrows_per_request = 0;
  double used_borrows_per_request = 0;
};

PolicyResult MakeResult(std::vector<float>& latencies,
                        std::uint32_t max_in_work) {
  return {.p50_milliseconds = Quantile(latencies, 0.5),
          .p99_milliseconds = Quantile(latencies, 0.99),
          .max_in_work = max_in_work};
}

PolicyResult RunRouter(const FleetSimulationOptions& options,
                       Duration duration) {
  FleetSimulation simulation(options);
  simulation.set_recording_start(TimePoint{} + kWarmup);
  simulation.RunFor(kIdleTime);
  simulation.StartLoad(options.load);
  simulation.RunFor(kWarmup - kIdleTime + duration);
  PolicyResult result =
      MakeResult(simulation.latencies(), simulation.max_in_work());
  result.borrows_per_request = static_cast<double>(simulation.borrows_sent()) /
                               static_cast<double>(simulation.answered());
  result.used_borrows_per_request =
      static_cast<double>(simulation.borrows_used()) /
      static_cast<double>(simulation.answered());
  return result;
}

// Backend servers and Poisson arrivals for the policies without permits.
struct BaselineSimulation {
  explicit BaselineSimulation(const FleetSimulationOptions& model_options)
      : options(model_options), engine(model_options.seed) {
    for (std::uint32_t server = 0; server < options.servers; ++server) {
      servers.push_back(std::make_unique<SimulatedBackendServer>(
          events, options.slots, engine()));
      servers.back()->set_slow_phases(options.has_slow_phases);
    }
  }

  void ScheduleArrivals(double arrivals_per_second,
                        const std::function<void()>& on_arrival) {
    const double interarrival_seconds =
        std::exponential_distribution<double>(arrivals_per_second)(engine);
    events.After(std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(interarrival_seconds)),
                 [this, arrivals_per_second, on_arrival] {
                   on_arrival();
                   ScheduleArrivals(arrivals_per_second, on_arrival);
                 });
  }

  void RecordLatency(TimePoint arrival, TimePoint end) {
    if (arrival < TimePoint{} + kWarmup) return;
    latencies.push_back(static_cast<float>(ToMilliseconds(end - arrival)));
  }

  PolicyResult Finish(Duration duration) {
    events.RunUntil(TimePoint{} + kWarmup + duration);
    std::uint32_t max_in_work = 0;
    for (const auto& server : servers) {
      max_in_work = std::max(max_in_work, server->max_in_work());
    }
    return MakeResult(latencies, max_in_work);
  }

  FleetSimulationOptions options;
  EventQueue events;
  std::mt19937_64 engine;
  std::vector<std::unique_ptr<SimulatedBackendServer>> servers;
  std::vector<float> latencies;
};

template <BaselinePolicy Policy>
PolicyResult RunBaseline(const FleetSimulationOptions& options,
                         Duration duration) {
  BaselineSimulation simulation(options);
  std::vector<Policy> host_policies(options.hosts);
  std::vector<std::vector<std::uint32_t>> in_flight(
      options.hosts, std::vector<std::uint32_t>(options.servers, 0));
  const double arrivals_per_second = ArrivalRate(options, options.load);
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    simulation.ScheduleArrivals(arrivals_per_second, [&, host] {
      const TimePoint arrival = simulation.events.now();
      const Duration service_time =
          SampleServiceTime(options, simulation.engine);
      const ServerIndex server =
          host_policies[host].Pick(in_flight[host], simulation.engine);
      ++in_flight[host][server];
      simulation.events.After(options.latency, [&, host, server, arrival,
                                                service_time] {
        simulation.servers[server]->Submit(service_time, [&, host, server,
                                                          arrival](bool) {
          simulation.events.After(options.latency, [&, host, server, arrival] {
            --in_flight[host][server];
            simulation.RecordLatency(arrival, simulation.events.now());
          });
        });
      });
    });
  }
  return simulation.Finish(duration);
}

// One queue for the whole fleet that knows without delay when a slot is free.
// Responses take one network round trip longer, but no slot idles for it.
PolicyResult RunCentralQueue(const FleetSimulationOptions& options,
                             Duration duration) {
  struct Request {
    TimePoint arrival;
    Duration service_time;
  };
  BaselineSimulation simulation(options);
  std::deque<Request> queue;
  std::function<void()> serve_queue = [&] {
    while (!queue.empty()) {
      std::size_t freest_server = options.servers;
      std::uint32_t most_free_slots = 0;
      const std::size_t offset = simulation.engine() % options.servers;
      for (std::size_t index = 0; index < options.servers; ++index) {
        const std::size_t server = (index + offset) % options.servers;
        if (simulation.servers[server]->free_slots() > most_free_slots) {
          most_free_slots = simulation.servers[server]->free_slots();
          freest_server = server;
        }
      }
      if (freest_server == options.servers) return;
      const Request request = queue.front();
      queue.pop_front();
      simulation.servers[freest_server]->Submit(
          request.service_time, [&, request](bool) {
            simulation.RecordLatency(
                request.arrival, simulation.events.now() + 2 * options.latency);
            serve_queue();
          });
    }
  };
  simulation.ScheduleArrivals(
      ArrivalRate(options, options.load) * options.hosts, [&] {
        queue.push_back({simulation.events.now(),
                         SampleServiceTime(options, simulation.engine)});
        serve_queue();
      });
  return simulation.Finish(duration);
}

void PrintRow(const char* name, double load, const PolicyResult& result,
              double bound_p99_milliseconds) {
  std::printf("%-14s %5.2f %8.2f %8.2f %8.2f %6u %9.3f %9.3f\n", name, load,
              result.p50_milliseconds, result.p99_milliseconds,
              result.p99_milliseconds / bound_p99_milliseconds,
              result.max_in_work, result.borrows_per_request,
              result.used_borrows_per_request);
  std::fflush(stdout);
}

int Run(int argc, char** argv) {
  FleetSimulationOptions options;
  Duration duration = std::chrono::seconds(20);
  bool should_run_baselines = true;
  static const option kLongOptions[] = {
      {"seconds", required_argument, nullptr, 's'},
      {"sigma", required_argument, nullptr, 'g'},
      {"latency-us", required_argument, nullptr, 'l'},
      {"seed", required_argument, nullptr, 'r'},
      {"fanout", required_argument, nullptr, 'f'},
      {"lend-margin-us", required_argument, nullptr, 'm'},
      {"full-speed-load", no_argument, nullptr, 'u'},
      {"no-baselines", no_argument, nullptr, 'n'},
      {nullptr, 0, nullptr, 0}};
  int option_letter = 0;
  while ((option_letter = getopt_long(argc, argv, "", kLongOptions, nullptr)) !=
         -1) {
    switch (option_letter) {
      case 's':
        duration = std::chrono::seconds(std::strtol(optarg, nullptr, 10));
        break;
      case 'g':
        options.sigma = std::strtod(optarg, nullptr);
        break;
      case 'l':
        options.latency =
            std::chrono::microseconds(std::strtol(optarg, nullptr, 10));
        break;
      case 'r':
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'f':
        options.router.borrow_fanout =
            static_cast<std::uint32_t>(std::strtoul(optarg, nullptr, 10));
        break;
      case 'm':
        options.router.lend_margin =
            std::chrono::microseconds(std::strtol(optarg, nullptr, 10));
        break;
      case 'u':
        options.is_load_relative_to_full_speed = true;
        break;
      case 'n':
        should_run_baselines = false;
        break;
      default:
        return 2;
    }
  }
  std::printf("%-14s %5s %8s %8s %8s %6s %9s %9s\n", "policy", "load", "p50 ms",
              "p99 ms", "/bound", "in work", "borrows", "borrowed");
  for (const double load : {0.7, 0.85}) {
    options.load = load;
    const PolicyResult central_queue = RunCentralQueue(options, duration);
    PrintRow("central-queue", load, central_queue,
             central_queue.p99_milliseconds);
    PrintRow("router", load, RunRouter(options, duration),
             central_queue.p99_milliseconds);
    if (!should_run_baselines) continue;
    PrintRow("round-robin", load,
             RunBaseline<RoundRobinPolicy>(options, duration),
             central_queue.p99_milliseconds);
    PrintRow("random", load, RunBaseline<RandomPolicy>(options, duration),
             central_queue.p99_milliseconds);
    PrintRow("two-choices", load,
             RunBaseline<PowerOfTwoChoicesPolicy>(options, duration),
             central_queue.p99_milliseconds);
  }
  return 0;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) { return dogwood::Run(argc, argv); }
