#include "Services/Gateway/configuration_replicator.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Libraries/Routing/rendezvous.h"
#include "Services/Gateway/table_update_codec.h"

namespace dogwood {

namespace asio = boost::asio;
using platform::StoreRow;
using platform::StoreRows;
using platform::StoreVersion;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
// Rendezvous hashing key that orders the hosts of a zone for store reads.
constexpr std::string_view kStoreReaderTask = "store-reader";
constexpr std::string_view kTableUpdatePath = "/v1/table";
// Long enough for a configuration of 1000 routes over a 10 Mbit/s link that
// also carries callers' traffic.
constexpr Duration kPeerFetchTimeout = std::chrono::milliseconds(1000);
// A larger update of another host counts as lost.
constexpr std::uint64_t kMaxPeerUpdateBytes =
    platform::StoreClient::kMaxTableBytes;
// How often a host checks whether it has to read the store itself.
constexpr Duration kPollInterval = std::chrono::milliseconds(100);
// For reading a whole table.
constexpr Duration kStoreReadTimeout = std::chrono::milliseconds(1500);
// Factors on the pause between store calls. They spread the calls of hosts that
// lost the store at the same moment.
constexpr double kMinBackoffJitter = 0.75;
constexpr double kMaxBackoffJitter = 1.25;
// Decoded registrations of removed rows that are kept before the cache is
// cleared.
constexpr std::size_t kMaxSpareRegistrations = 256;

asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(kUseAwaitableTuple);
}

}  // namespace

ConfigurationReplicator::ConfigurationReplicator(GatewayContext& context)
    : context_(context),
      store_(context.io_context.get_executor(),
             context.settings.store_endpoint),
      replications_{
          {{platform::kOperatorTable, {}}, {platform::kServerTable, {}}}} {}

void ConfigurationReplicator::Start() {
  for (const ReplicatedTable table : {ReplicatedTable::kOperatorSettings,
                                      ReplicatedTable::kServerRegistrations})
    asio::co_spawn(context_.io_context, ReplicateTable(table), asio::detached);
}

ReplicationRole ConfigurationReplicator::CurrentRole(TimePoint now) const {
  const bool is_gossip_relay =
      context_.serving_state != ServingState::kDraining &&
      context_.peer_table.is_first_gossip_relay(now);
  if (!is_gossip_relay) return ReplicationRole::kFollower;
  return context_.peer_table.is_top_ranked_zone(now)
             ? ReplicationRole::kFleetReader
             : ReplicationRole::kZoneReader;
}

Duration ConfigurationReplicator::StalenessLimit(ReplicationRole role,
                                                 TimePoint now) const {
  if (role != ReplicationRole::kFollower) return kReaderStalenessLimit;
  const std::size_t rank =
      context_.peer_table.OwnRankFor(HashName(kStoreReaderTask), now);
  return kFollowerStalenessLimit +
         kStalenessStepPerRank *
             static_cast<int>(std::min(rank, kMaxStalenessSteps));
}

asio::awaitable<void> ConfigurationReplicator::ReplicateTable(
    ReplicatedTable table) {
  TableReplication& replication = replication_of(table);
  co_await AwaitInitialContent(replication);
  for (;;) {
    const TimePoint now = MonotonicNow();
    const ReplicationRole role = CurrentRole(now);
    const Duration staleness_limit = StalenessLimit(role, now);
    const Duration age = now - replication.replica.confirmed_at();
    if (now < store_backoff_.next_call_at()) {
      // A peer may deliver the changes while the store is unavailable.
      co_await Sleep(std::min<Duration>(store_backoff_.next_call_at() - now,
                                        kPollInterval));
    } else if (!replication.replica.is_loaded()) {
      co_await ReadFromStore(table, Duration::zero());
    } else if (role == ReplicationRole::kFleetReader) {
      if (co_await ReadFromStore(table, kLongPollWait))
        co_await Sleep(kPauseAfterChanges);
    } else if (age >= staleness_limit) {
      co_await ReadFromStore(table, Duration::zero());
    } else {
      co_await Sleep(std::min<Duration>(staleness_limit - age, kPollInterval));
    }
  }
}

