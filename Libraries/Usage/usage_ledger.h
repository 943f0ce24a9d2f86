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

struct UsageLedgerOptions {
  // Requests reserved for a client account and service without usage, and the
  // smallest increase of a reservation. Each vanished incarnation widens the
  // bounds of a report line by up to this much.
  std::uint64_t min_reservation = 64;
  // An increase covers this many times the usage since the last snapshot.
  std::uint64_t reservation_growth_factor = 4;
};

// Counts the requests that this host's incarnation charges, and limits admitted
// requests to the reservations that are durable in the store or at peers.
// Record, TryAdmit and CancelAdmission are thread-safe; all other methods must
// be called from the control thread.
class UsageLedger {
 public:
  enum class RecordResult { kWithinReservation, kBeyondReservation };

  UsageLedger(HostId host, Incarnation incarnation, UsageLedgerOptions options);

  // Admits one request if the reservation in force covers it. Must be called
  // before the request is sent to a backend server, and be followed by exactly
  // one call of Record or CancelAdmission if it returns true.
  bool TryAdmit(const ClientAccountId& client_account, const ServiceId& service,
                Month month);
  // Undoes TryAdmit for a request that is not charged.
  void CancelAdmission(const ClientAccountId& client_account,
                       const ServiceId& service, Month month);
  // Charges a request that a backend server answered. The result is
  // kBeyondReservation only if TryAdmit did not admit the request.
  RecordResult Record(const ClientAccountId& client_account,
                      const ServiceId& service, Month month);

  // Opens a month. Once its first row is confirmed, every client account and
  // service has a reservation of `min_reservation`.
  void Open(Month month);
  std::vector<Month> open_months() const;
  // Returns whether the store's row is missing, or lacks a total, a reservation
  // in force or the closed state.
  bool should_write(Month month) const;
  // Returns whether less than a quarter of `min_reservation` is left of any
  // reservation in force.
  bool is_reservation_low(Month month) const;

  // Returns a row of the current totals. Raises each planned reservation of
  // which less than half an increase is left.
  UsageRow Snapshot(Month month, const std::vector<HostIncarnation>& peers,
                    WallTime wall_time);
  // Puts the reservations of a row in force. The row must be in the store, or
  // be held by all RequiredExtensionPeers.
  void Confirm(const UsageRow& row);
  // Returns the peers that must confirm an extension of reservations while the
  // store is unavailable: all peers named by any row that the store may hold.
  // Returns none, so that no extension is possible, if such a row names no
  // peer, because readers treat the reservations of that row as final.
  std::vector<HostIncarnation> RequiredExtensionPeers(Month month) const;

  // Returns the commit that writes the month's row; FinishWrite must follow
  // before the next write of the month. The commit checks the row's version, so
  // a delayed write cannot overwrite a newer one.
  TableTransaction StartWrite(Month month,
                              const std::vector<HostIncarnation>& peers,
                              WallTime wall_time);
  void FinishWrite(Month month, const CommitResult& result);
  // Closes a month once none of its requests is in flight: admits no more
  // requests, and marks the totals of later snapshots as exact. A later Record
  // appears as a correction.
  void CloseMonth(Month month);
  // Closes all months, for a planned stop.
  void Close();
  // Returns whether all totals are in the store, as closed rows after Close.
  bool is_written() const;
  // Removes a month whose row is in the store and which receives no more
  // records.
  void Forget(Month month);

 private:
  struct Counter {
    std::atomic<std::uint64_t> admitted{0};
    std::atomic<std::uint64_t> total{0};
    std::atomic<std::uint64_t> reservation{0};  // in force
    // Accessed by the control thread only.
    std::uint64_t planned_reservation = 0;  // greatest in any snapshot
    std::uint64_t previous_total = 0;       // total in the last snapshot
    std::uint64_t stored_total = 0;         // as last stored
    std::uint64_t stored_reservation = 0;   // as last stored
  };
  struct CounterKey {
    UsageKey key;
    Month month;
    friend bool operator==(const CounterKey&, const CounterKey&) = default;
  };
  struct CounterKeyHash {
    std::size_t operator()(const CounterKey& key) const noexcept;
  };
  // Index of the shared counters. Threads are spread over the stripes, so that
  // lookups rarely contend for a lock.
  struct LookupStripe {
    LookupStripe() : mutex(LockRank::kUsage) {}
    RankedMutex mutex;
    std::unordered_map<CounterKey, Counter*, CounterKeyHash> counters;
  };
  struct MonthState {
    std::uint64_t row_version = 0;       // of the store's row
    std::optional<UsageRow> stored_row;  // as last confirmed by the store
    // Peers named by writes whose outcome is unknown.
    std::set<std::vector<HostIncarnation>> unresolved_peer_sets;
    std::optional<UsageRow> in_flight_row;
    std::uint64_t default_reservation = 0;  // in force for new counters
    bool is_closed = false;
    std::map<UsageKey, Counter*> counters;
  };

  Counter& FindOrCreateCounter(const ClientAccountId& client_account,
                               const ServiceId& service, Month month);
  void ApplyStoredRow(MonthState& state, const UsageRow& row);

  static constexpr std::size_t kStripeCount = 16;

  HostId host_;
  Incarnation incarnation_;
  UsageLedgerOptions options_;
  std::array<LookupStripe, kStripeCount> stripes_;
  mutable std::mutex months_mutex_;  // locked after a stripe's mutex
  std::deque<Counter> counters_;
  std::map<Month, MonthState> months_;
  std::uint64_t sequence_ = 0;
};

}  // namespace dogwood
