#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "Services/Gateway/gateway_context.h"

namespace dogwood {

// Discovers other entry hosts through a table of the store. Each row maps a
// host's name to its IP address and availability zone.
//
// Store calls are billed, so only the gossip relays of a zone write and read
// rows. They find the gossip relays of other zones, and hosts of their own zone
// that the seeds in the settings did not lead to. A host that knows no other
// host is the gossip relay of its zone.
class PeerDiscovery {
 public:
  // Time after the start for seeds in the settings to respond.
  static constexpr Duration kSeedResponseDelay = std::chrono::milliseconds(600);
  // Between attempts to register, and between checks whether this host has
  // become a gossip relay.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(700);
  // Between reads of the table once this host is registered. Bounds the time
  // until separate parts of a zone discover each other.
  static constexpr Duration kRefreshInterval = std::chrono::seconds(10);

  PeerDiscovery(GatewayContext& context, platform::StoreClient& store,
                PeerCandidates& candidates)
      : context_(context), store_(store), candidates_(candidates) {}

  // Registers this host and refreshes the candidates until the process ends.
  boost::asio::awaitable<void> Run();

 private:
  // Both return whether the store responded.
  boost::asio::awaitable<bool> WriteOwnRow();
  boost::asio::awaitable<bool> ReadAllRows();
  std::string OwnRowValue() const;
  void AddCandidate(const platform::StoreRow& row);

  GatewayContext& context_;
  platform::StoreClient& store_;
  PeerCandidates& candidates_;
  bool is_registered_ = false;
};

}  // namespace dogwood
