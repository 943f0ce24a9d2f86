#include "Libraries/Usage/usage_ledger.h"

#include <algorithm>

namespace dogwood {
namespace {

// Threads take stripes in turn.
std::size_t StripeOfThread(std::size_t stripes) {
  static std::atomic<std::size_t> next{0};
  thread_local const std::size_t index = next.fetch_add(1);
  return index % stripes;
}

}  // namespace

std::size_t UsageLedger::CellKeyHash::operator()(
    const CellKey& key) const noexcept {
  const std::hash<std::string> hash;
  return hash(key.key.party.value()) * 31 + hash(key.key.service.value()) * 7 +
         key.month.value();
}

UsageLedger::UsageLedger(HostId host, Incarnation incarnation,
                         UsageOptions options)
    : host_(std::move(host)), incarnation_(incarnation), options_(options) {}

UsageLedger::Cell& UsageLedger::CellOf(const PartyId& party,
                                       const ServiceId& service, Month month) {
  Stripe& stripe = stripes_[StripeOfThread(kStripes)];
  const std::lock_guard lock(stripe.mutex);
  const CellKey key{{party, service}, month};
  Cell*& found = stripe.cells[key];
  if (found != nullptr) return *found;
  const std::lock_guard table_lock(table_mutex_);
  MonthState& state = months_[month];
  Cell*& shared = state.cells[key.key];
  if (shared == nullptr) {
    shared = &cells_.emplace_back();
    shared->bound = state.block;
    shared->planned = state.block;
  }
  found = shared;
  return *found;
}

bool UsageLedger::TryAdmit(const PartyId& party, const ServiceId& service,
                           Month month) {
  Cell& cell = CellOf(party, service, month);
  if (cell.admitted.fetch_add(1) < cell.bound.load()) return true;
  cell.admitted.fetch_sub(1);
  return false;
}

void UsageLedger::Withdraw(const PartyId& party, const ServiceId& service,
                           Month month) {
  CellOf(party, service, month).admitted.fetch_sub(1);
}

UsageLedger::Recorded UsageLedger::Record(const PartyId& party,
                                          const ServiceId& service,
                                          Month month) {
  Cell& cell = CellOf(party, service, month);
  return cell.total.fetch_add(1) < cell.bound.load()
             ? Recorded::kWithinReservation
             : Recorded::kBeyondReservation;
}

void UsageLedger::Open(Month month) {
  const std::lock_guard lock(table_mutex_);
  months_.try_emplace(month);
}

std::vector<Month> UsageLedger::open_months() const {
  const std::lock_guard lock(table_mutex_);
  std::vector<Month> list;
  for (const auto& [month, state] : months_) list.push_back(month);
  return list;
}

bool UsageLedger::NeedsWrite(Month month) const {
  const std::lock_guard lock(table_mutex_);
  const auto found = months_.find(month);
  if (found == months_.end()) return false;
  const MonthState& state = found->second;
  if (!state.written) return true;
  if (state.is_closed && state.written->state != UsageRowState::kClosed)
    return true;
  return std::any_of(state.cells.begin(), state.cells.end(),
                     [](const auto& entry) {
                       const Cell& cell = *entry.second;
                       return cell.total.load() != cell.written ||
                              cell.bound.load() > cell.written_bound;
                     });
}

bool UsageLedger::is_reservation_low(Month month) const {
  const std::lock_guard lock(table_mutex_);
  const auto found = months_.find(month);
  if (found == months_.end() || found->second.is_closed) return false;
  return std::any_of(found->second.cells.begin(), found->second.cells.end(),
                     [this](const auto& entry) {
                       const Cell& cell = *entry.second;
                       const std::uint64_t used =
                           std::max(cell.admitted.load(), cell.total.load());
                       return used + options_.block / 4 > cell.bound.load();
                     });
}

UsageRow UsageLedger::Snapshot(Month month,
                               const std::vector<HostIncarnation>& peers,
                               WallTime wall) {
  const std::lock_guard lock(table_mutex_);
  MonthState& state = months_[month];
  UsageRow row;
  row.month = month;
  row.host = host_;
  row.incarnation = incarnation_;
  row.writer = host_;
  row.sequence = ++sequence_;
  row.wall = wall;
  if (state.is_closed) {
    row.state = UsageRowState::kClosed;
  } else {
    row.block = options_.block;
    row.peers = peers;
  }
  for (auto& [key, cell] : state.cells) {
    const std::uint64_t total = cell->total.load();
    const std::uint64_t used = std::max(total, cell->admitted.load());
    const std::uint64_t step = std::max(
        options_.block, options_.growth_factor * (total - cell->previous));
    if (used + step / 2 > cell->planned) cell->planned = used + step;
    cell->previous = total;
    row.use[key] = {total, state.is_closed ? total : cell->planned};
  }
  return row;
}

void UsageLedger::Confirm(const UsageRow& row) {
  const std::lock_guard lock(table_mutex_);
  MonthState& state = months_[row.month];
  if (state.is_closed) return;
  state.block = std::max(state.block, row.block);
  for (auto& [key, cell] : state.cells) {
    const auto listed = row.use.find(key);
    // A key that the row does not list has the row's block.
    const std::uint64_t bound =
        listed == row.use.end() ? row.block : listed->second.reserved;
    if (bound > cell->bound.load()) cell->bound = bound;
    cell->planned = std::max(cell->planned, bound);
  }
}

std::vector<HostIncarnation> UsageLedger::ExtensionPeers(Month month) const {
  const std::lock_guard lock(table_mutex_);
  const auto found = months_.find(month);
  if (found == months_.end() || !found->second.written) return {};
  const std::vector<HostIncarnation>& named = found->second.written->peers;
  if (named.empty()) return {};
  std::set<HostIncarnation> peers(named.begin(), named.end());
  for (const auto& doubtful : found->second.in_doubt) {
    if (doubtful.empty()) return {};
    peers.insert(doubtful.begin(), doubtful.end());
  }
  return {peers.begin(), peers.end()};
}

TableCommit UsageLedger::StartWrite(Month month,
                                    const std::vector<HostIncarnation>& peers,
                                    WallTime wall) {
  UsageRow row = Snapshot(month, peers, wall);
  const std::lock_guard lock(table_mutex_);
  MonthState& state = months_[month];
  TableCommit commit;
  commit.checks.push_back({row.key(), state.version});
  commit.puts.push_back({row.key(), row.Encode()});
  state.sent = std::move(row);
  return commit;
}

void UsageLedger::Written(MonthState& state, const UsageRow& row) {
  state.written = row;
  state.in_doubt.clear();
  for (auto& [key, cell] : state.cells) {
    const auto listed = row.use.find(key);
    if (listed != row.use.end()) cell->written = listed->second.total;
    cell->written_bound =
        listed != row.use.end() ? listed->second.reserved : row.block;
  }
}

void UsageLedger::FinishWrite(Month month, const CommitResult& result) {
  std::optional<UsageRow> in_force;
  {
    const std::lock_guard lock(table_mutex_);
    MonthState& state = months_[month];
    VERIFY(state.sent.has_value());
    const UsageRow sent = *std::exchange(state.sent, std::nullopt);
    if (std::holds_alternative<Committed>(result)) {
      ++state.version;
      Written(state, sent);
      in_force = sent;
    } else if (const auto* conflict = std::get_if<CommitConflict>(&result)) {
      for (const TableRow& row : conflict->current) {
        if (row.key != sent.key()) continue;
        state.version = row.version;
        auto current = row.version > 0 ? UsageRow::Parse(row.value)
                                       : Fail(ErrorCode::kNotFound, row.key);
        // An earlier write of this incarnation whose answer was lost, or a
        // peer's copy; the next write replaces either.
        if (current && current.value().writer == host_) {
          Written(state, current.value());
          in_force = current.value();
        }
      }
    } else if (std::holds_alternative<CommitUnknown>(result)) {
      state.in_doubt.insert(sent.peers);
    }
  }
  if (in_force) Confirm(*in_force);
}

void UsageLedger::CloseMonth(Month month) {
  const std::lock_guard lock(table_mutex_);
  MonthState& state = months_[month];
  state.is_closed = true;
  state.block = 0;
  for (auto& [key, cell] : state.cells) cell->bound = 0;
}

void UsageLedger::Close() {
  for (const Month month : open_months()) CloseMonth(month);
}

bool UsageLedger::is_written() const {
  const std::vector<Month> months = open_months();
  return std::none_of(months.begin(), months.end(),
                      [this](Month month) { return NeedsWrite(month); });
}

void UsageLedger::Forget(Month month) {
  for (Stripe& stripe : stripes_) {
    const std::lock_guard lock(stripe.mutex);
    std::erase_if(stripe.cells, [month](const auto& entry) {
      return entry.first.month == month;
    });
  }
  // The cells stay allocated: a late request may still hold one.
  const std::lock_guard lock(table_mutex_);
  months_.erase(month);
}

}  // namespace dogwood
