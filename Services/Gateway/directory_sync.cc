#include "Services/Gateway/directory_sync.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Libraries/Routing/rendezvous.h"
#include "Services/Gateway/table_codec.h"

namespace dogwood {

namespace asio = boost::asio;
using platform::StoreRow;
using platform::StoreRows;
using platform::StoreVersion;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
// Task name under which a zone's hosts agree on who reads the store.
constexpr std::string_view kReaderTask = "store-reader";
constexpr std::string_view kChangesPath = "/v1/table";
// A configuration of a thousand routes passes over a link of 10 Mbit/s that
// callers use as well in this time.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(1000);
// How often a host looks whether it has to read by itself.
constexpr Duration kLook = std::chrono::milliseconds(100);
// A whole table comes from the store in this time, or the call counts as lost.
constexpr Duration kReadTimeout = std::chrono::milliseconds(1500);

// Decodings of removed rows are kept up to about this number.
constexpr std::size_t kSparedDecodings = 256;

asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(kUseTuple);
}

}  // namespace

DirectorySync::DirectorySync(GatewayContext& context)
    : context_(context),
      store_(context.io.get_executor(), context.settings.store),
      tables_{{{platform::kOperatorTable, {}}, {platform::kServerTable, {}}}} {}

void DirectorySync::Start() {
  for (const FollowedTable table :
       {FollowedTable::kOperators, FollowedTable::kServers})
    asio::co_spawn(context_.io, Follow(table), asio::detached);
}

ReaderRole DirectorySync::Role(TimePoint now) const {
  const bool is_steward = context_.phase != ServingPhase::kLeaving &&
                          context_.peers.is_first_steward(now);
  if (!is_steward) return ReaderRole::kNone;
  return context_.peers.is_first_zone(now) ? ReaderRole::kFleet
                                           : ReaderRole::kZone;
}

Duration DirectorySync::StaleAfter(ReaderRole role, TimePoint now) const {
  if (role != ReaderRole::kNone) return kZoneStaleAfter;
  const std::size_t rank = context_.peers.RankFor(NameHash(kReaderTask), now);
  return kStaleAfter +
         kStaleStep * static_cast<int>(std::min(rank, kMostStaleSteps));
}

asio::awaitable<void> DirectorySync::Follow(FollowedTable table) {
  Followed& followed = at(table);
  co_await AwaitFirstContent(followed);
  for (;;) {
    const TimePoint now = MonotonicNow();
    const ReaderRole role = Role(now);
    const Duration stale_after = StaleAfter(role, now);
    const Duration age = now - followed.copy.confirmed_at();
    if (now < backoff_.not_before()) {
      // Another host may bring what the store refuses.
      co_await Sleep(std::min<Duration>(backoff_.not_before() - now, kLook));
    } else if (!followed.copy.has_content()) {
      co_await ReadOnce(table, Duration::zero());
    } else if (role == ReaderRole::kFleet) {
      if (co_await ReadOnce(table, kReaderWait)) co_await Sleep(kChangePause);
    } else if (age >= stale_after) {
      co_await ReadOnce(table, Duration::zero());
    } else {
      co_await Sleep(std::min<Duration>(stale_after - age, kLook));
    }
  }
}

asio::awaitable<void> DirectorySync::AwaitFirstContent(
    const Followed& followed) {
  constexpr Duration kFirstLook = std::chrono::milliseconds(20);
  const TimePoint started_at = MonotonicNow();
  while (!followed.copy.has_content()) {
    const TimePoint now = MonotonicNow();
    const Duration patience = Role(now) == ReaderRole::kNone
                                  ? kFirstReadOfOthersAfter
                                  : kFirstReadAfter;
    if (now - started_at >= patience) co_return;
    co_await Sleep(kFirstLook);
  }
}

