#include "Tests/Libraries/Routing/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dogwood {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kPing = std::chrono::milliseconds(250);

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

FleetModel::FleetModel(const FleetModelOptions& options)
    : options_(options), engine_(options.seed), hosts_(options.hosts) {
  for (std::uint32_t server = 0; server < options.servers; ++server) {
    servers_.push_back(
        std::make_unique<ModelServer>(events_, options.slots, engine_()));
    servers_.back()->set_slow_phases(options.has_slow_phases);
    zone_slots_.push_back(options.slots);
  }
  slot_users_.assign(std::size_t{options.servers} * kMaximumSlots, 0);
  std::set<std::uint32_t> all;
  for (std::uint32_t host = 0; host < options.hosts; ++host) all.insert(host);
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    hosts_[host].view = all;
    Boot(host);
  }
}

void FleetModel::Boot(std::uint32_t host) {
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
  ApplyFleet(host);
  LeaseLoop(host, state.incarnation);
  TickLoop(host, state.incarnation);
}

void FleetModel::ApplyFleet(std::uint32_t host) {
  Host& state = hosts_[host];
  if (!state.is_running) return;
  OnHost(host, state.incarnation, [this, host] {
    Host& self = hosts_[host];
    RouterFleet fleet;
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
           .is_out = self.zones_out.contains(ZoneName(server))});
    }
    self.router->ApplyFleet(fleet, events_.now(), self.actions);
    Perform(host);
  });
}

void FleetModel::SetView(std::uint32_t host,
                         const std::set<std::uint32_t>& alive) {
  hosts_[host].view = alive;
  hosts_[host].view.insert(host);
  ApplyFleet(host);
}

void FleetModel::SetZoneOut(std::uint32_t host, const std::string& zone,
                            bool is_out) {
  if (is_out) {
    hosts_[host].zones_out.insert(zone);
  } else {
    hosts_[host].zones_out.erase(zone);
  }
  ApplyFleet(host);
}

void FleetModel::Pause(std::uint32_t host, Duration duration) {
  hosts_[host].paused_until = events_.now() + duration;
}

void FleetModel::Crash(std::uint32_t host) {
  hosts_[host].is_running = false;
  ++hosts_[host].incarnation;
}

void FleetModel::StartOver(const std::set<std::uint32_t>& alive) {
  for (std::uint32_t host = 0; host < options_.hosts; ++host) Crash(host);
  for (const std::uint32_t host : alive) {
    hosts_[host].view = alive;
    Boot(host);
  }
}

void FleetModel::Restart(std::uint32_t host, StartRule rule) {
  hosts_[host].start_rule = rule;
  Boot(host);
}

void FleetModel::OnHost(std::uint32_t host, std::uint64_t incarnation,
                        std::function<void()> handler) {
  Host& state = hosts_[host];
  if (!state.is_running || state.incarnation != incarnation) return;
  if (state.paused_until > events_.now()) {
    events_.At(state.paused_until,
               [this, host, incarnation, handler = std::move(handler)] {
                 OnHost(host, incarnation, handler);
               });
    return;
  }
  handler();
}

std::uint32_t FleetModel::HostNumber(std::uint32_t host,
                                     HostIndex index) const {
  return static_cast<std::uint32_t>(
      std::stoul(hosts_[host].router->host_id(index).value().substr(4)));
}

void FleetModel::ToHost(
    std::uint32_t from, std::uint32_t to, bool is_borrow_message,
    std::function<void(ServiceRouter&, RouterActions&, HostIndex)> handler) {
  if (!hosts_[to].is_running) return;
  Duration delay = options_.latency;
  if (is_borrow_message) {
    if (options_.borrow_loss > 0 &&
        std::bernoulli_distribution(options_.borrow_loss)(engine_)) {
      return;
    }
    if (options_.borrow_jitter > Duration::zero()) {
      delay += Duration(std::uniform_int_distribution<std::int64_t>(
          0, options_.borrow_jitter.count())(engine_));
    }
  }
  const std::uint64_t incarnation = hosts_[to].incarnation;
  events_.After(
      delay, [this, from, to, incarnation, handler = std::move(handler)] {
        OnHost(to, incarnation, [this, from, to, handler] {
          Host& host = hosts_[to];
          const HostIndex index =
              host.router->host_index(HostId("host" + std::to_string(from)));
          if (index == kNoIndex) return;
          handler(*host.router, host.actions, index);
          Perform(to);
        });
      });
}

void FleetModel::Arrive(std::uint32_t host) {
  if (load_ > 0 && hosts_[host].is_running &&
      hosts_[host].paused_until <= events_.now()) {
    Host& state = hosts_[host];
    const std::uint64_t request = next_request_++;
    state.pending[request] = {.arrival = events_.now(),
                              .size = DrawServiceTime(options_, engine_)};
    const AcquireResult result =
        state.router->Acquire({.id = request,
                               .arrival = events_.now(),
                               .deadline = events_.now() + options_.deadline},
                              events_.now(), state.actions);
    if (result.kind == AcquireResult::Kind::kGranted) {
      Send(host, result.permit, request);
    } else if (result.kind == AcquireResult::Kind::kRefused) {
      ++refused_;
      state.pending.erase(request);
    }
    Perform(host);
  }
  const double rate = ArrivalRate(options_, std::max(load_, 0.001));
  events_.After(
      FromSeconds(std::exponential_distribution<double>(rate)(engine_)),
      [this, host] { Arrive(host); });
}

