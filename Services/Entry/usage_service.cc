#include "Services/Entry/usage_service.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr std::size_t kReplicaHolders =
    2;  // peers that keep a replica of a row
constexpr std::size_t kScanPageRows = 500;
constexpr std::size_t kChecksPerCommit = 200;
constexpr int kMaxReadAttemptsPerGroup = 20;
constexpr Duration kWriteLockPollInterval = std::chrono::milliseconds(5);

std::string ClosedMonthKey(Month month) {
  return "usage-closed/" + FormatMonth(month);
}
// Message bodies are built outside of coroutines because g++ 12 miscompiles
// braced initializer lists in expressions that contain co_await.
Json UsageTotalsBody(const UsageRow& message_row, Incarnation to,
                     bool is_stored,
                     const std::set<HostIncarnation>& replaced_hosts) {
  Json list = Json::array();
  for (const HostIncarnation& peer : replaced_hosts)
    list.push_back({peer.host.value(), peer.incarnation.value()});
  return {{"version", 1},
          {"stands_for", std::move(list)},
          {"row", message_row.Encode()},
          {"stored", is_stored},
          {"to_incarnation", to.value()}};
}
Json WriteRequestBody() { return {{"version", 1}, {"write", true}}; }
Json WriteReplyBody(bool is_written, Incarnation incarnation) {
  return {{"version", 1},
          {"written", is_written},
          {"incarnation", incarnation.value()}};
}
Json MergeReplyBody(bool is_merged) {
  return {{"version", 1}, {"merged", is_merged}};
}
TableTransaction ClosedMonthCommit(Month month, const std::string& digest) {
  TableTransaction commit;
  commit.checks.push_back({ClosedMonthKey(month), 0});
  commit.puts.push_back(
      {ClosedMonthKey(month), Json{{"sha256", digest}}.dump()});
  return commit;
}
std::string SnapshotName(Month month) {
  return "usage-" + FormatMonth(month) + ".json";
}

}  // namespace

UsageService::UsageService(asio::any_io_executor executor, ControlClock& clock,
                           TableStore& store, PeerChannel& peers,
                           EventLog& events, UsageLedger& ledger, HostId host,
                           Incarnation incarnation, UsageServiceOptions options)
    : executor_(std::move(executor)),
      clock_(clock),
      store_(store),
      peers_(peers),
      events_(events),
      ledger_(ledger),
      own_incarnation_{std::move(host), incarnation},
      options_(options),
      peer_replicas_(own_incarnation_) {}

void UsageService::Start() {
  peers_.Handle("usage-totals", [this](const HostId&, Json body) {
    return HandleTotals(std::move(body));
  });
  peers_.AddMemberListener(
      [this](const std::vector<Member>& members) { UpdateMembers(members); });
  UpdateMembers(peers_.members());
  asio::co_spawn(executor_, RunPeriodicTasks(), asio::detached);
}

void UsageService::UpdateMembers(const std::vector<Member>& members) {
  HostIncarnationSet current_members;
  for (const Member& member : members)
    current_members.insert({member.host, member.incarnation});
  for (const HostIncarnation& former_member : member_incarnations_) {
    if (current_members.contains(former_member)) continue;
    for (const Month month : ledger_.open_months())
      peer_replicas_.Expect(month, former_member);
  }
  member_incarnations_ = std::move(current_members);
}

asio::awaitable<Result<void>> UsageService::Open(TimePoint deadline) {
  const Month month = MonthOf(clock_.Wall());
  ledger_.Open(month);
  while (!co_await WriteMonth(month)) {
    if (clock_.Now() >= deadline)
      co_return Fail(ErrorCode::kUnavailable,
                     "the store has not accepted the first usage row of " +
                         FormatMonth(month));
    co_await clock_.Sleep(options_.poll_interval);
  }
  co_return outcome::success();
}

