// p99 of the router against baseline policies and one central queue, in virtual
// time, with the workload of docs/design.md section 1.10 `tail`.
// Usage: routing_model [--seconds S] [--sigma S] [--latency-us L] [--seed N]
//                      [--fanout N] [--lend-margin-us M] [--full-speed-load]
//                      [--no-baselines]
#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <string>

#include "Tests/Libraries/Routing/fleet_model.h"

namespace dogwood {
namespace {

constexpr Duration kWarmUp = std::chrono::seconds(3);

struct Row {
  double p50 = 0;
  double p99 = 0;
  std::uint32_t max_in_work = 0;
  double borrows_per_request = 0;
  double used_per_request = 0;
};

Row Summary(std::vector<float>& latencies, std::uint32_t max_in_work) {
  return {.p50 = QuantileOf(latencies, 0.5),
          .p99 = QuantileOf(latencies, 0.99),
          .max_in_work = max_in_work};
}

Row RunRouter(const FleetModelOptions& options, Duration duration) {
  FleetModel model(options);
  model.set_record_from(TimePoint{} + kWarmUp);
  model.RunFor(std::chrono::seconds(2));
  model.StartLoad(options.load);
  model.RunFor(kWarmUp - std::chrono::seconds(2) + duration);
  Row row = Summary(model.latencies(), model.max_in_work());
  row.borrows_per_request = static_cast<double>(model.borrows_sent()) /
                            static_cast<double>(model.answered());
  row.used_per_request = static_cast<double>(model.borrows_used()) /
                         static_cast<double>(model.answered());
  return row;
}

// Servers and Poisson arrivals shared by the policies without permits.
struct Baseline {
  explicit Baseline(const FleetModelOptions& model_options)
      : options(model_options), engine(model_options.seed) {
    for (std::uint32_t server = 0; server < options.servers; ++server) {
      servers.push_back(
          std::make_unique<ModelServer>(events, options.slots, engine()));
      servers.back()->set_slow_phases(options.has_slow_phases);
    }
  }

  void Arrivals(double rate, const std::function<void()>& on_arrival) {
    const double gap = std::exponential_distribution<double>(rate)(engine);
    events.After(std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(gap)),
                 [this, rate, on_arrival] {
                   on_arrival();
                   Arrivals(rate, on_arrival);
                 });
  }

  void Record(TimePoint arrival, TimePoint end) {
    if (arrival < TimePoint{} + kWarmUp) return;
    latencies.push_back(static_cast<float>(ToMilliseconds(end - arrival)));
  }

  Row Finish(Duration duration) {
    events.RunUntil(TimePoint{} + kWarmUp + duration);
    std::uint32_t max_in_work = 0;
    for (const auto& server : servers) {
      max_in_work = std::max(max_in_work, server->max_in_work());
    }
    return Summary(latencies, max_in_work);
  }

  FleetModelOptions options;
  EventQueue events;
  std::mt19937_64 engine;
  std::vector<std::unique_ptr<ModelServer>> servers;
  std::vector<float> latencies;
};

template <BaselinePolicy Policy>
Row RunBaseline(const FleetModelOptions& options, Duration duration) {
  Baseline run(options);
  std::vector<Policy> policies(options.hosts);
  std::vector<std::vector<std::uint32_t>> in_flight(
      options.hosts, std::vector<std::uint32_t>(options.servers, 0));
  const double rate = ArrivalRate(options, options.load);
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    run.Arrivals(rate, [&, host] {
      const TimePoint arrival = run.events.now();
      const Duration size = DrawServiceTime(options, run.engine);
      const ServerIndex server =
          policies[host].Pick(in_flight[host], run.engine);
      ++in_flight[host][server];
      run.events.After(options.latency, [&, host, server, arrival, size] {
        run.servers[server]->Submit(size, [&, host, server, arrival](bool) {
          run.events.After(options.latency, [&, host, server, arrival] {
            --in_flight[host][server];
            run.Record(arrival, run.events.now());
          });
        });
      });
    });
  }
  return run.Finish(duration);
}

// One queue for the whole fleet that knows at once when a slot is free.
// Requests pass the network once each way, but no slot waits for the network.
Row RunCentralQueue(const FleetModelOptions& options, Duration duration) {
  struct Request {
    TimePoint arrival;
    Duration size;
  };
  Baseline run(options);
  std::deque<Request> queue;
  std::function<void()> serve = [&] {
    while (!queue.empty()) {
      std::size_t best = options.servers;
      std::uint32_t most = 0;
      const std::size_t offset = run.engine() % options.servers;
      for (std::size_t index = 0; index < options.servers; ++index) {
        const std::size_t server = (index + offset) % options.servers;
        if (run.servers[server]->free_slots() > most) {
          most = run.servers[server]->free_slots();
          best = server;
        }
      }
      if (best == options.servers) return;
      const Request request = queue.front();
      queue.pop_front();
      run.servers[best]->Submit(request.size, [&, request](bool) {
        run.Record(request.arrival, run.events.now() + 2 * options.latency);
        serve();
      });
    }
  };
  run.Arrivals(ArrivalRate(options, options.load) * options.hosts, [&] {
    queue.push_back({run.events.now(), DrawServiceTime(options, run.engine)});
    serve();
  });
  return run.Finish(duration);
}

void Print(const char* name, double load, const Row& row, double bound) {
  std::printf("%-14s %5.2f %8.2f %8.2f %8.2f %6u %9.3f %9.3f\n", name, load,
              row.p50, row.p99, row.p99 / bound, row.max_in_work,
              row.borrows_per_request, row.used_per_request);
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  FleetModelOptions options;
  Duration duration = std::chrono::seconds(20);
  bool has_baselines = true;
  static const option kOptions[] = {
      {"seconds", required_argument, nullptr, 's'},
      {"sigma", required_argument, nullptr, 'g'},
      {"latency-us", required_argument, nullptr, 'l'},
      {"seed", required_argument, nullptr, 'r'},
      {"fanout", required_argument, nullptr, 'f'},
      {"lend-margin-us", required_argument, nullptr, 'm'},
      {"full-speed-load", no_argument, nullptr, 'u'},
      {"no-baselines", no_argument, nullptr, 'n'},
      {nullptr, 0, nullptr, 0}};
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    switch (choice) {
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
        options.is_load_of_full_speed = true;
        break;
      case 'n':
        has_baselines = false;
        break;
      default:
        return 2;
    }
  }
  std::printf("%-14s %5s %8s %8s %8s %6s %9s %9s\n", "policy", "load", "p50 ms",
              "p99 ms", "/bound", "in work", "borrows", "borrowed");
  for (const double load : {0.7, 0.85}) {
    options.load = load;
    const Row bound = RunCentralQueue(options, duration);
    Print("central-queue", load, bound, bound.p99);
    Print("router", load, RunRouter(options, duration), bound.p99);
    if (!has_baselines) continue;
    Print("round-robin", load, RunBaseline<RoundRobin>(options, duration),
          bound.p99);
    Print("random", load, RunBaseline<RandomChoice>(options, duration),
          bound.p99);
    Print("two-choices", load, RunBaseline<TwoChoices>(options, duration),
          bound.p99);
  }
  return 0;
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) { return dogwood::Main(argc, argv); }
