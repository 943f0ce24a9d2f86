#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// A calendar month in UTC, as year * 12 + month - 1 with January as month 1.
using Month = StrongId<struct MonthTag, std::uint32_t>;

Month MonthOf(WallTime time);
WallTime StartOfMonth(Month month);
// Formats and parses months as YYYY-MM.
std::string FormatMonth(Month month);
std::optional<Month> ParseMonth(std::string_view name);

struct UsageKey {
  ClientAccountId client_account;
  ServiceId service;
  friend bool operator==(const UsageKey&, const UsageKey&) = default;
  friend auto operator<=>(const UsageKey&, const UsageKey&) = default;
};

// The number of requests charged, and the number that may be charged in total
// before the next write. Neither decreases while the incarnation runs.
struct UsageAmount {
  std::uint64_t total = 0;
  std::uint64_t reserved = 0;
  friend bool operator==(const UsageAmount&, const UsageAmount&) = default;
};

enum class UsageRowState {
  kRunning,  // totals may still rise up to the reservations
  kClosed,   // totals are exact
  kAdopted,  // the incarnation vanished and a peer wrote its replica
};

inline constexpr EnumNames<UsageRowState, 3> kUsageRowStateNames{{{
    {UsageRowState::kRunning, "running"},
    {UsageRowState::kClosed, "closed"},
    {UsageRowState::kAdopted, "adopted"},
}}};

// One run of a host's process. State in memory does not survive a restart, so a
// restarted host is a different incarnation.
struct HostIncarnation {
  HostId host;
  Incarnation incarnation;
  friend bool operator==(const HostIncarnation&,
                         const HostIncarnation&) = default;
  friend auto operator<=>(const HostIncarnation&,
                          const HostIncarnation&) = default;
};

// The usage of one incarnation in one month. Stored under the key
// usage/MONTH/HOST/INCARNATION. Also the content of messages to peers, which
// may omit unchanged keys.
struct UsageRow {
  Month month;
  HostId host;
  Incarnation incarnation;
  UsageRowState state = UsageRowState::kRunning;
  std::uint64_t sequence = 0;  // increases with each row of the incarnation
  // Reservation of every key that is not listed in `use`.
  std::uint64_t default_reservation = 0;
  // Peers that may hold greater reservations than the store.
  std::vector<HostIncarnation> peers;
  HostId writer;
  WallTime written_at;
  std::map<UsageKey, UsageAmount> use;

  std::string key() const;
  std::string Encode() const;
  static Result<UsageRow> Parse(std::string_view json);
  // Keeps the greater of both amounts per key. If either row is closed, so is
  // the result, and its reservations equal its totals. The order of merges does
  // not matter.
  void Merge(const UsageRow& other);
};

std::string UsageRowKeyPrefix(Month month);

}  // namespace dogwood