asio::awaitable<void> UsageService::RunPeriodicTasks() {
  while (!is_stopping_) {
    co_await OpenAndCloseMonths();
    const bool is_write_due = clock_.Now() >= next_write_time_;
    if (is_write_due) next_write_time_ = clock_.Now() + options_.write_interval;
    for (const Month month : ledger_.open_months()) {
      const bool is_low = ledger_.is_reservation_low(month);
      if (!is_low && !(is_write_due && ledger_.should_write(month))) continue;
      if (!co_await WriteMonth(month)) co_await ExtendReservations(month);
    }
    if (is_write_due) co_await AdoptVanishedRows(options_.adopt_delay);
    co_await clock_.Sleep(options_.poll_interval);
  }
}

asio::awaitable<void> UsageService::OpenAndCloseMonths() {
  const WallTime now = clock_.Wall();
  const auto to_wall_duration = [](Duration duration) {
    return std::chrono::duration_cast<WallTime::duration>(duration);
  };
  ledger_.Open(MonthOf(now + to_wall_duration(options_.month_open_lead)));
  for (const Month month : ledger_.open_months()) {
    if (StartOfMonth(Month(month.value() + 1)) +
            to_wall_duration(options_.month_close_delay) >=
        now)
      continue;
    ledger_.CloseMonth(month);
    if (!ledger_.should_write(month)) {
      ledger_.Forget(month);
      std::erase_if(sent_totals_, [month](const auto& entry) {
        return entry.first.second == month;
      });
    }
  }
  co_return;
}

std::vector<HostIncarnation> UsageService::ChooseReplicaHolders() const {
  std::vector<std::pair<std::uint64_t, HostIncarnation>> ranked;
  for (const Member& member : peers_.members()) {
    if (member.state == MemberState::kLeaving) continue;
    const std::string pair =
        own_incarnation_.host.value() + "/" + member.host.value();
    ranked.push_back({XXH3_64bits(pair.data(), pair.size()),
                      {member.host, member.incarnation}});
  }
  std::sort(ranked.begin(), ranked.end());
  if (ranked.size() > kReplicaHolders) ranked.resize(kReplicaHolders);
  std::vector<HostIncarnation> replica_holders;
  replica_holders.reserve(ranked.size());
  for (const auto& [rank, peer] : ranked) replica_holders.push_back(peer);
  return replica_holders;
}

asio::awaitable<bool> UsageService::WriteMonth(Month month) {
  while (is_writing_) co_await clock_.Sleep(kWriteLockPollInterval);
  is_writing_ = true;
  const std::vector<HostIncarnation> replica_holders = ChooseReplicaHolders();
  const TableTransaction commit =
      ledger_.StartWrite(month, replica_holders, clock_.Wall());
  const CommitResult result =
      co_await store_.Commit(commit, options_.store_timeout);
  ledger_.FinishWrite(month, result);
  is_writing_ = false;
  const bool is_written = std::holds_alternative<Committed>(result);
  const bool is_failing = std::holds_alternative<CommitUnavailable>(result) ||
                          std::holds_alternative<CommitOutcomeUnknown>(result);
  if (is_failing && !is_store_failing_)
    events_.Record(EventId::kUsageWriteFailed);
  is_store_failing_ = is_failing;
  if (is_written) {
    const auto row = UsageRow::Parse(commit.puts.front().value);
    const std::set<HostIncarnation> no_hosts;
    for (const HostIncarnation& peer : replica_holders)
      co_await SendTotals(peer, row.value(), SendExtent::kOneMessage,
                          RowStorage::kStored, no_hosts);
  }
  co_return is_written;
}

