#include "Services/Entry/settings_service.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Libraries/Platform/http_object_store.h"
#include "Services/Entry/settings_rows.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr std::size_t kMaxSubmitAttempts = 32;
constexpr std::size_t kMaxPeersQueried = 2;
constexpr std::size_t kMaxChangesPerBatch = 256;
// A host that lags by more changes reads a snapshot first.
constexpr std::uint64_t kMaxReplayedChanges = 1024;
constexpr const char* kChangesKind = "settings-changes";
constexpr const char* kOrdersKind = "orders";

std::int64_t WallMicroseconds() {
  return WallClockNow().time_since_epoch().count();
}

SettingsVersion HeadVersion(const TableRow& row) {
  return SettingsVersion(row.version);
}

}  // namespace

SettingsService::SettingsService(asio::any_io_executor executor,
                                 Options options, TableStore& store,
                                 PeerChannel& peers, EventLog* event_log,
                                 Publisher publisher)
    : executor_(std::move(executor)),
      options_(std::move(options)),
      store_(store),
      peers_(peers),
      event_log_(event_log),
      publisher_(std::move(publisher)),
      poll_timer_(executor_) {
  peers_.Handle(kChangesKind, [this](HostId from, Json body) {
    return HandleChanges(std::move(from), std::move(body));
  });
  peers_.Handle(kOrdersKind, [this](const HostId&, Json body) {
    return HandleOrders(std::move(body));
  });
  peers_.AddPiggyback(
      "settings",
      [this] {
        return Json{{"version", change_log_.version().value()},
                    {"orders", PendingOrdersDigest()}};
      },
      [this](const HostId& from, const Json& value) {
        HandlePiggyback(from, value);
      });
}

asio::awaitable<Result<void>> SettingsService::Start() {
  FetchResult fetched = co_await FetchFromStore(SettingsVersion(UINT64_MAX));
  std::size_t queried_count = 0;
  for (const Member& member : peers_.members()) {
    if (queried_count++ == kMaxPeersQueried) break;
    HostId peer = member.host;
    const FetchResult response = co_await FetchFromPeer(std::move(peer));
    if (response == FetchResult::kResponded) fetched = FetchResult::kResponded;
  }
  if (fetched == FetchResult::kNoResponse) {
    RecordEvent(EventId::kSettingsUnreachable, "", change_log_.version(), "");
    co_return Fail(ErrorCode::kUnavailable,
                   "settings: neither the store nor a peer can be reached");
  }
  is_ready_ = true;
  Publish();
  co_return outcome::success();
}

asio::awaitable<void> SettingsService::Run() {
  while (!is_stopping_) {
    const Result<void> started = co_await Start();
    if (started) break;
    co_await SleepFor(options_.poll_interval);
  }
  while (!is_stopping_) {
    poll_timer_.expires_after(current_poll_interval());
    co_await poll_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!is_stopping_) co_await PollStore();
  }
}

void SettingsService::Stop() {
  is_stopping_ = true;
  poll_timer_.cancel();
}

Duration SettingsService::current_poll_interval() const {
  return options_.poll_interval *
         static_cast<std::int64_t>(peers_.members().size() + 1);
}

asio::awaitable<Result<ChangeOutcome>> SettingsService::Submit(
    SettingsChangeRequest request) {
  if (!is_ready_) {
    co_return Fail(ErrorCode::kUnavailable,
                   "settings: this host has no settings yet");
  }
  if (request.base == SettingsVersion()) request.base = change_log_.version();
  bool may_have_committed = false;
  for (std::size_t attempt = 0; attempt < kMaxSubmitAttempts; ++attempt) {
    bool is_decided = true;
    SettingsChangeRequest copy = request;
    Result<ChangeOutcome> outcome =
        co_await TrySubmit(std::move(copy), may_have_committed, is_decided);
    if (is_decided) co_return outcome;
    co_await SleepFor(options_.retry_delay);
  }
  if (CanBecomeOrder(request)) co_return IssueOrder(request);
  if (may_have_committed) {
    RecordEvent(EventId::kSettingsOutcomeUnknown, request.id.value(),
                change_log_.version(), request.path);
    co_return Fail(ErrorCode::kOutcomeUnknown,
                   "settings: the change may have been accepted; repeat it "
                   "with operation id " +
                       request.id.value());
  }
  co_return Fail(ErrorCode::kUnavailable,
                 "settings: the newest changes could not be read; the change "
                 "was not accepted");
}

