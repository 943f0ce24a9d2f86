#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Usage/usage_row.h"

namespace dogwood {

struct UsageOptions {
  // Reservation of a party and service that was not seen before, and the
  // smallest step by which reservations rise. Each vanished incarnation widens
  // the report's bounds by up to this much.
  std::uint64_t block = 64;
  // A reservation covers this many times the use since the write before.
  std::uint64_t growth_factor = 4;
};

// Running totals of this host's incarnation. Record, TryAdmit and Withdraw are
// called from any thread; everything else from the control thread.
class UsageLedger {
 public:
  enum class Recorded { kWithinReservation, kBeyondReservation };

  UsageLedger(HostId host, Incarnation incarnation, UsageOptions options);

  // Whether the reservation in force covers one more request. Called before
  // the request is handed over; followed by one Record or Withdraw.
  bool TryAdmit(const PartyId& party, const ServiceId& service, Month month);
  // The admitted request is not charged.
  void Withdraw(const PartyId& party, const ServiceId& service, Month month);
  // Charges a request that a backend server answered. Beyond the reservation
  // only if the request was not admitted by TryAdmit.
  Recorded Record(const PartyId& party, const ServiceId& service, Month month);

  // Opens a month: from its first confirmed row on, every party and service
  // has a reservation of `block`.
  void Open(Month month);
  std::vector<Month> open_months() const;
  // Whether the store lacks a total or a reservation in force.
  bool NeedsWrite(Month month) const;
  // Whether less than a quarter block of some reservation in force is left.
  bool is_reservation_low(Month month) const;

  // Current totals, with reservations raised where they are half used.
  UsageRow Snapshot(Month month, const std::vector<HostIncarnation>& peers,
                    WallTime wall);
  // Puts the reservations of a row in force: it is in the store, or held by
  // every peer that the store's row or a write in doubt names.
  void Confirm(const UsageRow& row);
  // Peers whose confirmation an extension needs while the store is down: all
  // that any row the store may hold names. None when a row that it may hold
  // names no peer, as readers then take that row's reservations as final.
  std::vector<HostIncarnation> ExtensionPeers(Month month) const;

  // One write is under way per month. The check of the row's version keeps a
  // late write from replacing a newer one.
  TableCommit StartWrite(Month month, const std::vector<HostIncarnation>& peers,
                         WallTime wall);
  void FinishWrite(Month month, const CommitResult& result);
  // No request of the month is in work any more: admits none, and writes exact
  // totals from now on. A later Record shows as a correction.
  void CloseMonth(Month month);
  // Planned stop: closes all months.
  void Close();
  // All totals are in the store, as closed rows after Close.
  bool is_written() const;
  // Drops a month whose row is written and that receives no use any more.
  void Forget(Month month);

 private:
  struct Cell {
    std::atomic<std::uint64_t> admitted{0};
    std::atomic<std::uint64_t> total{0};
    std::atomic<std::uint64_t> bound{0};  // in force
    // Control thread only.
    std::uint64_t planned = 0;        // greatest reservation of any snapshot
    std::uint64_t previous = 0;       // total of the snapshot before
    std::uint64_t written = 0;        // total in the store
    std::uint64_t written_bound = 0;  // reservation in the store
  };
  struct CellKey {
    UsageKey key;
    Month month;
    friend bool operator==(const CellKey&, const CellKey&) = default;
  };
  struct CellKeyHash {
    std::size_t operator()(const CellKey& key) const noexcept;
  };
  // Each thread finds cells through its own stripe, so that lookups of
  // different threads share no lock; the counters themselves are shared.
  struct Stripe {
    Stripe() : mutex(LockRank::kUsage) {}
    RankedMutex mutex;
    std::unordered_map<CellKey, Cell*, CellKeyHash> cells;
  };
  struct MonthState {
    std::uint64_t version = 0;        // of the row in the store
    std::optional<UsageRow> written;  // as last confirmed by the store
    // Peers named by writes whose answer was lost.
    std::set<std::vector<HostIncarnation>> in_doubt;
    std::optional<UsageRow> sent;
    std::uint64_t block = 0;  // in force for cells to come
    bool is_closed = false;
    std::map<UsageKey, Cell*> cells;
  };

  Cell& CellOf(const PartyId& party, const ServiceId& service, Month month);
  void Written(MonthState& state, const UsageRow& row);

  static constexpr std::size_t kStripes = 16;

  HostId host_;
  Incarnation incarnation_;
  UsageOptions options_;
  std::array<Stripe, kStripes> stripes_;
  mutable std::mutex table_mutex_;  // taken after a stripe's lock
  std::deque<Cell> cells_;
  std::map<Month, MonthState> months_;
  std::uint64_t sequence_ = 0;
};

}  // namespace dogwood