asio::awaitable<void> UsageService::ExtendReservations(Month month) {
  const std::vector<HostIncarnation> extension_peers =
      ledger_.RequiredExtensionPeers(month);
  if (extension_peers.empty()) co_return;
  const UsageRow row = ledger_.Snapshot(month, extension_peers, clock_.Wall());
  const std::set<HostIncarnation> no_hosts;
  for (const HostIncarnation& peer : extension_peers) {
    if (!co_await SendTotals(peer, row, SendExtent::kAllMessages,
                             RowStorage::kNotStored, no_hosts))
      co_return;
  }
  ledger_.Confirm(row);
  events_.Record(EventId::kUsageReservationExtended);
}

asio::awaitable<bool> UsageService::SendTotals(
    HostIncarnation peer, UsageRow row, SendExtent extent, RowStorage storage,
    std::set<HostIncarnation> replaced_hosts) {
  // A restarted peer has lost its replicas, so the incarnation must match.
  const std::vector<Member> members = peers_.members();
  if (std::none_of(members.begin(), members.end(), [&](const Member& member) {
        return member.host == peer.host &&
               member.incarnation == peer.incarnation;
      }))
    co_return false;
  std::erase_if(sent_totals_, [&members](const auto& entry) {
    return std::none_of(
        members.begin(), members.end(), [&entry](const Member& member) {
          return member.host == entry.first.first.host &&
                 member.incarnation == entry.first.first.incarnation;
        });
  });
  const std::pair<HostIncarnation, Month> state_key(peer, row.month);
  while (true) {
    PeerReplicaState& state = sent_totals_[state_key];
    UsageRow message_row = row;
    message_row.use.clear();
    std::size_t unsent = 0;
    auto next = row.use.upper_bound(state.last_sent_key);
    for (std::size_t i = 0; i < row.use.size(); ++i, ++next) {
      if (next == row.use.end()) next = row.use.begin();
      const auto acknowledged = state.acknowledged.find(next->first);
      if (acknowledged != state.acknowledged.end() &&
          acknowledged->second == next->second)
        continue;
      if (message_row.use.size() < options_.max_keys_per_message) {
        message_row.use.insert(*next);
        state.last_sent_key = next->first;
      } else {
        ++unsent;
      }
    }
    // Only the last message of a row may mark the totals as exact.
    if (unsent > 0) message_row.state = UsageRowState::kRunning;
    // Only a peer with a complete replica can replace other replica holders.
    std::set<HostIncarnation> sent_replaced_hosts;
    if (unsent == 0) sent_replaced_hosts = replaced_hosts;
    Json body =
        UsageTotalsBody(message_row, peer.incarnation,
                        storage == RowStorage::kStored, sent_replaced_hosts);
    const Result<Json> reply = co_await peers_.Call(
        peer.host, "usage-totals", std::move(body), options_.peer_timeout);
    if (!reply || !reply.value().value("merged", false)) co_return false;
    PeerReplicaState& updated_state = sent_totals_[state_key];
    for (const auto& [key, value] : message_row.use)
      updated_state.acknowledged[key] = value;
    if (unsent == 0) co_return true;
    if (extent == SendExtent::kOneMessage) co_return false;
  }
}

asio::awaitable<Result<Json>> UsageService::HandleTotals(Json body) {
  try {
    if (body.value("write", false)) {
      const bool is_written = co_await WriteOpenMonths();
      co_return WriteReplyBody(is_written, own_incarnation_.incarnation);
    }
    if (body.at("to_incarnation").get<std::uint64_t>() !=
        own_incarnation_.incarnation.value())
      co_return MergeReplyBody(false);
    const auto row = UsageRow::Parse(body.at("row").get<std::string>());
    if (!row) {
      events_.Record(EventId::kUsageRowInvalid,
                     {{"error", row.error().message}});
      co_return row.error();
    }
    // Flush transfers the replicas of this host and would miss a new one.
    if (is_stopping_) co_return MergeReplyBody(false);
    const std::string key = row.value().key();
    if (body.value("stored", false)) {
      adopted_rows_.erase(key);
    } else if (adopted_rows_.contains(key) &&
               row.value().state != UsageRowState::kClosed) {
      co_return MergeReplyBody(false);
    }
    peer_replicas_.Merge(row.value());
    for (const Json& peer : body.value("stands_for", Json::array()))
      peer_replicas_.AddRepresentedPeer(
          key, {HostId(peer.at(0).get<std::string>()),
                Incarnation(peer.at(1).get<std::uint64_t>())});
    co_return MergeReplyBody(true);
  } catch (const Json::exception& error) {
    co_return Fail(ErrorCode::kProtocol, error.what());
  }
}