// Makes one attempt; leaves `is_decided` false when it must be retried.
// Retrying a commit whose response was lost is safe: the retry checks that the
// operation row is absent, and the lost commit checks a head version that never
// recurs.
asio::awaitable<Result<ChangeOutcome>> SettingsService::TrySubmit(
    SettingsChangeRequest request, bool& may_have_committed, bool& is_decided) {
  Result<SettingsChangeLog::Prepared> prepared =
      change_log_.Prepare(request, WallMicroseconds());
  if (!prepared) co_return prepared.error();
  if (const auto* accepted = std::get_if<AlreadyCommitted>(&prepared.value()))
    co_return ChangeOutcome(ChangeAccepted{accepted->version});
  if (const auto* conflict = std::get_if<ChangeConflict>(&prepared.value())) {
    // The operation may precede the retained changes.
    SettingsChangeRequest copy = request;
    const auto recorded_outcome = co_await ReadOperation(std::move(copy));
    if (!recorded_outcome) co_return recorded_outcome.error();
    if (recorded_outcome.value()) co_return *recorded_outcome.value();
    RecordEvent(EventId::kSettingsConflict, request.id.value(),
                conflict->version, request.path);
    co_return ChangeOutcome(*conflict);
  }
  const auto& change = std::get<SettingsChange>(prepared.value());
  const bool is_emergency = CanBecomeOrder(request);
  SettingsChange copy = change;
  const CommitResult result = co_await CommitChange(
      std::move(copy),
      is_emergency ? options_.emergency_store_timeout : options_.store_timeout);
  if (std::holds_alternative<Committed>(result)) {
    AcceptCommitted(change);
    co_return ChangeOutcome(ChangeAccepted{change.version});
  }
  if (const auto* conflict = std::get_if<CommitConflict>(&result)) {
    SettingsVersion head;
    std::string operation;
    for (const TableRow& row : conflict->current) {
      if (row.key == kHeadKey) head = HeadVersion(row);
      if (row.key == OperationKey(request.id)) operation = row.value;
    }
    co_await CatchUp(head);
    if (!operation.empty()) co_return DecodeOutcome(request, operation);
  } else {
    const bool is_unknown =
        std::holds_alternative<CommitOutcomeUnknown>(result);
    may_have_committed = may_have_committed || is_unknown;
    if (is_emergency) co_return IssueOrder(request);
    if (!may_have_committed) {
      co_return Fail(ErrorCode::kUnavailable,
                     "settings: the store cannot be reached; the change was "
                     "not accepted");
    }
    SettingsChangeRequest again = request;
    const auto read = co_await ReadOperation(std::move(again));
    if (!read) co_return read.error();
    if (read.value()) {
      co_await CatchUp(SettingsVersion(change.version));
      co_return *read.value();
    }
  }
  is_decided = false;
  co_return Fail(ErrorCode::kUnavailable, "not decided");
}

asio::awaitable<CommitResult> SettingsService::CommitChange(
    SettingsChange change, Duration timeout) {
  TableTransaction commit = BuildChangeCommit(change, change_log_.tree());
  CommitResult result = co_await store_.Commit(std::move(commit), timeout);
  UpdateStoreAvailability(
      !std::holds_alternative<CommitUnavailable>(result) &&
      !std::holds_alternative<CommitOutcomeUnknown>(result));
  co_return result;
}

asio::awaitable<Result<std::optional<ChangeOutcome>>>
SettingsService::ReadOperation(SettingsChangeRequest request) {
  std::string key = OperationKey(request.id);
  const Result<TableRow> row =
      co_await store_.Read(std::move(key), options_.store_timeout);
  std::optional<ChangeOutcome> found;
  if (!row || row.value().version == 0) co_return found;
  Result<ChangeOutcome> outcome = DecodeOutcome(request, row.value().value);
  if (!outcome) co_return outcome.error();
  found = std::move(outcome).value();
  co_return found;
}