asio::awaitable<void> ConfigurationReplicator::AwaitInitialContent(
    const TableReplication& replication) {
  constexpr Duration kInitialPollInterval = std::chrono::milliseconds(20);
  const TimePoint started_at = MonotonicNow();
  while (!replication.replica.is_loaded()) {
    const TimePoint now = MonotonicNow();
    const Duration read_delay = CurrentRole(now) == ReplicationRole::kFollower
                                    ? kFollowerInitialReadDelay
                                    : kReaderInitialReadDelay;
    if (now - started_at >= read_delay) co_return;
    co_await Sleep(kInitialPollInterval);
  }
}

asio::awaitable<bool> ConfigurationReplicator::ReadFromStore(
    ReplicatedTable table, Duration wait) {
  TableReplication& replication = replication_of(table);
  const bool is_initial = !replication.replica.is_loaded();
  TimePoint sent_at = MonotonicNow();
  Result<StoreRows> rows =
      Fail(ErrorCode::kNotFound, "the replica is not loaded");
  if (!is_initial) {
    rows = co_await store_.AwaitChanges(replication.name,
                                        replication.replica.version(), wait,
                                        wait + kLongPollMargin);
  }
  bool has_changed = false;
  if (!rows && rows.error().code == ErrorCode::kNotFound) {
    sent_at = MonotonicNow();
    rows = co_await store_.ReadTable(replication.name, kStoreReadTimeout);
    if (rows)
      has_changed = replication.replica.ApplySnapshot(rows.value(), sent_at);
  } else if (rows) {
    // An empty response was sent when the wait ended, so it confirms the
    // replica as of now. The age of other responses is unknown.
    const bool has_waited =
        rows.value().rows.empty() && MonotonicNow() - sent_at >= wait;
    const TimePoint confirmed_at =
        rows.value().rows.empty() ? MonotonicNow() : sent_at;
    has_changed = replication.replica.ApplyChanges(rows.value(), confirmed_at);
    // The response may have been on its way for long.
    if (has_waited) sent_at += wait;
  }
  OnStoreResponse(replication, rows);
  if (!has_changed) {
    ConfirmKeys(table, rows, sent_at);
    co_return false;
  }
  context_.log->Record(
      EventId::kTableReplicated,
      {{"table", replication.name},
       {"source", "store"},
       {"version", static_cast<std::int64_t>(
                       replication.replica.content_version().value())}});
  ApplyChangedTable(table);
  ConfirmKeys(table, rows, sent_at);
  co_return true;
}

void ConfigurationReplicator::ConfirmKeys(ReplicatedTable table,
                                          const Result<StoreRows>& rows,
                                          TimePoint confirmed_at) {
  const bool is_newest =
      table == ReplicatedTable::kOperatorSettings && rows.has_value() &&
      rows.value().as_of >= replication_of(table).replica.version();
  if (is_newest && context_.route_table)
    context_.ConfirmKeys(context_.route_table->version(), confirmed_at);
}

void ConfigurationReplicator::OnStoreResponse(TableReplication& replication,
                                              const Result<StoreRows>& rows) {
  const bool has_responded = rows.has_value();
  const TimePoint now = MonotonicNow();
  if (has_responded) {
    store_backoff_.OnSuccess();
    store_responded_at_ = now;
  } else {
    const bool is_reader = CurrentRole(now) != ReplicationRole::kFollower ||
                           !replication.replica.is_loaded();
    std::uniform_real_distribution<double> jitter(kMinBackoffJitter,
                                                  kMaxBackoffJitter);
    store_backoff_.OnFailure(
        is_reader ? StoreBackoff::Role::kReader : StoreBackoff::Role::kFollower,
        jitter(context_.random_engine), now);
  }
  if (has_responded == replication.is_store_reachable) return;
  replication.is_store_reachable = has_responded;
  if (has_responded) {
    context_.log->Record(EventId::kStoreAvailable,
                         {{"table", replication.name}});
    return;
  }
  const std::string error = rows.error().ToString();
  context_.log->Record(EventId::kStoreUnavailable,
                       {{"table", replication.name}, {"error", error}});
}

std::vector<TableVersionAge> ConfigurationReplicator::ReplicaVersionAges(
    TimePoint now) const {
  std::vector<TableVersionAge> version_ages;
  for (const TableReplication& replication : replications_) {
    TableVersionAge table{replication.replica.content_version().value(), {}};
    if (replication.replica.is_loaded())
      table.age = now - replication.replica.confirmed_at();
    version_ages.push_back(table);
  }
  return version_ages;
}