asio::awaitable<void> UsageService::AdoptVanishedRows(Duration delay) {
  HostIncarnationSet live = member_incarnations_;
  live.insert(own_incarnation_);
  const std::vector<std::string> vanished_keys =
      peer_replicas_.KeysOfVanished(live);
  std::erase_if(vanished_since_, [&vanished_keys](const auto& entry) {
    return std::find(vanished_keys.begin(), vanished_keys.end(), entry.first) ==
           vanished_keys.end();
  });
  std::size_t remaining_adoptions = options_.max_adoptions_per_write_interval;
  for (const std::string& key : vanished_keys) {
    const TimePoint since =
        vanished_since_.try_emplace(key, clock_.Now()).first->second;
    if (clock_.Now() < since + delay || remaining_adoptions == 0) continue;
    --remaining_adoptions;
    const bool is_stored = co_await AdoptRow(key);
    if (is_stored &&
        clock_.Now() >= since + options_.redundant_replica_retention)
      peer_replicas_.Forget(key);
  }
}

asio::awaitable<bool> UsageService::AdoptRow(std::string key) {
  const Result<TableRow> row =
      co_await store_.Read(key, options_.store_timeout);
  if (!row) co_return false;
  // The replica may have been removed while the row was read.
  if (!peer_replicas_.contains(key)) co_return true;
  const auto commit =
      peer_replicas_.BuildAdoptionCommit(key, row.value(), clock_.Wall());
  if (!commit) co_return true;
  adopted_rows_.insert(key);
  const CommitResult result =
      co_await store_.Commit(*commit, options_.store_timeout);
  if (!std::holds_alternative<Committed>(result)) co_return false;
  events_.Record(EventId::kUsageAdopted, {{"row", key}});
  co_return true;
}

asio::awaitable<bool> UsageService::WriteOpenMonths() {
  bool is_all_written = true;
  for (const Month month : ledger_.open_months()) {
    // The first attempt may fail on an outdated row version and only read the
    // current row.
    bool is_written = !ledger_.should_write(month);
    for (int attempt = 0; attempt < 2 && !is_written; ++attempt)
      is_written = co_await WriteMonth(month);
    is_all_written = is_all_written && is_written;
  }
  co_return is_all_written;
}

asio::awaitable<Result<void>> UsageService::Flush(TimePoint deadline) {
  is_stopping_ = true;
  ledger_.Close();
  std::set<std::string> unadopted_keys;
  HostIncarnationSet live = member_incarnations_;
  live.insert(own_incarnation_);
  for (const std::string& key : peer_replicas_.KeysOfVanished(live))
    unadopted_keys.insert(key);
  while (true) {
    bool is_written = co_await WriteOpenMonths();
    is_written = is_written && ledger_.is_written();
    const std::set<std::string> keys_to_adopt = unadopted_keys;
    for (const std::string& key : keys_to_adopt) {
      const bool is_stored = co_await AdoptRow(key);
      if (is_stored) unadopted_keys.erase(key);
    }
    if (is_written && unadopted_keys.empty()) co_return outcome::success();
    if (clock_.Now() >= deadline) break;
    co_await clock_.Sleep(options_.poll_interval);
  }
  bool is_replicated = true;
  const std::set<HostIncarnation> no_hosts;
  for (const Month month : ledger_.open_months()) {
    if (!ledger_.should_write(month)) continue;
    const UsageRow row = ledger_.Snapshot(month, {}, clock_.Wall());
    const bool is_accepted = co_await TransferToMembers(row, no_hosts);
    is_replicated = is_replicated && is_accepted;
  }
  // Replicas for live members are transferred as well: after this host has
  // stopped, those members cannot extend their reservations without a replica
  // holder that replaces it.
  const std::vector<std::string> replica_keys = peer_replicas_.keys();
  for (const std::string& key : replica_keys) {
    if (!peer_replicas_.contains(key)) continue;
    const UsageRow replica = peer_replicas_.replica(key);
    const std::set<HostIncarnation> replaced_hosts =
        peer_replicas_.RepresentedPeers(key);
    const bool is_accepted =
        co_await TransferToMembers(replica, replaced_hosts);
    is_replicated = is_replicated && is_accepted;
  }
  if (is_replicated) co_return outcome::success();
  co_return Fail(ErrorCode::kUnavailable,
                 "the final usage totals reached neither the store nor a peer");
}

