#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <set>
#include <string>
#include <unordered_map>

#include "Services/Gateway/gateway_context.h"
#include "Services/Gateway/table_replica.h"

namespace dogwood {

// Tables of the store that every host replicates. Enumerators index
// GossipMessage::tables.
enum class ReplicatedTable { kOperatorSettings, kServerRegistrations };
inline constexpr std::size_t kReplicatedTableCount = 2;

// Where a host gets changes of the replicated tables from.
enum class ReplicationRole {
  kFollower,     // from other hosts, preferably gossip relays of its zone
  kZoneReader,   // from the fleet reader, on behalf of its zone
  kFleetReader,  // from the store, by long polling
};

// Replicates the operators' configuration and the registrations of backend
// servers from the store and applies them to the routing and server tables.
//
// Store calls are billed, so their number must not grow with the fleet: only
// the fleet reader polls the store. The first gossip relay of every other
// availability zone fetches changes from the fleet reader, and the remaining
// hosts fetch them from the gossip relays of their zone. A host reads the store
// itself when its replica has not been confirmed for too long; gossip relays
// have the shortest limit.
class ConfigurationReplicator {
 public:
  // How long a store call of the fleet reader waits for changes.
  static constexpr Duration kLongPollWait = std::chrono::milliseconds(700);
  // Pause after a poll that returned changes. Batches the registrations of
  // backend servers that start together into few store calls.
  static constexpr Duration kPauseAfterChanges = std::chrono::milliseconds(250);
  // Added to the wait of a long poll to get its timeout. Allows for the
  // transfer of a large configuration at 10 Mbit/s.
  static constexpr Duration kLongPollMargin = std::chrono::milliseconds(700);
  // Age of the replica at which a zone reader considers the fleet reader lost:
  // one long poll, two gossip intervals and the network latency.
  static constexpr Duration kReaderStalenessLimit =
      std::chrono::milliseconds(1150);
  // Age of the replica at which a follower reads the store itself. Changes have
  // to be in force on every host within 2 s.
  static constexpr Duration kFollowerStalenessLimit =
      std::chrono::milliseconds(1400);
  // Added to the limit for each rank among the zone's hosts, which staggers
  // their store calls.
  static constexpr Duration kStalenessStepPerRank =
      std::chrono::milliseconds(80);
  static constexpr std::size_t kMaxStalenessSteps = 4;
  // Age of the replica at which a host fetches from any host of its zone
  // instead of only from the gossip relays.
  static constexpr Duration kFetchFromAnyHostAfter =
      std::chrono::milliseconds(900);
  // How long after a store response has_recently_read_store() holds, so that
  // the zone learns the new versions with the next gossip message.
  static constexpr Duration kAnnounceAfterRead = std::chrono::milliseconds(150);
  // How long a starting host waits for another host to fetch from before it
  // reads the store. Requests wait meanwhile when all hosts restart together,
  // so the delays barely exceed the time that peer discovery takes.
  static constexpr Duration kReaderInitialReadDelay =
      std::chrono::milliseconds(150);
  static constexpr Duration kFollowerInitialReadDelay =
      std::chrono::milliseconds(600);
  // How long after a store outage registrations that expired during it are
  // retained, so that their servers can register again.
  static constexpr Duration kReregistrationGrace =
      std::chrono::milliseconds(2300);

  explicit ConfigurationReplicator(GatewayContext& context);

  void Start();
  platform::StoreClient& store() { return store_; }
  ReplicationRole CurrentRole(TimePoint now) const;
  // Whether the store has responded to this host so recently that its zone has
  // not been told yet.
  bool has_recently_read_store(TimePoint now) const {
    return now - store_responded_at_ < kAnnounceAfterRead;
  }

  // Content versions and ages of the replicas, for gossip.
  std::vector<TableVersionAge> ReplicaVersionAges(TimePoint now) const;
  // Compares a peer's replicas with the own ones: equal versions confirm the
  // own replica, a newer version is fetched from the peer.
  void OnPeerVersionAges(const PeerRecord& peer,
                         const std::vector<TableVersionAge>& tables,
                         TimePoint now);
  // Handles a peer's HTTP request for the changes of a table.
  HttpResponse HandlePeerRequest(const HttpRequest& request);

 private:
  // The most recently encoded update. Hosts of a zone usually request the same
  // one.
  struct EncodedUpdate {
    platform::StoreVersion base_version;
    platform::StoreVersion version;
    std::string bytes;
  };
  struct TableReplication {
    std::string_view name;
    TableReplica replica;
    bool is_store_reachable = true;
    bool is_fetching = false;  // a request to a peer is in flight
    EncodedUpdate last_update;
  };

  // Keeps one replica up to date until the process ends.
  boost::asio::awaitable<void> ReplicateTable(ReplicatedTable table);
  // Age of a replica at which this host reads the store itself.
  Duration StalenessLimit(ReplicationRole role, TimePoint now) const;
  // Waits until the replica is loaded from a peer or the delay of the first
  // store read has passed.
  boost::asio::awaitable<void> AwaitInitialContent(
      const TableReplication& replication);
  bool should_fetch_from(const PeerRecord& peer,
                         const TableReplication& replication,
                         TimePoint now) const;
  // Waits up to `wait` for changes. Returns whether the replica changed.
  boost::asio::awaitable<bool> ReadFromStore(ReplicatedTable table,
                                             Duration wait);
  boost::asio::awaitable<void> FetchFromPeer(ReplicatedTable table,
                                             std::string peer_ip);
  // Updates the backoff and logs when the store becomes reachable or
  // unreachable.
  // Renews the lease on keys after a response of the store that contains all
  // changes of the table up to `confirmed_at`.
  void ConfirmKeys(ReplicatedTable table,
                   const Result<platform::StoreRows>& rows,
                   TimePoint confirmed_at);
  // Applies the table once more when rows that a store had lost are there
  // again or gone for good.
  void ApplyAgainAfterGrace(ReplicatedTable table);
  void OnStoreResponse(TableReplication& replication,
                       const Result<platform::StoreRows>& rows);
  static const std::string& EncodedUpdateAfter(
      TableReplication& replication, platform::StoreVersion base_version);
  void ApplyChangedTable(ReplicatedTable table);
  void ApplyOperatorTable();
  void ApplyRoutingConfiguration(const std::string& value);
  void ApplyEvacuations(std::set<ZoneId> zones);
  void ApplyServerTable();
  // Adds the ready servers whose registrations may have expired during a store
  // outage to `registrations`; forgets all other servers that are missing from
  // it.
  void RetainExpiredServers(std::vector<ServerRegistration>& registrations,
                            TimePoint now);
  // Whether a later report of the same server has been applied.
  bool is_superseded(const ServerRegistration& registration) const;
  const std::optional<ServerRegistration>& DecodeRegistration(
      const platform::StoreRow& row);

  TableReplication& replication_of(ReplicatedTable table) {
    return replications_[static_cast<std::size_t>(table)];
  }

  GatewayContext& context_;
  platform::StoreClient store_;
  StoreBackoff store_backoff_;
  TimePoint store_responded_at_{};
  std::array<TableReplication, kReplicatedTableCount> replications_;
  // Registrations in force, by server.
  struct AppliedServer {
    ServerRegistration registration;
    TimePoint missing_since{};
  };
  std::unordered_map<ServerId, AppliedServer> applied_servers_;
  // Decoded registrations by row key; nullopt for malformed ones.
  struct DecodedRegistration {
    platform::StoreVersion version;
    std::optional<ServerRegistration> registration;
  };
  std::unordered_map<std::string, DecodedRegistration> decoded_registrations_;
};

}  // namespace dogwood