Result<ChangeOutcome> SettingsService::DecodeOutcome(
    const SettingsChangeRequest& request, const std::string& row) {
  TRY_ASSIGN(const OperationRow operation, OperationRow::Parse(row));
  if (operation.path != request.path || operation.value != request.value) {
    return Fail(ErrorCode::kInvalidArgument,
                "operation " + request.id.value() +
                    " was already used to change " + operation.path);
  }
  if (operation.is_superseded) {
    return ChangeOutcome(ChangeConflict{operation.version, request.path,
                                        change_log_.tree().At(request.path),
                                        request.value});
  }
  return ChangeOutcome(ChangeAccepted{operation.version});
}

bool SettingsService::CanBecomeOrder(
    const SettingsChangeRequest& request) const {
  const std::string subject = request.path.substr(0, request.path.rfind('.'));
  return IsEmergencyPath(request.path) && !request.value.is_null() &&
         change_log_.tree().At(subject).is_object();
}

Result<ChangeOutcome> SettingsService::IssueOrder(
    const SettingsChangeRequest& request) {
  TRY_ASSIGN(const EmergencyOrder order,
             change_log_.CreateEmergencyOrder(request, WallMicroseconds()));
  RecordEvent(EventId::kOrderGiven, request.id.value(), change_log_.version(),
              request.path);
  Publish();
  peers_.Broadcast(kOrdersKind, BuildOrdersMessage());
  return ChangeOutcome(ChangeProvisional{order});
}

asio::awaitable<void> SettingsService::PollStore() {
  const Result<TableRow> head =
      co_await store_.Read(kHeadKey, options_.store_timeout);
  UpdateStoreAvailability(head.has_value());
  if (!head) co_return;
  co_await CatchUp(HeadVersion(head.value()));
  if (!change_log_.orders().empty()) co_await WritePendingOrders();
}

asio::awaitable<SettingsService::FetchResult> SettingsService::FetchFromStore(
    SettingsVersion target) {
  const SettingsVersion before = change_log_.version();
  FetchResult fetched = FetchResult::kNoResponse;
  if (target.value() - before.value() > kMaxReplayedChanges) {
    const Result<TableRow> row =
        co_await store_.Read(kSnapshotKey, options_.store_timeout);
    if (!row) co_return fetched;
    if (row.value().version != 0)
      ApplyChangesMessage(ParseRowValue(row.value().value));
  }
  while (change_log_.version() < target) {
    std::string after = ChangeKey(change_log_.version());
    const Result<std::vector<TableRow>> rows =
        co_await store_.Scan(kChangePrefix, std::move(after),
                             kMaxChangesPerBatch, options_.store_timeout);
    if (!rows) break;
    fetched = FetchResult::kResponded;
    for (const TableRow& row : rows.value()) {
      const auto change = SettingsChange::FromJson(ParseRowValue(row.value));
      if (!change || !change_log_.Apply(change.value())) break;
    }
    if (rows.value().size() < kMaxChangesPerBatch) break;
  }
  if (change_log_.version() > before && is_ready_) Publish();
  co_return fetched;
}

asio::awaitable<SettingsService::FetchResult> SettingsService::FetchFromPeer(
    HostId peer) {
  FetchResult fetched = FetchResult::kNoResponse;
  while (true) {
    Json body{{"after", change_log_.version().value()}};
    HostId to = peer;
    std::string kind = kChangesKind;
    const Result<Json> response = co_await peers_.Call(
        std::move(to), std::move(kind), std::move(body), options_.peer_timeout);
    if (!response) break;
    fetched = FetchResult::kResponded;
    if (response.value().contains("version") &&
        response.value().at("version").is_number_integer()) {
      SettingsVersion& reported = reported_versions_[peer];
      reported = std::max(
          reported,
          SettingsVersion(response.value().at("version").get<std::uint64_t>()));
    }
    const bool has_orders = response.value().contains("orders") &&
                            MergeOrders(response.value().at("orders"));
    const bool has_changes = ApplyChangesMessage(response.value());
    if ((has_changes || has_orders) && is_ready_) Publish();
    if (!has_changes) break;
  }
  co_return fetched;
}

