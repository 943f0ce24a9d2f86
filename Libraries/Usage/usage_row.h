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

// A calendar month in UTC: year * 12 + month - 1.
using Month = StrongId<struct MonthTag, std::uint32_t>;

Month MonthOf(WallTime time);
WallTime StartOf(Month month);
std::string MonthName(Month month);  // "2026-12"
std::optional<Month> ParseMonth(std::string_view name);

struct UsageKey {
  PartyId party;
  ServiceId service;
  friend bool operator==(const UsageKey&, const UsageKey&) = default;
  friend auto operator<=>(const UsageKey&, const UsageKey&) = default;
};

// Requests charged so far, and the number that may be charged before the next
// write. Both only rise while the incarnation runs.
struct UsageAmount {
  std::uint64_t total = 0;
  std::uint64_t reserved = 0;
  friend bool operator==(const UsageAmount&, const UsageAmount&) = default;
};

enum class UsageRowState {
  kRunning,  // its incarnation writes it
  kClosed,   // its incarnation ended; totals are exact
  kAdopted,  // its incarnation vanished and a peer wrote its newest copy
};

inline constexpr NameTable<UsageRowState, 3> kUsageRowStateNames{{{
    {UsageRowState::kRunning, "running"},
    {UsageRowState::kClosed, "closed"},
    {UsageRowState::kAdopted, "adopted"},
}}};

// One run of a host's process; a restart loses what the host held in memory.
struct HostIncarnation {
  HostId host;
  Incarnation incarnation;
  friend bool operator==(const HostIncarnation&,
                         const HostIncarnation&) = default;
  friend auto operator<=>(const HostIncarnation&,
                          const HostIncarnation&) = default;
};

// Value of a row usage/MONTH/HOST/INCARNATION, and the body of a message to
// peers, which may leave out keys that did not change.
struct UsageRow {
  Month month;
  HostId host;
  Incarnation incarnation;
  UsageRowState state = UsageRowState::kRunning;
  std::uint64_t sequence = 0;  // rises with each row of the incarnation
  // Bound of every key that is not listed.
  std::uint64_t block = 0;
  // Peers that may hold a greater reservation than the store.
  std::vector<HostIncarnation> peers;
  HostId writer;
  WallTime wall;
  std::map<UsageKey, UsageAmount> use;

  std::string key() const;
  std::string Encode() const;
  static Result<UsageRow> Parse(std::string_view json);
  // Takes the greater amounts of both; a closed row's totals are exact. The
  // order of merges does not matter.
  void Merge(const UsageRow& other);
};

std::string UsageRowPrefix(Month month);

}  // namespace dogwood
