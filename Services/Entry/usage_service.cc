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

constexpr std::size_t kPeers = 2;
constexpr std::size_t kScanLimit = 500;
constexpr std::size_t kChecksPerCommit = 200;
constexpr int kMaxReadAttempts = 20;  // of one group of rows
constexpr Duration kWriteTurn = std::chrono::milliseconds(5);

std::string ClosedKey(Month month) {
  return "usage-closed/" + MonthName(month);
}
// Message bodies are built outside of coroutines: g++ 12 miscompiles braced
// lists in expressions that wait.
Json TotalsBody(const UsageRow& part, Incarnation to, bool is_stored,
                const std::set<HostIncarnation>& stands_for) {
  Json list = Json::array();
  for (const HostIncarnation& peer : stands_for)
    list.push_back({peer.host.value(), peer.incarnation.value()});
  return {{"version", 1},
          {"stands_for", std::move(list)},
          {"row", part.Encode()},
          {"stored", is_stored},
          {"to_incarnation", to.value()}};
}
Json WriteRequest() { return {{"version", 1}, {"write", true}}; }
Json WriteReply(bool is_written, Incarnation incarnation) {
  return {{"version", 1},
          {"written", is_written},
          {"incarnation", incarnation.value()}};
}
Json MergeReply(bool is_merged) {
  return {{"version", 1}, {"merged", is_merged}};
}
TableCommit CloseCommit(Month month, const std::string& digest) {
  TableCommit commit;
  commit.checks.push_back({ClosedKey(month), 0});
  commit.puts.push_back({ClosedKey(month), Json{{"sha256", digest}}.dump()});
  return commit;
}
std::string SnapshotName(Month month) {
  return "usage-" + MonthName(month) + ".json";
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
      own_{std::move(host), incarnation},
      options_(options),
      copies_(own_) {}

void UsageService::Start() {
  peers_.Handle("usage-totals", [this](const HostId&, Json body) {
    return HandleTotals(std::move(body));
  });
  peers_.AddMemberListener(
      [this](const std::vector<Member>& members) { NoteMembers(members); });
  NoteMembers(peers_.members());
  asio::co_spawn(executor_, Loop(), asio::detached);
}

void UsageService::NoteMembers(const std::vector<Member>& members) {
  LiveIncarnations now;
  for (const Member& member : members)
    now.insert({member.host, member.incarnation});
  for (const HostIncarnation& before : seen_) {
    if (now.contains(before)) continue;
    for (const Month month : ledger_.open_months())
      copies_.Expect(month, before);
  }
  seen_ = std::move(now);
}

asio::awaitable<Result<void>> UsageService::Open(TimePoint deadline) {
  const Month month = MonthOf(clock_.Wall());
  ledger_.Open(month);
  while (!co_await WriteMonth(month)) {
    if (clock_.Now() >= deadline)
      co_return Fail(ErrorCode::kUnavailable,
                     "the first usage row is unwritten");
    co_await clock_.Sleep(options_.tick);
  }
  co_return outcome::success();
}

asio::awaitable<void> UsageService::Loop() {
  while (!is_stopping_) {
    co_await OpenAndCloseMonths();
    const bool is_due = clock_.Now() >= next_write_;
    if (is_due) next_write_ = clock_.Now() + options_.write_interval;
    for (const Month month : ledger_.open_months()) {
      const bool is_low = ledger_.is_reservation_low(month);
      if (!is_low && !(is_due && ledger_.NeedsWrite(month))) continue;
      if (!co_await WriteMonth(month)) co_await Extend(month);
    }
    if (is_due) co_await Adopt(options_.adopt_delay);
    co_await clock_.Sleep(options_.tick);
  }
}

asio::awaitable<void> UsageService::OpenAndCloseMonths() {
  const WallTime now = clock_.Wall();
  const auto micros = [](Duration duration) {
    return std::chrono::duration_cast<WallTime::duration>(duration);
  };
  ledger_.Open(MonthOf(now + micros(options_.open_ahead)));
  for (const Month month : ledger_.open_months()) {
    if (StartOf(Month(month.value() + 1)) + micros(options_.close_after) >= now)
      continue;
    ledger_.CloseMonth(month);
    if (!ledger_.NeedsWrite(month)) {
      ledger_.Forget(month);
      std::erase_if(sent_, [month](const auto& entry) {
        return entry.first.second == month;
      });
    }
  }
  co_return;
}

std::vector<HostIncarnation> UsageService::ChoosePeers() const {
  std::vector<std::pair<std::uint64_t, HostIncarnation>> ranked;
  for (const Member& member : peers_.members()) {
    if (member.state == MemberState::kLeaving) continue;
    const std::string pair = own_.host.value() + "/" + member.host.value();
    ranked.push_back({XXH3_64bits(pair.data(), pair.size()),
                      {member.host, member.incarnation}});
  }
  std::sort(ranked.begin(), ranked.end());
  if (ranked.size() > kPeers) ranked.resize(kPeers);
  std::vector<HostIncarnation> chosen;
  chosen.reserve(ranked.size());
  for (const auto& [rank, peer] : ranked) chosen.push_back(peer);
  return chosen;
}

asio::awaitable<bool> UsageService::WriteMonth(Month month) {
  while (is_writing_) co_await clock_.Sleep(kWriteTurn);
  is_writing_ = true;
  const std::vector<HostIncarnation> chosen = ChoosePeers();
  const TableCommit commit = ledger_.StartWrite(month, chosen, clock_.Wall());
  const CommitResult result =
      co_await store_.Commit(commit, options_.store_timeout);
  ledger_.FinishWrite(month, result);
  is_writing_ = false;
  const bool is_written = std::holds_alternative<Committed>(result);
  const bool is_failing = std::holds_alternative<CommitUnavailable>(result) ||
                          std::holds_alternative<CommitUnknown>(result);
  if (is_failing && !is_store_failing_)
    events_.Record(EventId::kUsageWriteFailed);
  is_store_failing_ = is_failing;
  if (is_written) {
    const auto row = UsageRow::Parse(commit.puts.front().value);
    const std::set<HostIncarnation> nobody;
    for (const HostIncarnation& peer : chosen)
      co_await Send(peer, row.value(), Amount::kOneMessage, Origin::kStored,
                    nobody);
  }
  co_return is_written;
}

asio::awaitable<void> UsageService::Extend(Month month) {
  const std::vector<HostIncarnation> named = ledger_.ExtensionPeers(month);
  if (named.empty()) co_return;
  const UsageRow row = ledger_.Snapshot(month, named, clock_.Wall());
  const std::set<HostIncarnation> nobody;
  for (const HostIncarnation& peer : named) {
    if (!co_await Send(peer, row, Amount::kEverything, Origin::kExtension,
                       nobody))
      co_return;
  }
  ledger_.Confirm(row);
  events_.Record(EventId::kUsageReservationExtended);
}

asio::awaitable<bool> UsageService::Send(HostIncarnation peer, UsageRow row,
                                         Amount amount, Origin origin,
                                         std::set<HostIncarnation> stands_for) {
  // A restarted peer lost its copies, so only the named incarnation counts.
  const std::vector<Member> members = peers_.members();
  if (std::none_of(members.begin(), members.end(), [&](const Member& member) {
        return member.host == peer.host &&
               member.incarnation == peer.incarnation;
      }))
    co_return false;
  std::erase_if(sent_, [&members](const auto& entry) {
    return std::none_of(
        members.begin(), members.end(), [&entry](const Member& member) {
          return member.host == entry.first.first.host &&
                 member.incarnation == entry.first.first.incarnation;
        });
  });
  const std::pair<HostIncarnation, Month> slot(peer, row.month);
  while (true) {
    PeerState& state = sent_[slot];
    UsageRow part = row;
    part.use.clear();
    std::size_t unsent = 0;
    auto next = row.use.upper_bound(state.cursor);
    for (std::size_t i = 0; i < row.use.size(); ++i, ++next) {
      if (next == row.use.end()) next = row.use.begin();
      const auto held = state.held.find(next->first);
      if (held != state.held.end() && held->second == next->second) continue;
      if (part.use.size() < options_.keys_per_message) {
        part.use.insert(*next);
        state.cursor = next->first;
      } else {
        ++unsent;
      }
    }
    // Only the last part may say that the totals are exact.
    if (unsent > 0) part.state = UsageRowState::kRunning;
    // Only a whole copy makes the peer stand for others.
    std::set<HostIncarnation> vouched;
    if (unsent == 0) vouched = stands_for;
    Json body =
        TotalsBody(part, peer.incarnation, origin == Origin::kStored, vouched);
    const Result<Json> reply = co_await peers_.Call(
        peer.host, "usage-totals", std::move(body), options_.peer_timeout);
    if (!reply || !reply.value().value("merged", false)) co_return false;
    PeerState& after = sent_[slot];
    for (const auto& [key, value] : part.use) after.held[key] = value;
    if (unsent == 0) co_return true;
    if (amount == Amount::kOneMessage) co_return false;
  }
}

asio::awaitable<Result<Json>> UsageService::HandleTotals(Json body) {
  try {
    if (body.value("write", false)) {
      const bool is_written = co_await WriteAll();
      co_return WriteReply(is_written, own_.incarnation);
    }
    if (body.at("to_incarnation").get<std::uint64_t>() !=
        own_.incarnation.value())
      co_return MergeReply(false);
    const auto row = UsageRow::Parse(body.at("row").get<std::string>());
    if (!row) {
      events_.Record(EventId::kUsageRowInvalid,
                     {{"error", row.error().message}});
      co_return row.error();
    }
    // What this host holds is already on its way to others.
    if (is_stopping_) co_return MergeReply(false);
    const std::string key = row.value().key();
    if (body.value("stored", false)) {
      adopted_.erase(key);
    } else if (adopted_.contains(key) &&
               row.value().state != UsageRowState::kClosed) {
      co_return MergeReply(false);
    }
    copies_.Merge(row.value());
    for (const Json& peer : body.value("stands_for", Json::array()))
      copies_.StandFor(key, {HostId(peer.at(0).get<std::string>()),
                             Incarnation(peer.at(1).get<std::uint64_t>())});
    co_return MergeReply(true);
  } catch (const Json::exception& error) {
    co_return Fail(ErrorCode::kProtocol, error.what());
  }
}

asio::awaitable<void> UsageService::Adopt(Duration delay) {
  LiveIncarnations live = seen_;
  live.insert(own_);
  const std::vector<std::string> vanished = copies_.Vanished(live);
  std::erase_if(vanished_since_, [&vanished](const auto& entry) {
    return std::find(vanished.begin(), vanished.end(), entry.first) ==
           vanished.end();
  });
  std::size_t left = options_.adoptions_per_interval;
  for (const std::string& key : vanished) {
    const TimePoint since =
        vanished_since_.try_emplace(key, clock_.Now()).first->second;
    if (clock_.Now() < since + delay || left == 0) continue;
    --left;
    const bool is_stored = co_await AdoptOne(key);
    if (is_stored && clock_.Now() >= since + options_.forget_delay)
      copies_.Forget(key);
  }
}

asio::awaitable<bool> UsageService::AdoptOne(std::string key) {
  const Result<TableRow> row =
      co_await store_.Read(key, options_.store_timeout);
  if (!row) co_return false;
  // Another adoption may have forgotten it meanwhile.
  if (!copies_.contains(key)) co_return true;
  const auto commit = copies_.AdoptCommit(key, row.value(), clock_.Wall());
  if (!commit) co_return true;
  adopted_.insert(key);
  const CommitResult result =
      co_await store_.Commit(*commit, options_.store_timeout);
  if (!std::holds_alternative<Committed>(result)) co_return false;
  events_.Record(EventId::kUsageAdopted, {{"row", key}});
  co_return true;
}

asio::awaitable<bool> UsageService::WriteAll() {
  bool is_all_written = true;
  for (const Month month : ledger_.open_months()) {
    // The first write may only find out what the row holds.
    bool is_written = !ledger_.NeedsWrite(month);
    for (int attempt = 0; attempt < 2 && !is_written; ++attempt)
      is_written = co_await WriteMonth(month);
    is_all_written = is_all_written && is_written;
  }
  co_return is_all_written;
}

asio::awaitable<Result<void>> UsageService::Flush(TimePoint deadline) {
  is_stopping_ = true;
  ledger_.Close();
  std::set<std::string> copies;
  LiveIncarnations live = seen_;
  live.insert(own_);
  for (const std::string& key : copies_.Vanished(live)) copies.insert(key);
  while (true) {
    bool is_written = co_await WriteAll();
    is_written = is_written && ledger_.is_written();
    const std::set<std::string> unstored = copies;
    for (const std::string& key : unstored) {
      const bool is_stored = co_await AdoptOne(key);
      if (is_stored) copies.erase(key);
    }
    if (is_written && copies.empty()) co_return outcome::success();
    if (clock_.Now() >= deadline) break;
    co_await clock_.Sleep(options_.tick);
  }
  bool is_held = true;
  const std::set<HostIncarnation> nobody;
  for (const Month month : ledger_.open_months()) {
    if (!ledger_.NeedsWrite(month)) continue;
    const UsageRow row = ledger_.Snapshot(month, {}, clock_.Wall());
    const bool is_taken = co_await HandToMembers(row, nobody);
    is_held = is_held && is_taken;
  }
  // Copies of members still there too: once this host has stopped, they cannot
  // extend their reservations beyond what it holds.
  const std::vector<std::string> held = copies_.keys();
  for (const std::string& key : held) {
    if (!copies_.contains(key)) continue;
    const UsageRow copy = copies_.copy(key);
    const std::set<HostIncarnation> stands_for = copies_.StandsFor(key);
    const bool is_taken = co_await HandToMembers(copy, stands_for);
    is_held = is_held && is_taken;
  }
  if (is_held) co_return outcome::success();
  co_return Fail(ErrorCode::kUnavailable,
                 "neither store nor peers hold the final totals");
}

asio::awaitable<bool> UsageService::HandToMembers(
    UsageRow row, std::set<HostIncarnation> stands_for) {
  std::size_t holders = 0;
  const LiveIncarnations candidates = seen_;
  for (const HostIncarnation& member : candidates) {
    if (holders == kPeers) break;
    // What a member holds of another host's row is not tracked.
    sent_.erase({member, row.month});
    const bool is_taken = co_await Send(member, row, Amount::kEverything,
                                        Origin::kExtension, stands_for);
    if (is_taken) ++holders;
  }
  co_return holders > 0;
}

asio::awaitable<Result<std::vector<TableRow>>> UsageService::ReadRows(
    Month month, LiveIncarnations confirmed) {
  std::map<std::string, TableRow> rows;
  // A scan from the past may lack the newest rows.
  for (const HostIncarnation& writer : confirmed) {
    UsageRow row;
    row.month = month;
    row.host = writer.host;
    row.incarnation = writer.incarnation;
    rows[row.key()].key = row.key();
  }
  std::string after;
  for (bool is_last = false; !is_last;) {
    CO_TRY_ASSIGN(const std::vector<TableRow> page,
                  co_await store_.Scan(UsageRowPrefix(month), after, kScanLimit,
                                       options_.store_timeout));
    is_last = page.size() < kScanLimit;
    if (!page.empty()) after = page.back().key;
    for (const TableRow& row : page) rows[row.key] = row;
  }
  // A check-only commit returns the current value of every outdated row.
  int attempts = 0;
  for (auto next = rows.begin(); next != rows.end();) {
    if (++attempts > kMaxReadAttempts)
      co_return Fail(ErrorCode::kUnavailable, "usage rows change too fast");
    TableCommit check;
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

asio::awaitable<LiveIncarnations> UsageService::AskAllToWrite() {
  LiveIncarnations confirmed;
  if (co_await WriteAll()) confirmed.insert(own_);
  for (const Member& member : peers_.members()) {
    const Result<Json> reply =
        co_await peers_.Call(member.host, "usage-totals", WriteRequest(),
                             options_.store_timeout * 3);
    if (!reply || !reply.value().value("written", false)) continue;
    confirmed.insert({member.host, Incarnation(reply.value().value(
                                       "incarnation", std::uint64_t{0}))});
  }
  co_return confirmed;
}

asio::awaitable<Result<UsageReport>> UsageService::Report(
    Month month, UsageReport::Agreements agreements) {
  const LiveIncarnations confirmed = co_await AskAllToWrite();
  CO_TRY_ASSIGN(const std::vector<TableRow> rows,
                co_await ReadRows(month, confirmed));
  co_return UsageReport::Build(month, rows, agreements, confirmed);
}

asio::awaitable<Result<UsageReport>> UsageService::CloseMonth(
    Month month, UsageReport::Agreements agreements, SnapshotStore& snapshots) {
  CO_TRY_ASSIGN(const TableRow closed,
                co_await store_.Read(ClosedKey(month), options_.store_timeout));
  if (closed.version > 0) co_return co_await Verify(month, snapshots);
  if (StartOf(Month(month.value() + 1)) > clock_.Wall())
    co_return Fail(ErrorCode::kInvalidArgument,
                   MonthName(month) + " is not over");
  CO_TRY_ASSIGN(const UsageReport report,
                co_await Report(month, std::move(agreements)));
  const std::string text = report.SnapshotText();
  const std::string digest = Sha256Hex(text);
  // The digest is part of the name, so that a concurrent close that loses does
  // not replace the snapshot of the one that wins.
  CO_TRY(co_await snapshots.Put(digest + "-" + SnapshotName(month), text));
  const CommitResult result = co_await store_.Commit(CloseCommit(month, digest),
                                                     options_.store_timeout);
  if (std::holds_alternative<CommitConflict>(result))
    co_return co_await Verify(month, snapshots);
  if (std::holds_alternative<CommitUnavailable>(result))
    co_return Fail(ErrorCode::kUnavailable, "the month is not closed");
  if (std::holds_alternative<CommitUnknown>(result))
    co_return Fail(ErrorCode::kOutcomeUnknown, "close the month again");
  events_.Record(EventId::kUsageMonthClosed,
                 {{"month", MonthName(month)}, {"sha256", digest}});
  co_return report;
}

asio::awaitable<Result<UsageReport>> UsageService::Verify(
    Month month, SnapshotStore& snapshots) {
  CO_TRY_ASSIGN(const TableRow closed,
                co_await store_.Read(ClosedKey(month), options_.store_timeout));
  if (closed.version == 0)
    co_return Fail(ErrorCode::kNotFound, MonthName(month) + " is not closed");
  const Json value = Json::parse(closed.value, nullptr, false);
  if (!value.is_object() || !value.contains("sha256"))
    co_return Fail(ErrorCode::kProtocol, closed.key + " holds no digest");
  const std::string recorded = value.value("sha256", "");
  CO_TRY_ASSIGN(const std::string text,
                co_await snapshots.Read(recorded + "-" + SnapshotName(month)));
  co_return UsageReport::VerifySnapshot(text, Sha256Hex(text), recorded);
}

asio::awaitable<Result<std::vector<UsageLine>>> UsageService::Corrections(
    Month month, UsageReport::Agreements agreements, SnapshotStore& snapshots) {
  CO_TRY_ASSIGN(const UsageReport closed, co_await Verify(month, snapshots));
  CO_TRY_ASSIGN(const UsageReport now,
                co_await Report(month, std::move(agreements)));
  co_return closed.Corrections(now);
}

}  // namespace dogwood
