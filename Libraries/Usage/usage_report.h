#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Usage/usage_copies.h"
#include "Libraries/Usage/usage_row.h"

namespace dogwood {

enum class UsageFormat { kTable, kJson, kCsv };

// Use of one service by one party in a month. The true use lies in low..high;
// both are equal when every incarnation that served the month closed its row.
struct UsageLine {
  UsageKey key;
  std::optional<std::uint64_t> agreed;  // calls in the month, if agreed
  std::uint64_t low = 0;
  std::optional<std::uint64_t> high = 0;  // none: an unbounded gap
  friend bool operator==(const UsageLine&, const UsageLine&) = default;
};

// A month's use against the agreements, with the incarnations ("events") whose
// use is known only within bounds.
class UsageReport {
 public:
  using Agreements = std::map<UsageKey, std::uint64_t>;  // calls in the month

  // `rows` are all rows under UsageRowPrefix(month). `confirmed` lists the
  // incarnations that wrote their row on request for this report. Any other
  // running row that names peers may have a greater reservation there, so it
  // leaves an unbounded gap.
  static Result<UsageReport> Build(Month month, std::span<const TableRow> rows,
                                   const Agreements& agreements,
                                   const LiveIncarnations& confirmed);

  Month month() const { return month_; }
  const std::vector<UsageLine>& lines() const { return lines_; }
  const std::vector<std::string>& events() const { return events_; }
  bool is_exact() const;

  std::string Render(UsageFormat format) const;
  // Text of the object that keeps a closed month; the same report always gives
  // the same text.
  std::string SnapshotText() const;
  static Result<UsageReport> ParseSnapshot(std::string_view text);
  // Checks a stored snapshot against the digest recorded at the close. `digest`
  // is the SHA-256 of `text`, which the caller computes.
  static Result<UsageReport> VerifySnapshot(std::string_view text,
                                            std::string_view digest,
                                            std::string_view recorded_digest);
  // Lines of `newer` that differ from this closed report: corrections by rows
  // that came after the close.
  std::vector<UsageLine> Corrections(const UsageReport& newer) const;

 private:
  Month month_;
  std::vector<UsageLine> lines_;  // by key
  std::vector<std::string> events_;
};

}  // namespace dogwood