asio::awaitable<void> SettingsService::CatchUp(SettingsVersion target) {
  if (change_log_.version() >= target) co_return;
  co_await FetchFromStore(target);
  // A stale read of the store may miss the newest changes.
  std::size_t queried_count = 0;
  for (const Member& member : peers_.members()) {
    if (change_log_.version() >= target || queried_count == kMaxPeersQueried)
      break;
    const auto reported = reported_versions_.find(member.host);
    if (reported == reported_versions_.end() ||
        reported->second <= change_log_.version())
      continue;
    ++queried_count;
    HostId peer = member.host;
    co_await FetchFromPeer(std::move(peer));
  }
}

asio::awaitable<void> SettingsService::WritePendingOrders() {
  for (const EmergencyOrder& order : change_log_.orders()) {
    EmergencyOrder copy = order;
    const bool should_continue = co_await TryWriteOrder(std::move(copy));
    if (!should_continue) co_return;
  }
}

// Writes a pending order or records it as superseded. Returns whether the order
// is resolved.
asio::awaitable<bool> SettingsService::TryWriteOrder(EmergencyOrder order) {
  // Without the changes since the order this host cannot tell whether it was
  // superseded; hosts that kept running resolve it.
  if (!change_log_.HasChangesAfter(order.rank.version)) co_return false;
  SettingsChangeRequest request{order.rank.id, order.path, order.value,
                                order.author, change_log_.version()};
  std::optional<SettingsVersion> superseded =
      change_log_.FindSupersedingVersion(order);
  Result<SettingsChangeLog::Prepared> prepared =
      change_log_.Prepare(request, order.wall_us);
  // A later change removed the subject of the order.
  if (!prepared && !superseded) superseded = change_log_.version();
  CommitResult result;
  SettingsChange change;
  if (superseded) {
    TableTransaction commit = BuildSupersededCommit(order, *superseded);
    result = co_await store_.Commit(std::move(commit), options_.store_timeout);
  } else {
    change = std::get<SettingsChange>(prepared.value());
    change.order = order.rank;
    SettingsChange copy = change;
    result = co_await CommitChange(std::move(copy), options_.store_timeout);
  }
  if (std::holds_alternative<Committed>(result)) {
    if (superseded) {
      ResolveSuperseded(order, *superseded);
    } else {
      AcceptCommitted(change);
      RecordEvent(EventId::kOrderWritten, order.rank.id.value(), change.version,
                  order.path);
    }
    co_return true;
  }
  const auto* conflict = std::get_if<CommitConflict>(&result);
  if (conflict == nullptr) co_return false;
  for (const TableRow& row : conflict->current) {
    if (row.key == kHeadKey) co_await CatchUp(HeadVersion(row));
    if (row.key != OperationKey(order.rank.id)) continue;
    const auto operation = OperationRow::Parse(row.value);
    if (!operation) continue;
    if (operation.value().is_superseded) {
      ResolveSuperseded(order, operation.value().version);
      co_return true;
    }
    co_await CatchUp(operation.value().version);
    if (change_log_.version() < operation.value().version) co_return false;
    // Another host wrote the order.
    change_log_.ResolveEmergencyOrder(order.rank.id, SettingsVersion());
    co_return true;
  }
  co_return false;
}

asio::awaitable<void> SettingsService::ExchangeOrders(HostId peer) {
  if (is_exchanging_orders_) co_return;
  is_exchanging_orders_ = true;
  Json body = BuildOrdersMessage();
  std::string kind = kOrdersKind;
  const Result<Json> response = co_await peers_.Call(
      std::move(peer), std::move(kind), std::move(body), options_.peer_timeout);
  is_exchanging_orders_ = false;
  if (response && response.value().contains("orders") &&
      MergeOrders(response.value().at("orders")) && is_ready_)
    Publish();
}

