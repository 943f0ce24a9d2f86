#pragma once

#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

#include "Libraries/Balancing/balancing.h"

namespace dogwood {

// A service on a virtual clock: backend servers on noisy machines with a knee,
// callers that come back after a refusal or a timeout, and one dispatcher.
struct ModelOptions {
  int servers = 29;
  unsigned slots = 6;
  int queue = 12;             // requests a server queues beyond its slots
  double noisy_part = 0.35;   // of the time a server's machine is noisy
  double noise_slowdown = 7;  // of work on a noisy machine
  Duration noise_period = std::chrono::milliseconds(500);
  double knee_slowdown = 1.7;  // of work above 0.8 of the slots; 1: no knee
  Duration work = std::chrono::milliseconds(220);
  Duration goal = std::chrono::milliseconds(600);
  Duration timeout = std::chrono::milliseconds(2000);   // of the route
  Duration patience = std::chrono::milliseconds(4000);  // of a caller
  int caller_retries = 2;
  Duration report_interval = std::chrono::milliseconds(100);
  std::uint64_t seed = 1;
  bool has_admission = true;  // false: random servers, nothing refused
};

// Requests by the second in which their caller first asked.
struct ModelSecond {
  int asked = 0;
  int in_goal = 0;
  int served = 0;
  int refusals = 0;
};

class DispatchModel {
 public:
  explicit DispatchModel(ModelOptions options);

  // Plays `seconds` at `rate(second)` new requests a second.
  template <typename Rate>
  std::vector<ModelSecond> Play(int seconds, Rate rate);

  // Share of the requests of [from, to) that were answered within the goal.
  static double InGoal(const std::vector<ModelSecond>& seconds, int from,
                       int to);

  // Greatest number of requests at a server at any time.
  int most_at_a_server() const { return most_at_a_server_; }
  // Takes a server out of the registrations or back in.
  void SetRegistered(int server, bool is_registered);
  // Makes a server fail this share of its requests at once.
  void SetFailing(int server, double share);

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(4);

  struct Caller {
    TimePoint first_asked_at{};
    int retries_left = 0;
    TimePoint next_try_at{};
  };
  struct Job {
    std::uint64_t number = 0;
    Caller caller;
    double work_left = 0;  // seconds at the usual speed
    TimePoint sent_at{};
    TimePoint deadline{};
    Placement placement;
  };
  struct Server {
    ServerEntry entry;
    ServerKey key;
    bool is_noisy = false;
    bool is_registered = true;
    double failing_share = 0;
    std::vector<Job> jobs;  // the first `slots` run, the others wait
  };
  struct Waiting {
    Caller caller;
    TimePoint deadline{};
  };

  void Register();
  void Arrive(const Caller& caller);
  void Apply(const DispatchDecision& decision);
  void Send(const Caller& caller, std::uint64_t number,
            const Placement& placement, TimePoint deadline);
  void Advance(Server& server);
  void End(Server& server, std::size_t index, AttemptOutcome outcome);
  void ComeBack(Caller caller, Duration delay);
  ModelSecond& SecondOf(const Caller& caller);

  ModelOptions options_;
  std::mt19937_64 random_;
  TimePoint start_;
  TimePoint now_;
  ServerTable table_;
  PeerTable peers_;
  Dispatcher dispatcher_;
  std::vector<Server> servers_;
  std::vector<std::pair<std::uint64_t, Waiting>> waiting_;
  std::vector<Caller> returning_;
  std::vector<ModelSecond> seconds_;
  std::uint64_t last_number_ = 0;
  int most_at_a_server_ = 0;
};

template <typename Rate>
std::vector<ModelSecond> DispatchModel::Play(int seconds, Rate rate) {
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
      Arrive({now_, options_.caller_retries, now_});
    std::vector<Caller> due;
    std::erase_if(returning_, [&](const Caller& caller) {
      if (caller.next_try_at > now_) return false;
      due.push_back(caller);
      return true;
    });
    for (const Caller& caller : due) Arrive(caller);
    const double flip =
        1 -
        std::exp(-step /
                 std::chrono::duration<double>(options_.noise_period).count());
    for (Server& server : servers_) {
      if (uniform(random_) < flip)
        server.is_noisy = uniform(random_) < options_.noisy_part;
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
    for (const DispatchDecision& decision : dispatcher_.Review(now_))
      Apply(decision);
  }
  return seconds_;
}

}  // namespace dogwood
