#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>
#include <unordered_map>

#include "Services/Gateway/configuration_replicator.h"
#include "Services/Gateway/gateway_context.h"
#include "Services/Gateway/peer_discovery.h"
#include "Services/Gateway/poison_request_guard.h"
#include "Services/Gateway/quota_gate.h"
#include "Services/Gateway/rollout_controller.h"
#include "Services/Gateway/server_selector.h"

namespace dogwood {

// Exchanges UDP messages with the other entry hosts: gossip messages and those
// of ServerSelector, QuotaGate and RolloutController.
//
// Every host gossips to all hosts of its availability zone. The gossip relays
// of a zone add the list of known hosts and also send it to the gossip relays
// of the other zones. The dispatchers of a service send the state of its
// backend servers to its dispatchers in the other zones.
class PeerMessenger {
 public:
  // Longest delay until a new table version is announced in the zone.
  static constexpr Duration kZoneGossipInterval =
      std::chrono::milliseconds(100);
  // Between gossip messages of a host without changes, as a sign of life.
  static constexpr Duration kIdleGossipInterval =
      std::chrono::milliseconds(300);
  // Between gossip messages of a host that others fetch tables from. They
  // confirm the replicas of those hosts.
  static constexpr Duration kReaderGossipInterval =
      std::chrono::milliseconds(200);
  // Between observations of backend servers sent within the zone. Other hosts
  // use them only while their dispatcher does not respond.
  static constexpr Duration kObservationInterval =
      std::chrono::milliseconds(300);
  // Between observations sent to the dispatchers in other zones.
  static constexpr Duration kCrossZoneObservationInterval =
      std::chrono::milliseconds(200);
  // Between host lists sent by a gossip relay within its zone, and to other
  // zones. A host of another zone counts as live for several of these
  // intervals.
  static constexpr Duration kMembershipInterval = std::chrono::seconds(1);
  static constexpr Duration kCrossZoneMembershipInterval =
      std::chrono::seconds(1);
  // Between repetitions of the refused requests by a gossip relay.
  static constexpr Duration kSuspectInterval = std::chrono::seconds(1);
  // Between hellos (gossip messages) to candidates, which are hosts named in
  // the settings or registered in the store, and to known hosts that are
  // silent. The interval is shorter during the first rounds after the start.
  static constexpr Duration kHelloInterval = std::chrono::milliseconds(500);
  static constexpr Duration kInitialHelloInterval =
      std::chrono::milliseconds(50);
  static constexpr int kInitialHelloRounds = 6;
  // Observations per gossip message; keeps it below the maximum datagram size.
  static constexpr std::size_t kMaxObservations = 400;

  PeerMessenger(GatewayContext& context, ConfigurationReplicator& replicator,
                ServerSelector& server_selector,
                PoisonRequestGuard& poison_request_guard, QuotaGate& quota_gate,
                RolloutController& rollout_controller, Incarnation incarnation);

  // Binds the UDP port and starts all periodic tasks. Fails with kIo when the
  // port is in use.
  Result<void> Start();
  // Messages that cannot be sent are dropped.
  void Send(const std::string& ip, const PeerMessage& message);
  // Sends records of suspected requests to the own zone. A gossip relay also
  // sends them to the other zones.
  void ShareSuspects(const PoisonRequestGuard::Records& records);
  // Tells the zone's hosts that this host is shutting down.
  void AnnounceDraining();

 private:
  static constexpr std::size_t kMaxDatagramBytes = 65536;

  boost::asio::awaitable<void> Receive();
  boost::asio::awaitable<void> RunZoneGossip();
  boost::asio::awaitable<void> RunCrossZoneObservations();
  boost::asio::awaitable<void> SendHellos();
  boost::asio::awaitable<void> RunCrossZoneMembership();
  // Repeats the refused requests of a gossip relay, for hosts that have started
  // or missed a message.
  boost::asio::awaitable<void> RunSuspectGossip();
  // Observations of a service's servers in the own zone. Rotates through them
  // when there are more than kMaxObservations.
  std::vector<ServerObservation> NextObservationBatch(const ServiceId& service,
                                                      TimePoint now);
  // Sends the fleet reader's table versions and ages to the other zones.
  void SendToGossipRelaysOfOtherZones(GossipMessage gossip, TimePoint now);
  // Sends a newly discovered host the live hosts of this zone and of its own.
  void SendMembershipTo(const PeerRecord& recipient, TimePoint now);
  // Forwards newly discovered hosts of other zones to the own zone's gossip
  // relays, which list them to all hosts of the zone.
  void ForwardToGossipRelaysOfZone(std::vector<PeerRecord> discovered,
                                   TimePoint now);
  void HandleMessage(const std::string& ip, const PeerMessage& message);
  void HandleGossip(const GossipMessage& gossip);
  void HandleSuspects(const SuspectMessage& message);
  // A gossip message with the sender and the table versions only.
  GossipMessage MakeGossip(TimePoint now) const;
  void SendDatagram(const std::string& ip,
                    const std::vector<std::uint8_t>& bytes);

  GatewayContext& context_;
  ConfigurationReplicator& replicator_;
  ServerSelector& server_selector_;
  PoisonRequestGuard& poison_request_guard_;
  QuotaGate& quota_gate_;
  RolloutController& rollout_controller_;
  Incarnation incarnation_;
  boost::asio::ip::udp::socket socket_;
  std::array<std::uint8_t, kMaxDatagramBytes> receive_buffer_{};
  PeerCandidates candidates_;
  PeerDiscovery discovery_;
  // When the socket was last seen without messages to receive.
  TimePoint socket_drained_at_{};
  TimePoint membership_sent_at_{};
  TimePoint gossip_sent_at_{};
  std::vector<TableVersionAge> announced_tables_;
  TimePoint observations_sent_at_{};
  // Index of the next observation to send, for services with more of them than
  // fit in a gossip message.
  std::unordered_map<ServiceId, std::size_t> next_observation_;
};

}  // namespace dogwood
