#include "Tests/Libraries/Routing/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dogwood {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kPingInterval = std::chrono::milliseconds(250);

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

FleetSimulation::FleetSimulation(const FleetSimulationOptions& options)
    : options_(options), engine_(options.seed), hosts_(options.hosts) {
  for (std::uint32_t server = 0; server < options.servers; ++server) {
    servers_.push_back(std::make_unique<SimulatedBackendServer>(
        events_, options.slots, engine_()));
    servers_.back()->set_slow_phases(options.has_slow_phases);
    zone_slots_.push_back(options.slots);
  }
  running_by_slot_.assign(std::size_t{options.servers} * kMaximumSlots, 0);
  std::set<std::uint32_t> all;
  for (std::uint32_t host = 0; host < options.hosts; ++host) all.insert(host);
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    hosts_[host].view = all;
    StartHost(host);
  }
}

void FleetSimulation::StartHost(std::uint32_t host) {
  Host& state = hosts_[host];
  ++state.incarnation;
  state.is_running = true;
  state.paused_until = events_.now();
  state.pending.clear();
  state.actions.clear();
  state.engine = std::make_unique<std::mt19937_64>(engine_());
  RouterOptions router_options = options_.router;
  router_options.first_borrow_generation = state.incarnation << 32;
  state.router = std::make_unique<ServiceRouter>(router_options, *state.engine);
  ApplyConfiguration(host);
  LeaseLoop(host, state.incarnation);
  TickLoop(host, state.incarnation);
}

void FleetSimulation::ApplyConfiguration(std::uint32_t host) {
  Host& state = hosts_[host];
  if (!state.is_running) return;
  RunOnHost(host, state.incarnation, [this, host] {
    Host& self = hosts_[host];
    RouterConfiguration fleet;
    fleet.start_rule = self.start_rule;
    fleet.self = HostId("host" + std::to_string(host));
    for (const std::uint32_t other : self.view) {
      fleet.hosts.emplace_back("host" + std::to_string(other));
    }
    for (std::uint32_t server = 0; server < options_.servers; ++server) {
      fleet.servers.push_back(
          {.id = ServerId("server" + std::to_string(server)),
           .zone = ZoneId(ZoneName(server)),
           .slots = options_.slots,
           .zone_slots = zone_slots_[server],
           .is_out_of_rotation =
               self.zones_out_of_rotation.contains(ZoneName(server))});
    }
    self.router->ApplyConfiguration(fleet, events_.now(), self.actions);
    ExecuteActions(host);
  });
}

void FleetSimulation::SetView(std::uint32_t host,
                              const std::set<std::uint32_t>& alive) {
  hosts_[host].view = alive;
  hosts_[host].view.insert(host);
  ApplyConfiguration(host);
}

void FleetSimulation::SetZoneOutOfRotation(std::uint32_t host,
                                           const std::string& zone,
                                           bool is_out_of_rotation) {
  if (is_out_of_rotation) {
    hosts_[host].zones_out_of_rotation.insert(zone);
  } else {
    hosts_[host].zones_out_of_rotation.erase(zone);
  }
  ApplyConfiguration(host);
}

void FleetSimulation::Pause(std::uint32_t host, Duration duration) {
  hosts_[host].paused_until = events_.now() + duration;
}

void FleetSimulation::Crash(std::uint32_t host) {
  hosts_[host].is_running = false;
  ++hosts_[host].incarnation;
}

void FleetSimulation::RestartFleet(const std::set<std::uint32_t>& alive) {
  for (std::uint32_t host = 0; host < options_.hosts; ++host) Crash(host);
  for (const std::uint32_t host : alive) {
    hosts_[host].view = alive;
    StartHost(host);
  }
}

void FleetSimulation::Restart(std::uint32_t host, HostStartKind rule) {
  hosts_[host].start_rule = rule;
  StartHost(host);
}

void FleetSimulation::RunOnHost(std::uint32_t host, std::uint64_t incarnation,
                                std::function<void()> handler) {
  Host& state = hosts_[host];
  if (!state.is_running || state.incarnation != incarnation) return;
  if (state.paused_until > events_.now()) {
    events_.At(state.paused_until,
               [this, host, incarnation, handler = std::move(handler)] {
                 RunOnHost(host, incarnation, handler);
               });
    return;
  }
  handler();
}

std::uint32_t FleetSimulation::HostNumber(std::uint32_t host,
                                          HostIndex index) const {
  return static_cast<std::uint32_t>(
      std::stoul(hosts_[host].router->host_id(index).value().substr(4)));
}

