#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>
#include <unordered_map>

#include "Services/Gateway/directory_sync.h"
#include "Services/Gateway/gateway_context.h"
#include "Services/Gateway/host_registration.h"
#include "Services/Gateway/placement_service.h"

namespace dogwood {

// Exchanges messages with other entry hosts by datagrams. Digests go to all
// hosts of the own availability zone; the zone's stewards add who lives, and
// tell the stewards of other zones; dispatchers tell those of the same service
// in other zones what they know of their backend servers.
class FleetLink {
 public:
  // Changes of the tables' versions are told at once, with this delay at most.
  static constexpr Duration kZoneInterval = std::chrono::milliseconds(100);
  // A host without news tells that it lives.
  static constexpr Duration kQuietInterval = std::chrono::milliseconds(300);
  // A host that others copy from tells how recent its copy is.
  static constexpr Duration kReaderInterval = std::chrono::milliseconds(200);
  // News of backend servers, which other hosts need only when they must decide
  // without their dispatcher.
  static constexpr Duration kNewsInterval = std::chrono::milliseconds(300);
  // Between the dispatchers of a service in different zones.
  static constexpr Duration kOtherZonesInterval =
      std::chrono::milliseconds(200);
  // Lists of known hosts travel with a steward's digests this often, and to
  // other zones, where a host counts as live for several of them.
  static constexpr Duration kPeerListInterval = std::chrono::seconds(1);
  static constexpr Duration kOtherZonesPeersInterval = std::chrono::seconds(1);
  // Hosts that registered at the store or stand in the settings are told of the
  // own existence, silent ones again and again; more often after the start.
  static constexpr Duration kContactInterval = std::chrono::milliseconds(500);
  static constexpr Duration kFirstContactInterval =
      std::chrono::milliseconds(50);
  static constexpr int kFirstContactRounds = 6;
  // Keeps a digest below the largest datagram.
  static constexpr std::size_t kMostObservations = 400;

  FleetLink(GatewayContext& context, DirectorySync& sync,
            PlacementService& placements, Incarnation incarnation);

  // Binds the port; fails with kIo when it is taken.
  Result<void> Start();
  void Send(const std::string& ip, const PeerMessage& message);
  // Tells all hosts that this one leaves.
  void AnnounceLeaving();

 private:
  boost::asio::awaitable<void> Receive();
  boost::asio::awaitable<void> SendInZone();
  boost::asio::awaitable<void> SendToOtherZones();
  boost::asio::awaitable<void> Introduce();
  boost::asio::awaitable<void> SendPeersToOtherZones();
  // What is known of a service's servers in the own zone; of a service with
  // more servers than fit in a digest, the next ones in turn.
  std::vector<ServerObservation> NextObservations(const ServiceId& service,
                                                  TimePoint now);
  // How recent the copies of the host that reads the store are.
  void TellOtherStewards(FleetDigest digest, TimePoint now);
  // A newly heard host learns at once who lives in the own zone and in its own.
  void Welcome(const PeerRecord& newcomer, TimePoint now);
  // Passes hosts of other zones that were just heard to the own zone's
  // stewards.
  void PassToStewards(std::vector<PeerRecord> found, TimePoint now);
  void OnMessage(const std::string& ip, const PeerMessage& message);
  void OnDigest(const FleetDigest& digest);
  FleetDigest BaseDigest(TimePoint now) const;
  void SendTo(const std::string& ip, const std::vector<std::uint8_t>& bytes);

  GatewayContext& context_;
  DirectorySync& sync_;
  PlacementService& placements_;
  Incarnation incarnation_;
  boost::asio::ip::udp::socket socket_;
  std::array<std::uint8_t, 65536> received_{};
  ContactBook contacts_;
  HostRegistration registration_;
  TimePoint peers_sent_at_{};
  TimePoint sent_at_{};
  std::vector<TableFreshness> tables_sent_;
  TimePoint news_sent_at_{};
  std::unordered_map<ServiceId, std::size_t> told_servers_;
};

}  // namespace dogwood
