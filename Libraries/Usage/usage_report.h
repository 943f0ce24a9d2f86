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
#include "Libraries/Usage/usage_replicas.h"
#include "Libraries/Usage/usage_row.h"

namespace dogwood {

enum class UsageReportFormat { kTable, kJson, kCsv };

// Requests charged to one client account for one service in a month. The exact
// number lies in [low, high]; both bounds are equal if every incarnation that
// charged requests in the month has closed its row.
struct UsageReportLine {
  UsageKey key;
  std::optional<std::uint64_t> agreed_calls;  // per month, if any
  std::uint64_t low = 0;
  std::optional<std::uint64_t> high = 0;  // none if unbounded
  friend bool operator==(const UsageReportLine&,
                         const UsageReportLine&) = default;
};

// Compares the usage of a month with the agreed number of calls. Also lists the
// host incarnations whose usage is not known exactly.
class UsageReport {
 public:
  using Agreements = std::map<UsageKey, std::uint64_t>;  // calls per month

  // Builds a report from all `rows` under UsageRowKeyPrefix(month). `confirmed`
  // contains the incarnations that wrote their row on request for this report.
  // Any other running row that names peers makes all lines unbounded, because
  // its peers may hold a greater reservation.
  static Result<UsageReport> Build(Month month, std::span<const TableRow> rows,
                                   const Agreements& agreements,
                                   const HostIncarnationSet& confirmed);

  Month month() const { return month_; }
  const std::vector<UsageReportLine>& lines() const { return lines_; }
  const std::vector<std::string>& inexact_incarnations() const {
    return inexact_incarnations_;
  }
  bool is_exact() const;

  std::string Render(UsageReportFormat format) const;
  // Returns the canonical JSON text that is stored for a closed month. Equal
  // reports give equal texts.
  std::string EncodeSnapshot() const;
  static Result<UsageReport> ParseSnapshot(std::string_view text);
  // Parses a stored snapshot after checking that it is unchanged since the
  // month was closed. `digest` is the SHA-256 of `text`.
  static Result<UsageReport> VerifySnapshot(std::string_view text,
                                            std::string_view digest,
                                            std::string_view recorded_digest);
  // Returns the lines of `newer` that differ from this report of a closed
  // month, because rows were written after it was closed.
  std::vector<UsageReportLine> Corrections(const UsageReport& newer) const;

 private:
  Month month_;
  std::vector<UsageReportLine> lines_;             // by key
  std::vector<std::string> inexact_incarnations_;  // one description each
};

}  // namespace dogwood
