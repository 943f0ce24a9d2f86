// Fleet membership and backend server configuration of the ServiceRouter.
#include <algorithm>

#include "Libraries/Routing/rendezvous.h"
#include "Libraries/Routing/service_router.h"

namespace dogwood {

HostIndex ServiceRouter::InternHost(const HostId& id) {
  const auto [found, is_new] = host_indexes_.try_emplace(
      id.value(), static_cast<HostIndex>(hosts_.size()));
  if (is_new) {
    hosts_.push_back(id);
    host_hashes_.push_back(HashName(id.value()));
    is_alive_.push_back(false);
  }
  return found->second;
}

void ServiceRouter::ApplyServers(const RouterConfiguration& fleet,
                                 std::vector<ServerIndex>& changed) {
  std::vector<bool> is_listed(backends_.size(), false);
  for (const RouterServer& server : fleet.servers) {
    const auto [found, is_new] = server_indexes_.try_emplace(
        server.id.value(), static_cast<ServerIndex>(backends_.size()));
    const ServerIndex index = found->second;
    if (is_new) {
      // Servers of the first configuration are assumed warm until a cold start
      // is detected; peers send the state of those that are not. Servers added
      // later start cold.
      backends_.emplace_back(
          server,
          has_configuration_ ? LifecycleState::kCold : LifecycleState::kFull,
          options_);
      permits_.AddServer(HashName(server.id.value()), server.slots);
      permits_.SetUsableSlots(index, backends_[index].usable_slots());
      continue;
    }
    if (index < is_listed.size()) is_listed[index] = true;
    if (backends_[index].Configure(server) ==
        BackendServer::Change::kMustPublish) {
      changed.push_back(index);
    }
    permits_.SetSlots(index, server.slots);
    RefreshServer(index);
  }
  for (ServerIndex index = 0; index < is_listed.size(); ++index) {
    if (is_listed[index] || backends_[index].configuration().is_out_of_rotation)
      continue;
    RouterServer removed = backends_[index].configuration();
    removed.is_out_of_rotation = true;
    backends_[index].Configure(removed);
    RefreshServer(index);
  }
}

void ServiceRouter::ApplyMembership(const RouterConfiguration& fleet,
                                    TimePoint now, RouterActions& actions) {
  std::vector<HostIndex> alive;
  std::vector<HostIndex> joined;
  for (const HostId& host : fleet.hosts) alive.push_back(InternHost(host));
  std::sort(alive.begin(), alive.end());
  alive.erase(std::unique(alive.begin(), alive.end()), alive.end());
  std::vector<bool> is_alive(hosts_.size(), false);
  for (const HostIndex host : alive) {
    is_alive[host] = true;
    if (has_configuration_ && !is_alive_[host]) joined.push_back(host);
  }
  for (HostIndex host = 0; host < hosts_.size(); ++host) {
    if (is_alive_[host] && !is_alive[host]) borrow_queue_.RemoveAllFrom(host);
  }
  is_alive_ = std::move(is_alive);
  live_hosts_ = alive.size();

  // A joining host receives the state of each server from the host that owned
  // the server's first slot before the join.
  for (ServerIndex server = 0; server < backends_.size() && !joined.empty();
       ++server) {
    if (permits_.owner(server, 0) != self_) continue;
    if (backends_[server].sequence() == 0) continue;
    for (const HostIndex host : joined) PublishState(server, host, actions);
  }
  std::vector<PermitTable::Handover> handovers;
  permits_.ApplyHosts(host_hashes_, alive, self_, now, handovers);
  if (!has_configuration_ &&
      fleet.start_rule == HostStartKind::kRestartedHost) {
    earlier_incarnation_work_until_ =
        now + options_.permit_takeover_delay + options_.orphan_check_timeout;
    permits_.MarkOwnedOrphaned(now);
  }
  for (const PermitTable::Handover& handover : handovers) {
    actions.push_back(
        {.kind = RouterAction::Kind::kSlotBusy,
         .host = handover.new_owner,
         .permit = {.server = handover.server, .slot = handover.slot}});
  }
  for (std::uint32_t record = lent_permits_.first(); record != kInvalidIndex;
       record = lent_permits_.next(record)) {
    LentPermit& lent = lent_permits_[record];
    if (is_alive_[lent.borrower]) {
      lent.reclaim_at = TimePoint::max();
    } else if (lent.reclaim_at == TimePoint::max()) {
      lent.reclaim_at = now + options_.permit_takeover_delay;
    }
  }
  std::vector<HostIndex> peers;
  for (const HostIndex host : alive) {
    if (host != self_ && permits_.owned_permits(host) > 0) {
      peers.push_back(host);
    }
  }
  peer_selector_.SetPeers(std::move(peers), hosts_.size());
}

void ServiceRouter::ApplyConfiguration(const RouterConfiguration& fleet,
                                       TimePoint now, RouterActions& actions) {
  self_ = InternHost(fleet.self);
  lease_.set_is_exempt(fleet.lease_rule == PermitLeaseRule::kSingleHost);
  Advance(now);
  std::vector<ServerIndex> changed;
  ApplyServers(fleet, changed);
  ApplyMembership(fleet, now, actions);
  has_configuration_ = true;
  for (const ServerIndex server : changed) {
    PublishState(server, kInvalidIndex, actions);
  }
  AssignAllFreePermits(now, actions);
}

}  // namespace dogwood