void FleetSimulation::SendToHost(
    std::uint32_t from, std::uint32_t to, bool is_borrow_message,
    std::function<void(ServiceRouter&, RouterActions&, HostIndex)> handler) {
  if (!hosts_[to].is_running) return;
  Duration delay = options_.latency;
  if (is_borrow_message) {
    if (options_.borrow_loss_probability > 0 &&
        std::bernoulli_distribution(options_.borrow_loss_probability)(
            engine_)) {
      return;
    }
    if (options_.maximum_borrow_jitter > Duration::zero()) {
      delay += Duration(std::uniform_int_distribution<std::int64_t>(
          0, options_.maximum_borrow_jitter.count())(engine_));
    }
  }
  const std::uint64_t incarnation = hosts_[to].incarnation;
  events_.After(
      delay, [this, from, to, incarnation, handler = std::move(handler)] {
        RunOnHost(to, incarnation, [this, from, to, handler] {
          Host& host = hosts_[to];
          const HostIndex index =
              host.router->host_index(HostId("host" + std::to_string(from)));
          if (index == kInvalidIndex) return;
          handler(*host.router, host.actions, index);
          ExecuteActions(to);
        });
      });
}

void FleetSimulation::GenerateArrival(std::uint32_t host) {
  if (load_ > 0 && hosts_[host].is_running &&
      hosts_[host].paused_until <= events_.now()) {
    Host& state = hosts_[host];
    const std::uint64_t request = next_request_++;
    state.pending[request] = {.arrival = events_.now(),
                              .size = SampleServiceTime(options_, engine_)};
    const PermitAcquisition result =
        state.router->Acquire({.id = request,
                               .arrival = events_.now(),
                               .deadline = events_.now() + options_.deadline},
                              events_.now(), state.actions);
    if (result.kind == PermitAcquisition::Kind::kGranted) {
      SendToServer(host, result.permit, request);
    } else if (result.kind == PermitAcquisition::Kind::kRefused) {
      ++refused_;
      state.pending.erase(request);
    }
    ExecuteActions(host);
  }
  const double rate = ArrivalRate(options_, std::max(load_, 0.001));
  events_.After(
      FromSeconds(std::exponential_distribution<double>(rate)(engine_)),
      [this, host] { GenerateArrival(host); });
}

void FleetSimulation::ExecuteActions(std::uint32_t host) {
  RouterActions actions = std::move(hosts_[host].actions);
  hosts_[host].actions = {};
  for (const RouterAction& action : actions) ExecuteAction(host, action);
}

void FleetSimulation::ExecuteAction(std::uint32_t host,
                                    const RouterAction& action) {
  using Kind = RouterAction::Kind;
  Host& state = hosts_[host];
  const TimePoint arrival = events_.now() - action.age;
  const std::uint32_t to = action.host == kInvalidIndex
                               ? kInvalidIndex
                               : HostNumber(host, action.host);
  switch (action.kind) {
    case Kind::kGrant:
      if (action.permit.is_lent()) ++borrows_used_;
      SendToServer(host, action.permit, action.request);
      return;
    case Kind::kRefuse:
      ++refused_;
      state.pending.erase(action.request);
      return;
    case Kind::kSendBorrow:
      ++borrows_sent_;
      SendToHost(host, to, true,
                 [=, this](auto& router, auto& actions, auto from) {
                   router.OnBorrow({.from = from,
                                    .borrow_id = action.borrow_id,
                                    .arrival = arrival,
                                    .agreement = action.agreement,
                                    .is_suspect = action.is_suspect,
                                    .excluded = action.server},
                                   events_.now(), actions);
                 });
      return;
    case Kind::kCancelBorrow:
      SendToHost(host, to, true, [=](auto& router, auto&, auto from) {
        router.OnBorrowCancelled(from, action.borrow_id);
      });
      return;
    case Kind::kLend:
      SendToHost(
          host, to, true, [=, this](auto& router, auto& actions, auto from) {
            router.OnBorrowGranted(from, action.borrow_id, action.permit.server,
                                   action.permit.slot, action.free_hint,
                                   events_.now(), actions);
          });
      return;
    case Kind::kRefuseBorrow:
      SendToHost(host, to, true,
                 [=, this](auto& router, auto& actions, auto from) {
                   router.OnBorrowRefused(from, action.borrow_id, events_.now(),
                                          actions);
                 });
      return;
    case Kind::kReturnPermit:
      SendToHost(host, to, true,
                 [=, this](auto& router, auto& actions, auto from) {
                   router.OnPermitReturned(from, action.permit, events_.now(),
                                           actions);
                 });
      return;
    case Kind::kOrphanPermit:
      SendToHost(host, to, true,
                 [=, this](auto& router, auto& actions, auto from) {
                   router.OnPermitOrphaned(from, action.permit, events_.now(),
                                           actions);
                 });
      return;
    case Kind::kQueryLent:
      SendToHost(
          host, to, true, [=, this](auto& router, auto& actions, auto from) {
            router.OnLentQuery(from, action.permit, events_.now(), actions);
          });
      return;
    case Kind::kSlotBusy:
      SendToHost(host, to, false, [=](auto& router, auto&, auto from) {
        router.OnSlotBusy(from, action.permit.server, action.permit.slot);
      });
      return;
    case Kind::kSlotFree:
      SendToHost(
          host, to, true, [=, this](auto& router, auto& actions, auto from) {
            router.OnSlotFree(from, action.permit.server, action.permit.slot,
                              events_.now(), actions);
          });
      return;
    case Kind::kServerState: {
      const SharedServerState shared =
          state.router->backend(action.server).state();
      for (std::uint32_t other = 0; other < options_.hosts; ++other) {
        if (other == host || (to != kInvalidIndex && other != to)) continue;
        SendToHost(host, other, false,
                   [=, this](auto& router, auto& actions, auto from) {
                     router.OnServerState(from, action.server, shared,
                                          events_.now(), actions);
                   });
      }
      return;
    }
  }
}