asio::awaitable<void> SettingsService::SleepFor(Duration duration) {
  if (duration <= Duration::zero() || is_stopping_) co_return;
  asio::steady_timer timer(executor_, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<OperationState> SettingsService::ReadOperationState(
    OperationId id) {
  OperationState state;
  for (const EmergencyOrder& order : change_log_.orders()) {
    if (order.rank.id == id) state.kind = OperationState::Kind::kProvisional;
  }
  if (const auto found = change_log_.superseded().find(id);
      found != change_log_.superseded().end()) {
    state.kind = OperationState::Kind::kSuperseded;
    state.version = found->second;
  } else if (const auto version = change_log_.VersionOf(id)) {
    state.kind = OperationState::Kind::kAccepted;
    state.version = *version;
  } else if (state.kind == OperationState::Kind::kUnknown) {
    std::string key = OperationKey(id);
    const Result<TableRow> row =
        co_await store_.Read(std::move(key), options_.store_timeout);
    if (!row || row.value().version == 0) co_return state;
    const auto operation = OperationRow::Parse(row.value().value);
    if (!operation) co_return state;
    state.kind = operation.value().is_superseded
                     ? OperationState::Kind::kSuperseded
                     : OperationState::Kind::kAccepted;
    state.version = operation.value().version;
    co_await CatchUp(state.version);
  }
  if (state.kind != OperationState::Kind::kAccepted) co_return state;
  if (change_log_.version() < state.version)
    state.lacking_hosts.push_back(options_.host);
  for (const Member& member : peers_.members()) {
    if (reported_versions_[member.host] < state.version) {
      HostId peer = member.host;
      co_await FetchFromPeer(std::move(peer));
    }
    if (reported_versions_[member.host] < state.version)
      state.lacking_hosts.push_back(member.host);
  }
  co_return state;
}

std::map<HostId, SettingsVersion> SettingsService::host_versions() const {
  std::map<HostId, SettingsVersion> versions;
  versions[options_.host] = change_log_.version();
  for (const Member& member : peers_.members()) {
    const auto found = reported_versions_.find(member.host);
    versions[member.host] =
        found == reported_versions_.end() ? SettingsVersion() : found->second;
  }
  return versions;
}

asio::awaitable<Result<Json>> SettingsService::HandleChanges(HostId from,
                                                             Json body) {
  if (body.contains("changes") && ApplyChangesMessage(body)) {
    if (is_ready_) Publish();
  } else if (body.contains("changes")) {
    HandlePiggyback(from, body);
  }
  SettingsVersion after = change_log_.version();
  if (body.contains("after") && body.at("after").is_number_integer())
    after = SettingsVersion(body.at("after").get<std::uint64_t>());
  co_return BuildChangesMessage(after);
}

asio::awaitable<Result<Json>> SettingsService::HandleOrders(Json body) {
  if (body.contains("orders") && MergeOrders(body.at("orders")) && is_ready_)
    Publish();
  co_return BuildOrdersMessage();
}

void SettingsService::HandlePiggyback(const HostId& from, const Json& value) {
  if (!value.is_object() || !value.contains("version") ||
      !value.at("version").is_number_integer())
    return;
  const SettingsVersion version(value.at("version").get<std::uint64_t>());
  // A restarted host may report a lower version than before.
  reported_versions_[from] = version;
  if (!is_ready_) return;
  if (version > change_log_.version() && !is_fetching_changes_) {
    is_fetching_changes_ = true;
    asio::co_spawn(
        executor_,
        [this, from]() -> asio::awaitable<void> {
          HostId peer = from;
          co_await FetchFromPeer(std::move(peer));
          is_fetching_changes_ = false;
        },
        asio::detached);
  }
  if (value.contains("orders") && value.at("orders") != PendingOrdersDigest()) {
    asio::co_spawn(
        executor_,
        [this, from]() -> asio::awaitable<void> {
          HostId peer = from;
          co_await ExchangeOrders(std::move(peer));
        },
        asio::detached);
  }
}

Json SettingsService::BuildChangesMessage(SettingsVersion after) const {
  Json message{{"version", change_log_.version().value()},
               {"orders", BuildOrdersMessage().at("orders")}};
  const auto changes = change_log_.ChangesAfter(after);
  if (!changes) {
    message["tree"] = change_log_.tree().root();
    return message;
  }
  Json list = Json::array();
  for (const SettingsChange& change : *changes) {
    if (list.size() == kMaxChangesPerBatch) break;
    list.push_back(change.ToJson());
  }
  message["changes"] = std::move(list);
  return message;
}

bool SettingsService::ApplyChangesMessage(const Json& body) {
  const SettingsVersion before = change_log_.version();
  if (!body.is_object() || !body.contains("version") ||
      !body.at("version").is_number_integer())
    return false;
  if (body.contains("tree") && body.at("tree").is_object()) {
    change_log_.ApplySnapshot(
        SettingsVersion(body.at("version").get<std::uint64_t>()),
        SettingsTree(body.at("tree")));
  } else if (body.contains("changes")) {
    for (const Json& json : body.at("changes")) {
      const auto change = SettingsChange::FromJson(json);
      if (!change || !change_log_.Apply(change.value())) break;
    }
  }
  return change_log_.version() > before;
}

bool SettingsService::MergeOrders(const Json& orders) {
  bool has_new = false;
  for (const Json& json : orders) {
    const auto order = EmergencyOrder::FromJson(json);
    if (!order || !IsEmergencyPath(order.value().path) ||
        !change_log_.AddEmergencyOrder(order.value()))
      continue;
    has_new = true;
    RecordEvent(EventId::kOrderReceived, order.value().rank.id.value(),
                change_log_.version(), order.value().path);
  }
  return has_new;
}

Json SettingsService::BuildOrdersMessage() const {
  Json orders = Json::array();
  for (const EmergencyOrder& order : change_log_.orders())
    orders.push_back(order.ToJson());
  return {{"orders", std::move(orders)}};
}

std::string SettingsService::PendingOrdersDigest() const {
  constexpr std::size_t kDigestLength = 16;
  std::string ids;
  for (const EmergencyOrder& order : change_log_.orders())
    ids += order.rank.id.value() + ' ';
  return ids.empty() ? ids : Sha256Hex(ids).substr(0, kDigestLength);
}

void SettingsService::ResolveSuperseded(const EmergencyOrder& order,
                                        SettingsVersion version) {
  change_log_.ResolveEmergencyOrder(order.rank.id, version);
  RecordEvent(EventId::kOrderSuperseded, order.rank.id.value(), version,
              order.path);
  Publish();
}

void SettingsService::AcceptCommitted(const SettingsChange& change) {
  RecordEvent(EventId::kSettingsAccepted, change.id.value(), change.version,
              change.path);
  if (change_log_.Apply(change)) Publish();
  Json changes = Json::array();
  changes.push_back(change.ToJson());
  peers_.Broadcast(kChangesKind, {{"version", change.version.value()},
                                  {"changes", std::move(changes)}});
}

void SettingsService::Publish() {
  auto fleet = FleetConfiguration::FromTree(change_log_.EffectiveTree(),
                                            change_log_.version());
  if (!fleet) {
    RecordEvent(EventId::kSettingsUnreachable, "", change_log_.version(),
                fleet.error().message);
    return;
  }
  RecordEvent(EventId::kSettingsInForce,
              change_log_.changes().empty()
                  ? ""
                  : change_log_.changes().back().id.value(),
              change_log_.version(), "");
  // Shared, because relay workers may still use the previous configuration.
  publisher_(
      std::make_shared<const FleetConfiguration>(std::move(fleet).value()));
}

void SettingsService::UpdateStoreAvailability(bool is_available) {
  if (is_available == is_store_available_) return;
  is_store_available_ = is_available;
  RecordEvent(
      is_available ? EventId::kStoreAvailable : EventId::kStoreUnavailable, "",
      change_log_.version(), "");
}

void SettingsService::RecordEvent(EventId id, const std::string& change,
                                  SettingsVersion version,
                                  const std::string& path) {
  if (event_log_ == nullptr) return;
  event_log_->Record(id,
                     {{"change", change},
                      {"version", static_cast<std::int64_t>(version.value())},
                      {"path", path}});
}

}  // namespace dogwood