asio::awaitable<bool> UsageService::TransferToMembers(
    UsageRow row, std::set<HostIncarnation> replaced_hosts) {
  std::size_t holders = 0;
  const HostIncarnationSet candidates = member_incarnations_;
  for (const HostIncarnation& member : candidates) {
    if (holders == kReplicaHolders) break;
    // The state is tracked by member and month only and may describe another
    // host's row, so the whole row is sent.
    sent_totals_.erase({member, row.month});
    const bool is_accepted =
        co_await SendTotals(member, row, SendExtent::kAllMessages,
                            RowStorage::kNotStored, replaced_hosts);
    if (is_accepted) ++holders;
  }
  co_return holders > 0;
}

asio::awaitable<Result<std::vector<TableRow>>> UsageService::ReadRows(
    Month month, HostIncarnationSet written_hosts) {
  std::map<std::string, TableRow> rows;
  // A scan may return an outdated view that lacks the newest rows.
  for (const HostIncarnation& writer : written_hosts) {
    UsageRow row;
    row.month = month;
    row.host = writer.host;
    row.incarnation = writer.incarnation;
    rows[row.key()].key = row.key();
  }
  std::string after;
  for (bool is_last = false; !is_last;) {
    CO_TRY_ASSIGN(const std::vector<TableRow> page,
                  co_await store_.Scan(UsageRowKeyPrefix(month), after,
                                       kScanPageRows, options_.store_timeout));
    is_last = page.size() < kScanPageRows;
    if (!page.empty()) after = page.back().key;
    for (const TableRow& row : page) rows[row.key] = row;
  }
  // A commit that only checks versions returns the current value of each
  // outdated row.
  int attempts = 0;
  for (auto next = rows.begin(); next != rows.end();) {
    if (++attempts > kMaxReadAttemptsPerGroup)
      co_return Fail(ErrorCode::kUnavailable, "usage rows change too fast");
    TableTransaction check;
    auto end = next;
    for (; end != rows.end() && check.checks.size() < kChecksPerCommit; ++end)
      check.checks.push_back({end->first, end->second.version});
    const CommitResult result =
        co_await store_.Commit(std::move(check), options_.store_timeout);
    if (std::holds_alternative<Committed>(result)) {
      next = end;
      attempts = 0;
    }
    if (std::holds_alternative<CommitUnavailable>(result))
      co_return Fail(ErrorCode::kUnavailable, "usage rows are not readable");
    if (const auto* conflict = std::get_if<CommitConflict>(&result)) {
      for (const TableRow& row : conflict->current) rows[row.key] = row;
    }
  }
  std::vector<TableRow> present;
  for (auto& [key, row] : rows) {
    if (row.version > 0) present.push_back(std::move(row));
  }
  co_return present;
}

