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
#include "Tests/Libraries/Routing/model_server.h"

namespace dogwood {

struct FleetModelOptions {
  std::uint32_t hosts = 18;
  std::uint32_t servers = 30;
  std::uint32_t slots = 6;
  double load = 0.7;
  // Load 1 is the rate that all slots serve at full speed; otherwise at the
  // mean speed with slow phases, which is 13% less.
  bool is_load_of_full_speed = false;
  double mean_service_ms = 10;
  double sigma = 0.7;  // of the log-normal service time
  bool has_slow_phases = true;
  Duration latency = std::chrono::microseconds(500);  // one way, all links
  double long_fraction = 0;  // of requests, which take long_service
  Duration long_service = std::chrono::seconds(4);
  double borrow_loss = 0;    // of borrow messages
  Duration borrow_jitter{};  // uniform extra delay of borrow messages
  Duration deadline = std::chrono::seconds(60);
  std::uint64_t seed = 1;
  RouterOptions router;
};

// Entry hosts with one ServiceRouter each, backend servers and the messages
// between them in virtual time. Hosts can pause, crash, restart and see
// different members; the driver decides when.
class FleetModel {
 public:
  explicit FleetModel(const FleetModelOptions& options);
  FleetModel(const FleetModel&) = delete;
  FleetModel& operator=(const FleetModel&) = delete;

  EventQueue& events() { return events_; }
  std::mt19937_64& engine() { return engine_; }
  // Starts Poisson arrivals at all hosts, at this load.
  void StartLoad(double load) {
    load_ = load;
    for (std::uint32_t host = 0; host < options_.hosts; ++host) Arrive(host);
  }
  void set_load(double load) { load_ = load; }
  void RunFor(Duration duration) { events_.RunUntil(events_.now() + duration); }

  // --- Changes of the fleet ---
  // Host's view of who is alive; applied now.
  void SetView(std::uint32_t host, const std::set<std::uint32_t>& alive);
  const std::set<std::uint32_t>& view(std::uint32_t host) const {
    return hosts_[host].view;
  }
  void SetZoneOut(std::uint32_t host, const std::string& zone, bool is_out);
  void SetZoneSlots(std::uint32_t server, std::uint32_t slots) {
    zone_slots_[server] = slots;
  }
  void ApplyFleet(std::uint32_t host);
  void Pause(std::uint32_t host, Duration duration);
  void Crash(std::uint32_t host);
  // Ends all hosts and starts these, as if no other had existed.
  void StartOver(const std::set<std::uint32_t>& alive);
  void Restart(std::uint32_t host, StartRule rule);

  // --- What happened ---
  ServiceRouter& router(std::uint32_t host) { return *hosts_[host].router; }
  ModelServer& server(std::uint32_t server) { return *servers_[server]; }
  const FleetModelOptions& options() const { return options_; }
  static std::string ZoneName(std::uint32_t server) {
    return "zone" + std::to_string(server % 3);
  }
  // Called when a request reaches a server.
  std::function<void(std::uint32_t host, std::uint32_t server,
                     const Permit& permit)>
      on_start;
  // Called when a host takes in a response.
  std::function<void(std::uint32_t host, std::uint32_t server,
                     const RouterObservation& observation)>
      on_response;
  // Latencies in ms of answered requests that arrived after this time.
  void set_record_from(TimePoint time) { record_from_ = time; }
  std::vector<float>& latencies() { return latencies_; }
  std::uint64_t answered() const { return answered_; }
  std::uint64_t refused() const { return refused_; }
  std::uint64_t borrows_sent() const { return borrows_sent_; }
  std::uint64_t borrows_used() const { return borrows_used_; }
  std::uint64_t borrows_unused() const { return borrows_unused_; }
  std::uint32_t max_in_work() const;
  std::uint64_t over_use() const;
  // Requests that reached a server on a slot with unfinished work.
  std::uint64_t double_use() const { return double_use_; }

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
    std::set<std::string> zones_out;
    std::unordered_map<std::uint64_t, Pending> pending;
    std::uint64_t incarnation = 0;
    StartRule start_rule = StartRule::kNewHost;
    bool is_running = false;
    TimePoint paused_until{};
  };

  void Boot(std::uint32_t host);
  // Runs the handler on the host: later when it is paused, never when it was
  // restarted meanwhile.
  void OnHost(std::uint32_t host, std::uint64_t incarnation,
              std::function<void()> handler);
  void ToHost(
      std::uint32_t from, std::uint32_t to, bool is_borrow_message,
      std::function<void(ServiceRouter&, RouterActions&, HostIndex)> handler);
  void Arrive(std::uint32_t host);
  void Perform(std::uint32_t host);
  void PerformOne(std::uint32_t host, const RouterAction& action);
  void Send(std::uint32_t host, const Permit& permit, std::uint64_t request);
  void TickLoop(std::uint32_t host, std::uint64_t incarnation);
  void LeaseLoop(std::uint32_t host, std::uint64_t incarnation);
  std::uint32_t HostNumber(std::uint32_t host, HostIndex index) const;
  Duration DrawService();

  FleetModelOptions options_;
  EventQueue events_;
  std::mt19937_64 engine_;
  std::vector<Host> hosts_;
  std::vector<std::unique_ptr<ModelServer>> servers_;
  std::vector<std::uint32_t> zone_slots_;
  std::vector<std::uint32_t> slot_users_;  // by server and slot
  std::uint64_t double_use_ = 0;
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

// Requests per second and host that give the load.
double ArrivalRate(const FleetModelOptions& options, double load);
// The value at the quantile, by sorting.
double QuantileOf(std::vector<float>& values, double quantile);
// One service time.
Duration DrawServiceTime(const FleetModelOptions& options,
                         std::mt19937_64& engine);

}  // namespace dogwood
