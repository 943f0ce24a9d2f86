#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Libraries/Routing/routing.h"
#include "Tests/Libraries/Routing/event_queue.h"
#include "Tests/Libraries/Routing/simulated_backend_server.h"

namespace dogwood {

struct FleetSimulationOptions {
  std::uint32_t hosts = 18;
  std::uint32_t servers = 30;
  std::uint32_t slots = 6;
  double load = 0.7;
  // Load 1 is the capacity of all slots at full speed. Otherwise it is the
  // capacity at the mean speed including slow phases, which is 13% lower.
  bool is_load_relative_to_full_speed = false;
  double mean_service_ms = 10;
  double sigma = 0.7;  // of log-normal service times
  bool has_slow_phases = true;
  Duration latency = std::chrono::microseconds(500);  // one way, on every link
  double long_request_fraction = 0;
  Duration long_service_time = std::chrono::seconds(4);
  double borrow_loss_probability = 0;
  Duration maximum_borrow_jitter{};  // uniformly distributed
  Duration deadline = std::chrono::seconds(60);
  std::uint64_t seed = 1;
  RouterOptions router;
};

// Discrete-event simulation of entry hosts with one ServiceRouter each, backend
// servers and the messages between them. Hosts can pause, crash, restart and
// have different views of the fleet, as controlled by the test.
class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetSimulationOptions& options);
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;

  EventQueue& events() { return events_; }
  std::mt19937_64& engine() { return engine_; }
  // Starts Poisson arrivals at all hosts with the given load.
  void StartLoad(double load) {
    load_ = load;
    for (std::uint32_t host = 0; host < options_.hosts; ++host)
      GenerateArrival(host);
  }
  void set_load(double load) { load_ = load; }
  void RunFor(Duration duration) { events_.RunUntil(events_.now() + duration); }

  // --- Fleet changes ---
  // Replaces the set of hosts that `host` considers live.
  void SetView(std::uint32_t host, const std::set<std::uint32_t>& alive);
  const std::set<std::uint32_t>& view(std::uint32_t host) const {
    return hosts_[host].view;
  }
  void SetZoneOutOfRotation(std::uint32_t host, const std::string& zone,
                            bool is_out_of_rotation);
  void SetZoneSlots(std::uint32_t server, std::uint32_t slots) {
    zone_slots_[server] = slots;
  }
  void ApplyConfiguration(std::uint32_t host);
  void Pause(std::uint32_t host, Duration duration);
  void Crash(std::uint32_t host);
  // Stops all hosts and starts the given ones as a new fleet.
  void RestartFleet(const std::set<std::uint32_t>& alive);
  void Restart(std::uint32_t host, HostStartKind rule);

  // --- Observations ---
  ServiceRouter& router(std::uint32_t host) { return *hosts_[host].router; }
  SimulatedBackendServer& server(std::uint32_t server) {
    return *servers_[server];
  }
  const FleetSimulationOptions& options() const { return options_; }
  static std::string ZoneName(std::uint32_t server) {
    return "zone" + std::to_string(server % 3);
  }
  // Called when a request arrives at a backend server.
  std::function<void(std::uint32_t host, std::uint32_t server,
                     const Permit& permit)>
      on_start;
  // Called when a host receives a response.
  std::function<void(std::uint32_t host, std::uint32_t server,
                     const AttemptObservation& observation)>
      on_response;
  // Sets the arrival time from which latencies, in ms, are recorded.
  void set_recording_start(TimePoint time) { record_from_ = time; }
  std::vector<float>& latencies() { return latencies_; }
  std::uint64_t answered() const { return answered_; }
  std::uint64_t refused() const { return refused_; }
  std::uint64_t borrows_sent() const { return borrows_sent_; }
  std::uint64_t borrows_used() const { return borrows_used_; }
  std::uint64_t borrows_unused() const { return borrows_unused_; }
  std::uint32_t max_in_work() const;
  std::uint64_t excess_starts() const;
  // Requests that arrived on a slot that still ran another request.
  std::uint64_t shared_slot_starts() const { return shared_slot_starts_; }

 private:
  struct Pending {
    TimePoint arrival;
    Duration size;
  };
  struct Host {
    std::unique_ptr<ServiceRouter> router;
    std::unique_ptr<std::mt19937_64> engine;
    RouterActions actions;
    std::set<std::uint32_t> view;
    std::set<std::string> zones_out_of_rotation;
    std::unordered_map<std::uint64_t, Pending> pending;
    std::uint64_t incarnation = 0;
    HostStartKind start_rule = HostStartKind::kNewHost;
    bool is_running = false;
    TimePoint paused_until{};
  };

  void StartHost(std::uint32_t host);
  // Runs the handler on the host: after the end of a pause, and not at all if
  // the host was restarted meanwhile.
  void RunOnHost(std::uint32_t host, std::uint64_t incarnation,
                 std::function<void()> handler);
  void SendToHost(
      std::uint32_t from, std::uint32_t to, bool is_borrow_message,
      std::function<void(ServiceRouter&, RouterActions&, HostIndex)> handler);
  void GenerateArrival(std::uint32_t host);
  void ExecuteActions(std::uint32_t host);
  void ExecuteAction(std::uint32_t host, const RouterAction& action);
  void SendToServer(std::uint32_t host, const Permit& permit,
                    std::uint64_t request);
  void TickLoop(std::uint32_t host, std::uint64_t incarnation);
  void LeaseLoop(std::uint32_t host, std::uint64_t incarnation);
  std::uint32_t HostNumber(std::uint32_t host, HostIndex index) const;
  Duration DrawService();

  FleetSimulationOptions options_;
  EventQueue events_;
  std::mt19937_64 engine_;
  std::vector<Host> hosts_;
  std::vector<std::unique_ptr<SimulatedBackendServer>> servers_;
  std::vector<std::uint32_t> zone_slots_;
  std::vector<std::uint32_t> running_by_slot_;  // requests, by server and slot
  std::uint64_t shared_slot_starts_ = 0;
  double load_ = 0;
  std::uint64_t next_request_ = 1;
  TimePoint record_from_{};
  std::vector<float> latencies_;
  std::uint64_t answered_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t borrows_sent_ = 0;
  std::uint64_t borrows_used_ = 0;
  std::uint64_t borrows_unused_ = 0;
};

// Arrival rate per host, in requests per second, that produces the load.
double ArrivalRate(const FleetSimulationOptions& options, double load);
// Returns the value at the quantile. Reorders `values`.
double Quantile(std::vector<float>& values, double quantile);
// Draws a random service time.
Duration SampleServiceTime(const FleetSimulationOptions& options,
                           std::mt19937_64& engine);

}  // namespace dogwood