void FleetModel::Perform(std::uint32_t host) {
  RouterActions actions = std::move(hosts_[host].actions);
  hosts_[host].actions = {};
  for (const RouterAction& action : actions) PerformOne(host, action);
}

void FleetModel::PerformOne(std::uint32_t host, const RouterAction& action) {
  using Kind = RouterAction::Kind;
  Host& state = hosts_[host];
  const TimePoint arrival = events_.now() - action.age;
  const std::uint32_t to =
      action.host == kNoIndex ? kNoIndex : HostNumber(host, action.host);
  switch (action.kind) {
    case Kind::kGrant:
      if (action.permit.is_lent()) ++borrows_used_;
      Send(host, action.permit, action.request);
      return;
    case Kind::kRefuse:
      ++refused_;
      state.pending.erase(action.request);
      return;
    case Kind::kSendBorrow:
      ++borrows_sent_;
      ToHost(host, to, true, [=, this](auto& router, auto& actions, auto from) {
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
      ToHost(host, to, true, [=](auto& router, auto&, auto from) {
        router.OnBorrowCancelled(from, action.borrow_id);
      });
      return;
    case Kind::kLend:
      ToHost(host, to, true, [=, this](auto& router, auto& actions, auto from) {
        router.OnBorrowGranted(from, action.borrow_id, action.permit.server,
                               action.permit.slot, action.free_hint,
                               events_.now(), actions);
      });
      return;
    case Kind::kRefuseBorrow:
      ToHost(host, to, true, [=, this](auto& router, auto& actions, auto from) {
        router.OnBorrowRefused(from, action.borrow_id, events_.now(), actions);
      });
      return;
    case Kind::kReturnPermit:
      ToHost(host, to, true, [=, this](auto& router, auto& actions, auto from) {
        router.OnPermitReturned(from, action.permit, events_.now(), actions);
      });
      return;
    case Kind::kOrphanPermit:
      ToHost(host, to, true, [=, this](auto& router, auto& actions, auto from) {
        router.OnPermitOrphaned(from, action.permit, events_.now(), actions);
      });
      return;
    case Kind::kQueryLent:
      ToHost(host, to, true, [=, this](auto& router, auto& actions, auto from) {
        router.OnLentQuery(from, action.permit, events_.now(), actions);
      });
      return;
    case Kind::kSlotBusy:
      ToHost(host, to, false, [=](auto& router, auto&, auto from) {
        router.OnSlotBusy(from, action.permit.server, action.permit.slot);
      });
      return;
    case Kind::kSlotFree:
      ToHost(host, to, true, [=, this](auto& router, auto& actions, auto from) {
        router.OnSlotFree(from, action.permit.server, action.permit.slot,
                          events_.now(), actions);
      });
      return;
    case Kind::kServerState: {
      const ServerState shared = state.router->backend(action.server).state();
      for (std::uint32_t other = 0; other < options_.hosts; ++other) {
        if (other == host || (to != kNoIndex && other != to)) continue;
        ToHost(host, other, false,
               [=, this](auto& router, auto& actions, auto from) {
                 router.OnServerState(from, action.server, shared,
                                      events_.now(), actions);
               });
      }
      return;
    }
  }
}

void FleetModel::Send(std::uint32_t host, const Permit& permit,
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
    if (slot_users_[slot]++ > 0) ++double_use_;
    servers_[permit.server]->Submit(pending.size, [=, this](bool is_lost) {
      --slot_users_[slot];
      ModelServer& server = *servers_[permit.server];
      const std::string start_id = server.start_id();
      const std::uint32_t in_work = server.in_work();
      events_.After(options_.latency, [=, this] {
        OnHost(host, incarnation, [=, this] {
          Host& state = hosts_[host];
          RouterObservation observation{
              .result = is_lost ? RouterObservation::Result::kConnectionLost
                                : RouterObservation::Result::kAnswered,
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
          Perform(host);
        });
      });
    });
  });
}

void FleetModel::TickLoop(std::uint32_t host, std::uint64_t incarnation) {
  OnHost(host, incarnation, [this, host, incarnation] {
    Host& state = hosts_[host];
    state.router->Tick(events_.now(), state.actions);
    Perform(host);
    events_.After(kTick,
                  [this, host, incarnation] { TickLoop(host, incarnation); });
  });
}

void FleetModel::LeaseLoop(std::uint32_t host, std::uint64_t incarnation) {
  OnHost(host, incarnation, [this, host, incarnation] {
    const TimePoint sent = events_.now();
    // One random member is pinged; it answers when it counts this host as
    // alive.
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
        OnHost(host, incarnation, [this, host, sent] {
          Host& state = hosts_[host];
          state.router->SetLeaseRenewed(sent, events_.now(), state.actions);
          Perform(host);
        });
      });
    });
    events_.After(kPing,
                  [this, host, incarnation] { LeaseLoop(host, incarnation); });
  });
}

std::uint32_t FleetModel::max_in_work() const {
  std::uint32_t max = 0;
  for (const auto& server : servers_)
    max = std::max(max, server->max_in_work());
  return max;
}

std::uint64_t FleetModel::over_use() const {
  std::uint64_t total = 0;
  for (const auto& server : servers_) total += server->over_use();
  return total;
}

}  // namespace dogwood
