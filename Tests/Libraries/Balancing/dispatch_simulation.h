#pragma once

#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

#include "Libraries/Balancing/balancing.h"

namespace dogwood {

// Simulates a service on a virtual clock: backend servers with noisy neighbours
// and a knee in their latency, callers that retry after a refusal or a failure,
// and one dispatcher.
struct SimulationOptions {
  int servers = 29;
  unsigned slots = 6;
  int queue = 12;             // requests that a server queues beyond its slots
  double noisy_share = 0.35;  // of the time that a server has a noisy neighbour
  double noise_slowdown = 7;  // factor on the service time
  Duration noise_period = std::chrono::milliseconds(500);
  double knee_slowdown = 1.7;  // factor above kKneeUtilization; 1: no knee
  Duration service_time = std::chrono::milliseconds(220);
  Duration latency_goal = std::chrono::milliseconds(600);
  Duration timeout = std::chrono::milliseconds(2000);  // per attempt
  Duration caller_timeout =
      std::chrono::milliseconds(4000);  // all attempts of a caller
  int caller_retries = 2;
  Duration report_interval = std::chrono::milliseconds(100);
  std::uint64_t seed = 1;
  bool has_admission = true;  // false: random server, nothing is refused
};

// Counts of the requests whose first attempt falls into one second.
struct SecondStatistics {
  int new_requests = 0;
  int within_goal = 0;
  int served = 0;
  int refusals = 0;
};

class DispatchSimulation {
 public:
  explicit DispatchSimulation(SimulationOptions options);

  // Simulates `seconds` seconds at `rate(second)` new requests per second.
  template <typename Rate>
  std::vector<SecondStatistics> Run(int seconds, Rate rate);

  // Share of the requests of the seconds [from, to) that met the latency goal.
  static double ShareWithinGoal(const std::vector<SecondStatistics>& seconds,
                                int from, int to);

  // Greatest number of requests at one server at any time.
  int peak_in_flight_per_server() const { return peak_in_flight_per_server_; }
  // Adds or removes the registration of a server.
  void SetRegistered(int server, bool is_registered);
  // Makes a server fail this share of its requests immediately.
  void SetFailing(int server, double share);

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(4);

  struct Caller {
    TimePoint first_sent_at{};
    int retries_left = 0;
    TimePoint next_try_at{};
  };
  struct Job {
    std::uint64_t request_number = 0;
    Caller caller;
    double remaining_work = 0;  // seconds at full speed
    TimePoint sent_at{};
    TimePoint deadline{};
    ServerSelection selection;
  };
  struct Server {
    ServerRegistration registration;
    ServerKey key;
    bool is_noisy = false;
    bool is_registered = true;
    double failing_share = 0;
    std::vector<Job> jobs;  // the first `slots` jobs run, others are queued
  };
  struct QueuedRequest {
    Caller caller;
    TimePoint deadline{};
  };

  void Register();
  void OnArrival(const Caller& caller);
  void Apply(const DispatchDecision& decision);
  void Send(const Caller& caller, std::uint64_t request_number,
            const ServerSelection& selection, TimePoint deadline);
  void Advance(Server& server);
  void End(Server& server, std::size_t index, AttemptOutcome outcome);
  void ScheduleRetry(Caller caller, Duration delay);
  SecondStatistics& SecondOf(const Caller& caller);

  SimulationOptions options_;
  std::mt19937_64 random_;
  TimePoint start_;
  TimePoint now_;
  ServerTable table_;
  PeerTable peers_;
  Dispatcher dispatcher_;
  std::vector<Server> servers_;
  std::vector<std::pair<std::uint64_t, QueuedRequest>> queued_requests_;
  std::vector<Caller> returning_;
  std::vector<SecondStatistics> seconds_;
  std::uint64_t last_request_number_ = 0;
  int peak_in_flight_per_server_ = 0;
};

template <typename Rate>
std::vector<SecondStatistics> DispatchSimulation::Run(int seconds, Rate rate) {
  seconds_.assign(static_cast<std::size_t>(seconds) + 1, {});
  std::uniform_real_distribution<double> uniform(0, 1);
  const double step = std::chrono::duration<double>(kStep).count();
  TimePoint reported_at{};
  while (now_ < start_ + std::chrono::seconds(seconds)) {
    now_ += kStep;
    const auto second =
        static_cast<int>((now_ - start_) / std::chrono::seconds(1));
    std::poisson_distribution<int> arrivals(rate(second) * step);
    for (int i = arrivals(random_); i > 0; --i)
      OnArrival({now_, options_.caller_retries, now_});
    std::vector<Caller> due;
    std::erase_if(returning_, [&](const Caller& caller) {
      if (caller.next_try_at > now_) return false;
      due.push_back(caller);
      return true;
    });
    for (const Caller& caller : due) OnArrival(caller);
    const double toggle_probability =
        1 -
        std::exp(-step /
                 std::chrono::duration<double>(options_.noise_period).count());
    for (Server& server : servers_) {
      if (uniform(random_) < toggle_probability)
        server.is_noisy = uniform(random_) < options_.noisy_share;
      Advance(server);
    }
    if (now_ - reported_at >= options_.report_interval) {
      reported_at = now_;
      for (const Server& server : servers_) {
        table_.OnReport(server.key, ReportSource::kHealthCheck,
                        {static_cast<unsigned>(server.jobs.size()),
                         server.is_noisy ? options_.noise_slowdown : 1},
                        Duration::zero(), now_);
      }
    }
    for (const DispatchDecision& decision : dispatcher_.ProcessQueue(now_))
      Apply(decision);
  }
  return seconds_;
}

}  // namespace dogwood