void FleetSimulation::SendToServer(std::uint32_t host, const Permit& permit,
                                   std::uint64_t request) {
  const auto found = hosts_[host].pending.find(request);
  VERIFY(found != hosts_[host].pending.end());
  const Pending pending = found->second;
  hosts_[host].pending.erase(found);
  const std::uint64_t incarnation = hosts_[host].incarnation;
  const TimePoint sent = events_.now();
  events_.After(options_.latency, [=, this] {
    if (on_start) on_start(host, permit.server, permit);
    const std::size_t slot = permit.server * kMaximumSlots + permit.slot;
    if (running_by_slot_[slot]++ > 0) ++shared_slot_starts_;
    servers_[permit.server]->Submit(pending.size, [=, this](bool is_lost) {
      --running_by_slot_[slot];
      SimulatedBackendServer& server = *servers_[permit.server];
      const std::string start_id = server.start_id();
      const std::uint32_t in_work = server.in_work();
      events_.After(options_.latency, [=, this] {
        RunOnHost(host, incarnation, [=, this] {
          Host& state = hosts_[host];
          AttemptObservation observation{
              .result = is_lost ? AttemptObservation::Result::kConnectionLost
                                : AttemptObservation::Result::kAnswered,
              .latency = events_.now() - sent};
          if (!is_lost) {
            observation.start_id = start_id;
            observation.in_work = in_work;
            ++answered_;
            if (pending.arrival >= record_from_) {
              latencies_.push_back(static_cast<float>(
                  ToMilliseconds(events_.now() - pending.arrival)));
            }
          }
          if (on_response) on_response(host, permit.server, observation);
          state.router->Complete(permit, observation, events_.now(),
                                 state.actions);
          ExecuteActions(host);
        });
      });
    });
  });
}

void FleetSimulation::TickLoop(std::uint32_t host, std::uint64_t incarnation) {
  RunOnHost(host, incarnation, [this, host, incarnation] {
    Host& state = hosts_[host];
    state.router->Tick(events_.now(), state.actions);
    ExecuteActions(host);
    events_.After(kTickInterval,
                  [this, host, incarnation] { TickLoop(host, incarnation); });
  });
}

void FleetSimulation::LeaseLoop(std::uint32_t host, std::uint64_t incarnation) {
  RunOnHost(host, incarnation, [this, host, incarnation] {
    const TimePoint sent = events_.now();
    // Pings one random peer, which answers if it considers this host live.
    std::set<std::uint32_t> peers = hosts_[host].view;
    peers.erase(host);
    const std::uint32_t peer =
        peers.empty()
            ? host
            : *std::next(peers.begin(),
                         static_cast<std::ptrdiff_t>(engine_() % peers.size()));
    events_.After(options_.latency, [this, host, peer, incarnation, sent] {
      const Host& other = hosts_[peer];
      if (peer == host || !other.is_running || !other.view.contains(host) ||
          other.paused_until > events_.now()) {
        return;
      }
      events_.After(options_.latency, [this, host, incarnation, sent] {
        RunOnHost(host, incarnation, [this, host, sent] {
          Host& state = hosts_[host];
          state.router->SetLeaseRenewed(sent, events_.now(), state.actions);
          ExecuteActions(host);
        });
      });
    });
    events_.After(kPingInterval,
                  [this, host, incarnation] { LeaseLoop(host, incarnation); });
  });
}

std::uint32_t FleetSimulation::max_in_work() const {
  std::uint32_t max = 0;
  for (const auto& server : servers_)
    max = std::max(max, server->max_in_work());
  return max;
}

std::uint64_t FleetSimulation::excess_starts() const {
  std::uint64_t total = 0;
  for (const auto& server : servers_) total += server->excess_starts();
  return total;
}

}  // namespace dogwood