asio::awaitable<HostIncarnationSet> UsageService::RequestWritesFromAllHosts() {
  HostIncarnationSet written_hosts;
  if (co_await WriteOpenMonths()) written_hosts.insert(own_incarnation_);
  for (const Member& member : peers_.members()) {
    const Result<Json> reply =
        co_await peers_.Call(member.host, "usage-totals", WriteRequestBody(),
                             options_.store_timeout * 3);
    if (!reply || !reply.value().value("written", false)) continue;
    written_hosts.insert({member.host, Incarnation(reply.value().value(
                                           "incarnation", std::uint64_t{0}))});
  }
  co_return written_hosts;
}

asio::awaitable<Result<UsageReport>> UsageService::Report(
    Month month, UsageReport::Agreements agreements) {
  const HostIncarnationSet written_hosts = co_await RequestWritesFromAllHosts();
  CO_TRY_ASSIGN(const std::vector<TableRow> rows,
                co_await ReadRows(month, written_hosts));
  co_return UsageReport::Build(month, rows, agreements, written_hosts);
}

asio::awaitable<Result<UsageReport>> UsageService::CloseMonth(
    Month month, UsageReport::Agreements agreements,
    UsageSnapshotStore& snapshots) {
  CO_TRY_ASSIGN(
      const TableRow closed,
      co_await store_.Read(ClosedMonthKey(month), options_.store_timeout));
  if (closed.version > 0) co_return co_await Verify(month, snapshots);
  if (StartOfMonth(Month(month.value() + 1)) > clock_.Wall())
    co_return Fail(ErrorCode::kInvalidArgument,
                   FormatMonth(month) + " is not over");
  CO_TRY_ASSIGN(const UsageReport report,
                co_await Report(month, std::move(agreements)));
  const std::string text = report.EncodeSnapshot();
  const std::string digest = Sha256Hex(text);
  // The name contains the digest so that concurrent closes cannot overwrite
  // each other's snapshots.
  CO_TRY(co_await snapshots.Put(digest + "-" + SnapshotName(month), text));
  const CommitResult result = co_await store_.Commit(
      ClosedMonthCommit(month, digest), options_.store_timeout);
  if (std::holds_alternative<CommitConflict>(result))
    co_return co_await Verify(month, snapshots);
  if (std::holds_alternative<CommitUnavailable>(result))
    co_return Fail(ErrorCode::kUnavailable, "the month is not closed");
  if (std::holds_alternative<CommitOutcomeUnknown>(result))
    co_return Fail(ErrorCode::kOutcomeUnknown, "close the month again");
  events_.Record(EventId::kUsageMonthClosed,
                 {{"month", FormatMonth(month)}, {"sha256", digest}});
  co_return report;
}

asio::awaitable<Result<UsageReport>> UsageService::Verify(
    Month month, UsageSnapshotStore& snapshots) {
  CO_TRY_ASSIGN(
      const TableRow closed,
      co_await store_.Read(ClosedMonthKey(month), options_.store_timeout));
  if (closed.version == 0)
    co_return Fail(ErrorCode::kNotFound, FormatMonth(month) + " is not closed");
  const Json value = Json::parse(closed.value, nullptr, false);
  if (!value.is_object() || !value.contains("sha256"))
    co_return Fail(ErrorCode::kProtocol, closed.key + " holds no digest");
  const std::string recorded = value.value("sha256", "");
  CO_TRY_ASSIGN(const std::string text,
                co_await snapshots.Read(recorded + "-" + SnapshotName(month)));
  co_return UsageReport::VerifySnapshot(text, Sha256Hex(text), recorded);
}

asio::awaitable<Result<std::vector<UsageReportLine>>> UsageService::Corrections(
    Month month, UsageReport::Agreements agreements,
    UsageSnapshotStore& snapshots) {
  CO_TRY_ASSIGN(const UsageReport closed, co_await Verify(month, snapshots));
  CO_TRY_ASSIGN(const UsageReport now,
                co_await Report(month, std::move(agreements)));
  co_return closed.Corrections(now);
}

}  // namespace dogwood