bool ConfigurationReplicator::should_fetch_from(
    const PeerRecord& peer, const TableReplication& replication,
    TimePoint now) const {
  if (replication.is_fetching) return false;
  if (peer.zone == context_.settings.zone) {
    // Gossip relays have the widest links. Other hosts serve as sources only
    // when no gossip relay has confirmed the replica for a while.
    const auto gossip_relays =
        context_.peer_table.GossipRelaysOf(peer.zone, now);
    const auto is_gossip_relay = [&](const std::string& ip) {
      return std::find(gossip_relays.begin(), gossip_relays.end(), ip) !=
             gossip_relays.end();
    };
    return is_gossip_relay(peer.ip) || is_gossip_relay(context_.settings.ip) ||
           !replication.replica.is_loaded() ||
           now - replication.replica.confirmed_at() >= kFetchFromAnyHostAfter;
  }
  // Traffic between zones is billed: whole tables are fetched within the zone
  // if it has another live host, changes from the first peer that has them.
  return replication.replica.is_loaded() ||
         context_.peer_table.ReachablePeersInOwnZone(now).empty();
}

void ConfigurationReplicator::OnPeerVersionAges(
    const PeerRecord& peer, const std::vector<TableVersionAge>& tables,
    TimePoint now) {
  for (std::size_t i = 0; i < std::min(tables.size(), replications_.size());
       ++i) {
    if (!tables[i].age) continue;
    TableReplication& replication = replications_[i];
    const StoreVersion peer_version(tables[i].version);
    if (peer_version == replication.replica.content_version()) {
      replication.replica.Confirm(peer_version, now - *tables[i].age);
    } else if (peer_version > replication.replica.content_version() &&
               should_fetch_from(peer, replication, now)) {
      replication.is_fetching = true;
      asio::co_spawn(context_.io_context,
                     FetchFromPeer(static_cast<ReplicatedTable>(i), peer.ip),
                     asio::detached);
    }
  }
}

asio::awaitable<void> ConfigurationReplicator::FetchFromPeer(
    ReplicatedTable table, std::string peer_ip) {
  TableReplication& replication = replication_of(table);
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(peer_ip),
                                         context_.settings.first_peer_port);
  HttpClient client(context_.io_context.get_executor(), endpoint,
                    kMaxPeerUpdateBytes);
  HttpRequest request;
  request.target =
      std::string(kTableUpdatePath) + "?name=" + std::string(replication.name) +
      "&after=" + std::to_string(replication.replica.content_version().value());
  const auto response =
      co_await client.Send(std::move(request), kPeerFetchTimeout);
  replication.is_fetching = false;
  if (!response || response.value().status != 200) co_return;
  const auto update = DecodeTableUpdate(response.value().body);
  if (!update) {
    const std::string error = update.error().ToString();
    context_.log->Record(EventId::kPeerResponseMalformed,
                         {{"peer", peer_ip}, {"error", error}});
    co_return;
  }
  // Only gossip confirms a replica; the response does not tell its age.
  const TimePoint confirmed_at = replication.replica.confirmed_at();
  const bool has_changed =
      update.value().is_snapshot
          ? replication.replica.ApplySnapshot(update.value().rows, confirmed_at)
          : replication.replica.ApplyChanges(update.value().rows, confirmed_at);
  if (!has_changed) co_return;
  context_.log->Record(
      EventId::kTableReplicated,
      {{"table", replication.name},
       {"source", peer_ip},
       {"version", static_cast<std::int64_t>(
                       replication.replica.content_version().value())}});
  ApplyChangedTable(table);
}

HttpResponse ConfigurationReplicator::HandlePeerRequest(
    const HttpRequest& request) {
  HttpResponse response;
  const auto name = FindQueryParameter(request.target, "name");
  const auto base_version = FindQueryParameter(request.target, "after");
  if (TargetPath(request.target) != kTableUpdatePath || !name ||
      !base_version) {
    response.status = 404;
    return response;
  }
  for (TableReplication& replication : replications_) {
    if (replication.name != *name || !replication.replica.is_loaded()) continue;
    const StoreVersion version(
        std::strtoull(base_version->c_str(), nullptr, 10));
    response.body = EncodedUpdateAfter(replication, version);
    return response;
  }
  response.status = 404;
  return response;
}

