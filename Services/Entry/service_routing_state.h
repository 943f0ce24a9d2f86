#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "Libraries/Routing/routing.h"
#include "Libraries/Settings/settings.h"

namespace dogwood {

// State that this host uses to route the requests of one service: the router,
// the agreements of client accounts, the retry budget and the addresses of
// backend servers. `mutex` guards all other members.
struct ServiceRoutingState {
  ServiceRoutingState(ServiceId service_id, RouterOptions options,
                      std::uint64_t seed)
      : id(std::move(service_id)),
        random_engine(seed),
        router(options, random_engine) {}

  // Applies server addresses and agreements. Fails with kInvalidArgument on a
  // server address that is not IP:PORT.
  Result<void> Configure(const FleetConfiguration& fleet);
  void SetLiveHosts(std::uint32_t live_hosts) {
    agreement_meter.SetLiveHosts(live_hosts);
  }

  // Adds the client account with a rate of zero and a share of one if it is
  // unknown.
  ClientAccountIndex FindOrAddClientAccount(
      const ClientAccountId& client_account);

  const ServiceId id;
  RankedMutex mutex{LockRank::kRouting};
  std::mt19937_64 random_engine;
  ServiceRouter router;
  ClientAccountRateMeter agreement_meter;
  RetryBudget retry_budget;
  std::unordered_map<ClientAccountId, ClientAccountIndex>
      client_account_indices;
  std::unordered_map<ServerId, boost::asio::ip::tcp::endpoint> endpoints;
};

}  // namespace dogwood