asio::awaitable<bool> DirectorySync::ReadOnce(FollowedTable table,
                                              Duration wait) {
  Followed& followed = at(table);
  const bool is_first = !followed.copy.has_content();
  TimePoint asked_at = MonotonicNow();
  Result<StoreRows> rows = Fail(ErrorCode::kNotFound, "nothing read yet");
  if (!is_first) {
    rows = co_await store_.AwaitChanges(followed.name, followed.copy.version(),
                                        wait, wait + kCallMargin);
  }
  bool has_changed = false;
  if (!rows && rows.error().code == ErrorCode::kNotFound) {
    asked_at = MonotonicNow();
    rows = co_await store_.ReadTable(followed.name, kReadTimeout);
    if (rows) has_changed = followed.copy.ReplaceAll(rows.value(), asked_at);
  } else if (rows) {
    // An answer without changes confirms the moment it was sent.
    const TimePoint confirmed_at =
        rows.value().rows.empty() ? MonotonicNow() : asked_at;
    has_changed = followed.copy.Apply(rows.value(), confirmed_at);
  }
  OnStoreAnswer(followed, rows);
  if (!has_changed) co_return false;
  context_.log->Record(
      EventId::kTableCopied,
      {{"table", followed.name},
       {"source", "store"},
       {"version",
        static_cast<std::int64_t>(followed.copy.content_version().value())}});
  OnChanged(table);
  co_return true;
}

void DirectorySync::OnStoreAnswer(Followed& followed,
                                  const Result<StoreRows>& rows) {
  const bool is_reachable = rows.has_value();
  const TimePoint now = MonotonicNow();
  if (is_reachable) {
    backoff_.OnAnswered();
    answered_at_ = now;
  } else {
    const bool is_waited_for =
        Role(now) != ReaderRole::kNone || !followed.copy.has_content();
    std::uniform_real_distribution<double> spread(0.75, 1.25);
    backoff_.OnFailed(is_waited_for ? StoreBackoff::Part::kReader
                                    : StoreBackoff::Part::kCopier,
                      spread(context_.random), now);
  }
  if (is_reachable == followed.is_store_reachable) return;
  followed.is_store_reachable = is_reachable;
  if (is_reachable) {
    context_.log->Record(EventId::kStoreAvailable, {{"table", followed.name}});
    return;
  }
  const std::string error = rows.error().ToString();
  context_.log->Record(EventId::kStoreUnavailable,
                       {{"table", followed.name}, {"error", error}});
}

std::vector<TableFreshness> DirectorySync::Freshness(TimePoint now) const {
  std::vector<TableFreshness> freshness;
  for (const Followed& followed : tables_) {
    TableFreshness table{followed.copy.content_version().value(), {}};
    if (followed.copy.has_content())
      table.age = now - followed.copy.confirmed_at();
    freshness.push_back(table);
  }
  return freshness;
}

bool DirectorySync::should_copy_from(const PeerRecord& peer,
                                     const Followed& followed,
                                     TimePoint now) const {
  if (followed.is_copying) return false;
  if (peer.zone == context_.settings.zone) {
    // Stewards have the widest links; another source is for those who have not
    // heard of a steward's copy for a while.
    const auto stewards = context_.peers.StewardsOf(peer.zone, now);
    const auto is_steward = [&](const std::string& ip) {
      return std::find(stewards.begin(), stewards.end(), ip) != stewards.end();
    };
    return is_steward(peer.ip) || is_steward(context_.settings.ip) ||
           !followed.copy.has_content() ||
           now - followed.copy.confirmed_at() >= kCopyFromAnyAfter;
  }
  // Bytes between zones are paid for: whole tables come from the own zone when
  // another host lives there, changes from wherever they are known first.
  return followed.copy.has_content() ||
         context_.peers.LiveInOwnZone(now).empty();
}

void DirectorySync::OnPeerFreshness(const PeerRecord& peer,
                                    const std::vector<TableFreshness>& tables,
                                    TimePoint now) {
  for (std::size_t i = 0; i < std::min(tables.size(), tables_.size()); ++i) {
    if (!tables[i].age) continue;
    Followed& followed = tables_[i];
    const StoreVersion theirs(tables[i].version);
    if (theirs == followed.copy.content_version()) {
      followed.copy.Confirm(theirs, now - *tables[i].age);
    } else if (theirs > followed.copy.content_version() &&
               should_copy_from(peer, followed, now)) {
      followed.is_copying = true;
      asio::co_spawn(context_.io,
                     CopyFromPeer(static_cast<FollowedTable>(i), peer.ip),
                     asio::detached);
    }
  }
}

