#include "Libraries/Usage/usage_ledger.h"

#include <algorithm>

namespace dogwood {
namespace {

constexpr std::size_t kClientAccountHashFactor = 31;
constexpr std::size_t kServiceHashFactor = 7;

// Assigns stripes to threads round-robin, on each thread's first call.
std::size_t StripeIndexOfThread(std::size_t stripes) {
  static std::atomic<std::size_t> next{0};
  thread_local const std::size_t index = next.fetch_add(1);
  return index % stripes;
}

}  // namespace

std::size_t UsageLedger::CounterKeyHash::operator()(
    const CounterKey& key) const noexcept {
  const std::hash<std::string> hash;
  return hash(key.key.client_account.value()) * kClientAccountHashFactor +
         hash(key.key.service.value()) * kServiceHashFactor + key.month.value();
}

UsageLedger::UsageLedger(HostId host, Incarnation incarnation,
                         UsageLedgerOptions options)
    : host_(std::move(host)), incarnation_(incarnation), options_(options) {}

UsageLedger::Counter& UsageLedger::FindOrCreateCounter(
    const ClientAccountId& client_account, const ServiceId& service,
    Month month) {
  LookupStripe& stripe = stripes_[StripeIndexOfThread(kStripeCount)];
  const std::lock_guard lock(stripe.mutex);
  const CounterKey key{{client_account, service}, month};
  Counter*& cached = stripe.counters[key];
  if (cached != nullptr) return *cached;
  const std::lock_guard months_lock(months_mutex_);
  MonthState& state = months_[month];
  Counter*& existing = state.counters[key.key];
  if (existing == nullptr) {
    existing = &counters_.emplace_back();
    existing->reservation = state.default_reservation;
    existing->planned_reservation = state.default_reservation;
  }
  cached = existing;
  return *cached;
}

bool UsageLedger::TryAdmit(const ClientAccountId& client_account,
                           const ServiceId& service, Month month) {
  Counter& counter = FindOrCreateCounter(client_account, service, month);
  if (counter.admitted.fetch_add(1) < counter.reservation.load()) return true;
  counter.admitted.fetch_sub(1);
  return false;
}

void UsageLedger::CancelAdmission(const ClientAccountId& client_account,
                                  const ServiceId& service, Month month) {
  FindOrCreateCounter(client_account, service, month).admitted.fetch_sub(1);
}

UsageLedger::RecordResult UsageLedger::Record(
    const ClientAccountId& client_account, const ServiceId& service,
    Month month) {
  Counter& counter = FindOrCreateCounter(client_account, service, month);
  return counter.total.fetch_add(1) < counter.reservation.load()
             ? RecordResult::kWithinReservation
             : RecordResult::kBeyondReservation;
}

void UsageLedger::Open(Month month) {
  const std::lock_guard lock(months_mutex_);
  months_.try_emplace(month);
}

std::vector<Month> UsageLedger::open_months() const {
  const std::lock_guard lock(months_mutex_);
  std::vector<Month> months;
  for (const auto& [month, state] : months_) months.push_back(month);
  return months;
}

bool UsageLedger::should_write(Month month) const {
  const std::lock_guard lock(months_mutex_);
  const auto month_entry = months_.find(month);
  if (month_entry == months_.end()) return false;
  const MonthState& state = month_entry->second;
  if (!state.stored_row) return true;
  if (state.is_closed && state.stored_row->state != UsageRowState::kClosed)
    return true;
  return std::any_of(
      state.counters.begin(), state.counters.end(), [](const auto& entry) {
        const Counter& counter = *entry.second;
        return counter.total.load() != counter.stored_total ||
               counter.reservation.load() > counter.stored_reservation;
      });
}

bool UsageLedger::is_reservation_low(Month month) const {
  const std::lock_guard lock(months_mutex_);
  const auto month_entry = months_.find(month);
  if (month_entry == months_.end() || month_entry->second.is_closed)
    return false;
  return std::any_of(
      month_entry->second.counters.begin(), month_entry->second.counters.end(),
      [this](const auto& entry) {
        const Counter& counter = *entry.second;
        const std::uint64_t used =
            std::max(counter.admitted.load(), counter.total.load());
        return used + options_.min_reservation / 4 > counter.reservation.load();
      });
}

UsageRow UsageLedger::Snapshot(Month month,
                               const std::vector<HostIncarnation>& peers,
                               WallTime wall_time) {
  const std::lock_guard lock(months_mutex_);
  MonthState& state = months_[month];
  UsageRow row;
  row.month = month;
  row.host = host_;
  row.incarnation = incarnation_;
  row.writer = host_;
  row.sequence = ++sequence_;
  row.written_at = wall_time;
  if (state.is_closed) {
    row.state = UsageRowState::kClosed;
  } else {
    row.default_reservation = options_.min_reservation;
    row.peers = peers;
  }
  for (auto& [key, counter] : state.counters) {
    const std::uint64_t total = counter->total.load();
    const std::uint64_t used = std::max(total, counter->admitted.load());
    const std::uint64_t step = std::max(
        options_.min_reservation,
        options_.reservation_growth_factor * (total - counter->previous_total));
    if (used + step / 2 > counter->planned_reservation)
      counter->planned_reservation = used + step;
    counter->previous_total = total;
    row.use[key] = {total,
                    state.is_closed ? total : counter->planned_reservation};
  }
  return row;
}

void UsageLedger::Confirm(const UsageRow& row) {
  const std::lock_guard lock(months_mutex_);
  MonthState& state = months_[row.month];
  if (state.is_closed) return;
  state.default_reservation =
      std::max(state.default_reservation, row.default_reservation);
  for (auto& [key, counter] : state.counters) {
    const auto listed = row.use.find(key);
    // The default reservation applies to keys that the row does not list.
    const std::uint64_t reservation = listed == row.use.end()
                                          ? row.default_reservation
                                          : listed->second.reserved;
    if (reservation > counter->reservation.load())
      counter->reservation = reservation;
    counter->planned_reservation =
        std::max(counter->planned_reservation, reservation);
  }
}

std::vector<HostIncarnation> UsageLedger::RequiredExtensionPeers(
    Month month) const {
  const std::lock_guard lock(months_mutex_);
  const auto month_entry = months_.find(month);
  if (month_entry == months_.end() || !month_entry->second.stored_row)
    return {};
  const std::vector<HostIncarnation>& stored_peers =
      month_entry->second.stored_row->peers;
  if (stored_peers.empty()) return {};
  std::set<HostIncarnation> peers(stored_peers.begin(), stored_peers.end());
  for (const auto& peer_set : month_entry->second.unresolved_peer_sets) {
    if (peer_set.empty()) return {};
    peers.insert(peer_set.begin(), peer_set.end());
  }
  return {peers.begin(), peers.end()};
}

TableTransaction UsageLedger::StartWrite(
    Month month, const std::vector<HostIncarnation>& peers,
    WallTime wall_time) {
  UsageRow row = Snapshot(month, peers, wall_time);
  const std::lock_guard lock(months_mutex_);
  MonthState& state = months_[month];
  TableTransaction commit;
  commit.checks.push_back({row.key(), state.row_version});
  commit.puts.push_back({row.key(), row.Encode()});
  state.in_flight_row = std::move(row);
  return commit;
}

void UsageLedger::ApplyStoredRow(MonthState& state, const UsageRow& row) {
  state.stored_row = row;
  state.unresolved_peer_sets.clear();
  for (auto& [key, counter] : state.counters) {
    const auto listed = row.use.find(key);
    if (listed != row.use.end()) counter->stored_total = listed->second.total;
    counter->stored_reservation = listed != row.use.end()
                                      ? listed->second.reserved
                                      : row.default_reservation;
  }
}

void UsageLedger::FinishWrite(Month month, const CommitResult& result) {
  std::optional<UsageRow> confirmed_row;
  {
    const std::lock_guard lock(months_mutex_);
    MonthState& state = months_[month];
    VERIFY(state.in_flight_row.has_value());
    const UsageRow in_flight_row =
        *std::exchange(state.in_flight_row, std::nullopt);
    if (std::holds_alternative<Committed>(result)) {
      ++state.row_version;
      ApplyStoredRow(state, in_flight_row);
      confirmed_row = in_flight_row;
    } else if (const auto* conflict = std::get_if<CommitConflict>(&result)) {
      for (const TableRow& row : conflict->current) {
        if (row.key != in_flight_row.key()) continue;
        state.row_version = row.version;
        auto current = row.version > 0 ? UsageRow::Parse(row.value)
                                       : Fail(ErrorCode::kNotFound, row.key);
        // The row comes from an earlier write of this incarnation whose
        // response was lost, or from a peer that wrote its replica. The
        // next write replaces either.
        if (current && current.value().writer == host_) {
          ApplyStoredRow(state, current.value());
          confirmed_row = current.value();
        }
      }
    } else if (std::holds_alternative<CommitOutcomeUnknown>(result)) {
      state.unresolved_peer_sets.insert(in_flight_row.peers);
    }
  }
  if (confirmed_row) Confirm(*confirmed_row);
}

void UsageLedger::CloseMonth(Month month) {
  const std::lock_guard lock(months_mutex_);
  MonthState& state = months_[month];
  state.is_closed = true;
  state.default_reservation = 0;
  for (auto& [key, counter] : state.counters) counter->reservation = 0;
}

void UsageLedger::Close() {
  for (const Month month : open_months()) CloseMonth(month);
}

bool UsageLedger::is_written() const {
  const std::vector<Month> months = open_months();
  return std::none_of(months.begin(), months.end(),
                      [this](Month month) { return should_write(month); });
}

void UsageLedger::Forget(Month month) {
  for (LookupStripe& stripe : stripes_) {
    const std::lock_guard lock(stripe.mutex);
    std::erase_if(stripe.counters, [month](const auto& entry) {
      return entry.first.month == month;
    });
  }
  // Counters stay allocated, because a thread that looked one up earlier may
  // still access it.
  const std::lock_guard lock(months_mutex_);
  months_.erase(month);
}

}  // namespace dogwood