const std::string& ConfigurationReplicator::EncodedUpdateAfter(
    TableReplication& replication, StoreVersion base_version) {
  EncodedUpdate& last_update = replication.last_update;
  const StoreVersion version = replication.replica.content_version();
  if (last_update.bytes.empty() || last_update.base_version != base_version ||
      last_update.version != version) {
    const auto changes = replication.replica.ChangesAfter(base_version);
    last_update = {base_version, version,
                   changes
                       ? EncodeTableUpdate({*changes, /*is_snapshot=*/false})
                       : EncodeTableUpdate({replication.replica.Snapshot(),
                                            /*is_snapshot=*/true})};
  }
  return last_update.bytes;
}

void ConfigurationReplicator::ApplyChangedTable(ReplicatedTable table) {
  if (table == ReplicatedTable::kOperatorSettings) {
    ApplyOperatorTable();
  } else {
    ApplyServerTable();
  }
}

void ConfigurationReplicator::ApplyOperatorTable() {
  std::set<ZoneId> evacuated;
  std::vector<RolloutOrder> rollouts;
  const TableReplica& replica =
      replication_of(ReplicatedTable::kOperatorSettings).replica;
  // A store that was restored from an older copy may have lost evacuations,
  // which the operator writes again.
  if (MonotonicNow() - replica.restored_at() < kReregistrationGrace) {
    evacuated = context_.server_table.evacuated();
    ApplyAgainAfterGrace(ReplicatedTable::kOperatorSettings);
  }
  for (const StoreRow& row : replication_of(ReplicatedTable::kOperatorSettings)
                                 .replica.Snapshot()
                                 .rows) {
    if (row.key == platform::kRoutingConfigurationKey) {
      ApplyRoutingConfiguration(*row.value);
    } else if (const auto zone = platform::ParseEvacuationKey(row.key)) {
      evacuated.insert(*zone);
    } else if (platform::IsRolloutKey(row.key)) {
      auto order = platform::DecodeRolloutOrder(row);
      if (order) {
        rollouts.push_back(std::move(order).value());
      } else {
        const std::string error = order.error().ToString();
        context_.log->Record(EventId::kConfigurationRefused,
                             {{"error", error}});
      }
    }
  }
  ApplyEvacuations(std::move(evacuated));
  context_.rollout_orders = std::move(rollouts);
}

void ConfigurationReplicator::ApplyRoutingConfiguration(
    const std::string& value) {
  auto configuration = platform::DecodeRoutingConfiguration(value);
  const bool is_known = context_.route_table != nullptr;
  if (configuration && is_known &&
      configuration.value().version == context_.route_table->version()) {
    return;
  }
  std::string error;
  if (!configuration) {
    error = configuration.error().ToString();
  } else if (is_known &&
             configuration.value().version < context_.route_table->version()) {
    error = "version " + std::to_string(configuration.value().version.value()) +
            " is older than version " +
            std::to_string(context_.route_table->version().value()) +
            " in force";
  }
  if (!error.empty()) {
    context_.log->Record(EventId::kConfigurationRefused, {{"error", error}});
    return;
  }
  auto route_table =
      std::make_shared<const RouteTable>(std::move(configuration).value());
  for (const RoutedService& service : route_table->services())
    context_.server_table.SetColdRequestRate(service.name,
                                             service.cold_request_rate);
  const auto version =
      static_cast<std::int64_t>(route_table->version().value());
  context_.metrics.configuration_version.Set(version);
  context_.log->Record(
      EventId::kConfigurationInForce,
      {{"version", version},
       {"routes", static_cast<std::int64_t>(route_table->route_count())}});
  context_.route_table = std::move(route_table);
  if (context_.serving_state == ServingState::kStarting)
    context_.serving_state = ServingState::kServing;
}

void ConfigurationReplicator::ApplyEvacuations(std::set<ZoneId> zones) {
  if (zones == context_.server_table.evacuated()) return;
  std::string names;
  for (const ZoneId& zone : zones)
    names += (names.empty() ? "" : ",") + zone.value();
  context_.log->Record(EventId::kZonesEvacuated, {{"zones", names}});
  context_.server_table.SetEvacuated(std::move(zones), MonotonicNow());
}

