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

// Placement of one service on this host: the router with its parties, retry
// budget and server addresses. All members but the mutex are guarded by it.
struct ServicePlacement {
  ServicePlacement(ServiceId given_id, RouterOptions options,
                   std::uint64_t seed)
      : id(std::move(given_id)), engine(seed), router(options, engine) {}

  // Puts addresses and agreements in force. Fails with kInvalidArgument on a
  // server address that is not IP:PORT.
  Result<void> Configure(const FleetConfiguration& fleet);
  void SetLiveHosts(std::uint32_t live_hosts) {
    meter.SetLiveHosts(live_hosts);
  }

  // Index of a party, which is added at its first request.
  PartyIndex PartyOf(const PartyId& party);

  const ServiceId id;
  RankedMutex mutex{LockRank::kRouting};
  std::mt19937_64 engine;
  ServiceRouter router;
  PartyMeter meter;
  RetryBudget retries;
  std::unordered_map<PartyId, PartyIndex> parties;
  std::unordered_map<ServerId, boost::asio::ip::tcp::endpoint> endpoints;
};

}  // namespace dogwood