asio::awaitable<void> DirectorySync::CopyFromPeer(FollowedTable table,
                                                  std::string peer_ip) {
  Followed& followed = at(table);
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(peer_ip),
                                         context_.settings.first_peer_port);
  HttpClient client(context_.io.get_executor(), endpoint);
  HttpRequest request;
  request.target =
      std::string(kChangesPath) + "?name=" + std::string(followed.name) +
      "&after=" + std::to_string(followed.copy.content_version().value());
  const auto response = co_await client.Send(std::move(request), kPeerTimeout);
  followed.is_copying = false;
  if (!response || response.value().status != 200) co_return;
  const auto decoded = DecodeTable(response.value().body);
  if (!decoded) {
    const std::string error = decoded.error().ToString();
    context_.log->Record(EventId::kPeerUnreadable,
                         {{"peer", peer_ip}, {"error", error}});
    co_return;
  }
  // The peer's digests confirm the copy; this answer only brings the rows.
  const TimePoint confirmed_at = followed.copy.confirmed_at();
  const bool has_changed =
      decoded.value().is_whole
          ? followed.copy.ReplaceAll(decoded.value().rows, confirmed_at)
          : followed.copy.Apply(decoded.value().rows, confirmed_at);
  if (!has_changed) co_return;
  context_.log->Record(
      EventId::kTableCopied,
      {{"table", followed.name},
       {"source", peer_ip},
       {"version",
        static_cast<std::int64_t>(followed.copy.content_version().value())}});
  OnChanged(table);
}

HttpResponse DirectorySync::AnswerPeer(const HttpRequest& request) {
  HttpResponse response;
  const auto name = QueryParameter(request.target, "name");
  const auto after = QueryParameter(request.target, "after");
  if (PathOf(request.target) != kChangesPath || !name || !after) {
    response.status = 404;
    return response;
  }
  for (Followed& followed : tables_) {
    if (followed.name != *name || !followed.copy.has_content()) continue;
    const StoreVersion version(std::strtoull(after->c_str(), nullptr, 10));
    response.body = EncodedChanges(followed, version);
    return response;
  }
  response.status = 404;
  return response;
}

const std::string& DirectorySync::EncodedChanges(Followed& followed,
                                                 StoreVersion after) {
  EncodedTable& encoded = followed.encoded;
  const StoreVersion version = followed.copy.content_version();
  if (encoded.bytes.empty() || encoded.after != after ||
      encoded.version != version) {
    const auto changes = followed.copy.ChangesAfter(after);
    encoded = {after, version,
               changes ? EncodeTable({*changes, /*is_whole=*/false})
                       : EncodeTable({followed.copy.All(), /*is_whole=*/true})};
  }
  return encoded.bytes;
}

void DirectorySync::OnChanged(FollowedTable table) {
  if (table == FollowedTable::kOperators) {
    ApplyOperators();
  } else {
    ApplyServers();
  }
}

void DirectorySync::ApplyOperators() {
  std::set<ZoneId> evacuated;
  for (const StoreRow& row : at(FollowedTable::kOperators).copy.All().rows) {
    if (row.key == platform::kPolicyKey) {
      ApplyPolicy(*row.value);
    } else if (const auto zone = platform::EvacuatedZoneOf(row.key)) {
      evacuated.insert(*zone);
    }
  }
  ApplyEvacuations(std::move(evacuated));
}

void DirectorySync::ApplyPolicy(const std::string& value) {
  auto policy = platform::DecodePolicy(value);
  const bool is_known = context_.routes != nullptr;
  if (policy && is_known &&
      policy.value().version == context_.routes->version()) {
    return;
  }
  std::string error;
  if (!policy) {
    error = policy.error().ToString();
  } else if (is_known && policy.value().version < context_.routes->version()) {
    error = "older than the version in force";
  }
  if (!error.empty()) {
    context_.log->Record(EventId::kPolicyRefused, {{"error", error}});
    return;
  }
  auto routes = std::make_shared<const RouteTable>(std::move(policy).value());
  for (const ServiceEntry& service : routes->services())
    context_.servers.SetColdRate(service.name, service.cold_rate);
  const auto version = static_cast<std::int64_t>(routes->version().value());
  context_.metrics.policy_version.Set(version);
  context_.log->Record(
      EventId::kPolicyInForce,
      {{"version", version},
       {"routes", static_cast<std::int64_t>(routes->route_count())}});
  context_.routes = std::move(routes);
  if (context_.phase == ServingPhase::kStarting)
    context_.phase = ServingPhase::kServing;
}