bool ConfigurationReplicator::is_superseded(
    const ServerRegistration& registration) const {
  const auto applied = applied_servers_.find(registration.id);
  if (applied == applied_servers_.end()) return false;
  const ServerRegistration& current = applied->second.registration;
  if (registration.started_at_ms != current.started_at_ms)
    return registration.started_at_ms < current.started_at_ms;
  return registration.sequence < current.sequence;
}

void ConfigurationReplicator::ApplyServerTable() {
  const TimePoint now = MonotonicNow();
  std::vector<ServerRegistration> registrations;
  for (const StoreRow& row :
       replication_of(ReplicatedTable::kServerRegistrations)
           .replica.Snapshot()
           .rows) {
    const std::optional<ServerRegistration>& registration =
        DecodeRegistration(row);
    if (!registration) continue;
    // Ignores a report that was overtaken by a later one.
    registrations.push_back(
        is_superseded(*registration)
            ? applied_servers_[registration->id].registration
            : *registration);
  }
  if (decoded_registrations_.size() >
      2 * registrations.size() + kMaxSpareRegistrations) {
    decoded_registrations_.clear();
  }
  RetainExpiredServers(registrations, now);
  for (const ServerRegistration& registration : registrations) {
    AppliedServer& applied = applied_servers_[registration.id];
    const bool is_new =
        applied.registration.id.value().empty() ||
        applied.registration.started_at_ms != registration.started_at_ms;
    if (is_new) {
      context_.log->Record(EventId::kServerAdded,
                           {{"server", registration.id.value()},
                            {"service", registration.service.value()},
                            {"server_zone", registration.zone.value()},
                            {"address", registration.address}});
    }
    if (registration.availability == ServerAvailability::kDraining &&
        (is_new ||
         applied.registration.availability != ServerAvailability::kDraining)) {
      context_.log->Record(EventId::kServerDraining,
                           {{"server", registration.id.value()}});
    }
    applied.registration = registration;
  }
  for (const ServerId& server :
       context_.server_table.Replace(registrations, now)) {
    context_.log->Record(
        EventId::kRegistrationRefused,
        {{"server", server.value()},
         {"error", "another server's identifier has the same hash"}});
  }
  context_.metrics.usable_servers.Set(
      static_cast<std::int64_t>(registrations.size()));
}

const std::optional<ServerRegistration>&
ConfigurationReplicator::DecodeRegistration(const StoreRow& row) {
  DecodedRegistration& cached = decoded_registrations_[row.key];
  if (cached.version == row.version) return cached.registration;
  cached.version = row.version;
  auto registration = platform::DecodeServerRegistration(row.key, *row.value);
  if (registration) {
    cached.registration = std::move(registration).value();
    return cached.registration;
  }
  cached.registration.reset();
  const std::string error = registration.error().ToString();
  context_.log->Record(EventId::kRegistrationRefused,
                       {{"server", row.key}, {"error", error}});
  return cached.registration;
}

void ConfigurationReplicator::RetainExpiredServers(
    std::vector<ServerRegistration>& registrations, TimePoint now) {
  std::set<ServerId> present;
  for (const ServerRegistration& registration : registrations)
    present.insert(registration.id);
  const TableReplica& replica =
      replication_of(ReplicatedTable::kServerRegistrations).replica;
  const bool may_have_expired =
      replica.confirmation_resumed_at() != TimePoint{} &&
      now - replica.confirmation_resumed_at() < kReregistrationGrace;
  bool has_retained = false;
  for (auto it = applied_servers_.begin(); it != applied_servers_.end();) {
    if (present.contains(it->first)) {
      it->second.missing_since = {};
      ++it;
    } else if (may_have_expired && it->second.registration.availability ==
                                       ServerAvailability::kReady) {
      registrations.push_back(it->second.registration);
      has_retained = true;
      ++it;
    } else {
      context_.log->Record(EventId::kServerRemoved,
                           {{"server", it->first.value()}});
      it = applied_servers_.erase(it);
    }
  }
  // Removes the retained servers that have not registered again by then.
  if (has_retained) ApplyAgainAfterGrace(ReplicatedTable::kServerRegistrations);
}

void ConfigurationReplicator::ApplyAgainAfterGrace(ReplicatedTable table) {
  asio::co_spawn(
      context_.io_context,
      [this, table]() -> asio::awaitable<void> {
        co_await Sleep(kReregistrationGrace);
        ApplyChangedTable(table);
      },
      asio::detached);
}

}  // namespace dogwood