void DirectorySync::ApplyEvacuations(std::set<ZoneId> zones) {
  if (zones == context_.servers.evacuated()) return;
  std::string names;
  for (const ZoneId& zone : zones)
    names += (names.empty() ? "" : ",") + zone.value();
  context_.log->Record(EventId::kZonesEvacuated, {{"zones", names}});
  context_.servers.SetEvacuated(std::move(zones), MonotonicNow());
}

bool DirectorySync::is_older(const ServerEntry& entry) const {
  const auto known = known_servers_.find(entry.id);
  if (known == known_servers_.end()) return false;
  const ServerEntry& before = known->second.entry;
  if (entry.started_at_ms != before.started_at_ms)
    return entry.started_at_ms < before.started_at_ms;
  return entry.sequence < before.sequence;
}

void DirectorySync::ApplyServers() {
  const TimePoint now = MonotonicNow();
  std::vector<ServerEntry> entries;
  for (const StoreRow& row : at(FollowedTable::kServers).copy.All().rows) {
    const std::optional<ServerEntry>& entry = Decode(row);
    if (!entry) continue;
    // A delayed report of an earlier moment changes nothing.
    entries.push_back(is_older(*entry) ? known_servers_[entry->id].entry
                                       : *entry);
  }
  if (decoded_servers_.size() > 2 * entries.size() + kSparedDecodings) {
    decoded_servers_.clear();
  }
  KeepLapsedServers(entries, now);
  for (const ServerEntry& entry : entries) {
    KnownServer& known = known_servers_[entry.id];
    const bool is_new = known.entry.id.value().empty() ||
                        known.entry.started_at_ms != entry.started_at_ms;
    if (is_new) {
      context_.log->Record(EventId::kServerAdded,
                           {{"server", entry.id.value()},
                            {"service", entry.service.value()},
                            {"server_zone", entry.zone.value()},
                            {"address", entry.address}});
    }
    if (entry.phase == ServerPhase::kDraining &&
        (is_new || known.entry.phase != ServerPhase::kDraining)) {
      context_.log->Record(EventId::kServerDraining,
                           {{"server", entry.id.value()}});
    }
    known.entry = entry;
  }
  context_.servers.Replace(entries, now);
  context_.metrics.usable_servers.Set(
      static_cast<std::int64_t>(entries.size()));
}

const std::optional<ServerEntry>& DirectorySync::Decode(const StoreRow& row) {
  DecodedServer& decoded = decoded_servers_[row.key];
  if (decoded.version == row.version) return decoded.entry;
  decoded.version = row.version;
  auto entry = platform::DecodeServer(row.key, *row.value);
  if (entry) {
    decoded.entry = std::move(entry).value();
    return decoded.entry;
  }
  decoded.entry.reset();
  const std::string error = entry.error().ToString();
  context_.log->Record(EventId::kRegistrationRefused,
                       {{"server", row.key}, {"error", error}});
  return decoded.entry;
}

void DirectorySync::KeepLapsedServers(std::vector<ServerEntry>& entries,
                                      TimePoint now) {
  std::set<ServerId> present;
  for (const ServerEntry& entry : entries) present.insert(entry.id);
  const TableCopy& copy = at(FollowedTable::kServers).copy;
  const bool may_have_lapsed = copy.regained_at() != TimePoint{} &&
                               now - copy.regained_at() < kLapsedGrace;
  bool keeps_any = false;
  for (auto it = known_servers_.begin(); it != known_servers_.end();) {
    if (present.contains(it->first)) {
      it->second.missing_since = {};
      ++it;
    } else if (may_have_lapsed &&
               it->second.entry.phase == ServerPhase::kReady) {
      entries.push_back(it->second.entry);
      keeps_any = true;
      ++it;
    } else {
      context_.log->Record(EventId::kServerRemoved,
                           {{"server", it->first.value()}});
      it = known_servers_.erase(it);
    }
  }
  if (!keeps_any) return;
  asio::co_spawn(
      context_.io,
      [this]() -> asio::awaitable<void> {
        co_await Sleep(kLapsedGrace);
        ApplyServers();
      },
      asio::detached);
}

}  // namespace dogwood
