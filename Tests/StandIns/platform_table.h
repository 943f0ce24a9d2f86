#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Rows of the stand-in's table service, with enough history to answer reads
// from the past. No I/O and no clock.
class PlatformTable {
 public:
  // Committed or CommitConflict.
  CommitResult Commit(const TableCommit& commit, TimePoint now);

  // The row as it was at `as_of`; version 0 when it was absent.
  TableRow Read(const std::string& key, TimePoint as_of) const;

  // Up to `limit` rows present at `as_of` with the prefix and after `after`.
  std::vector<TableRow> Scan(const std::string& prefix,
                             const std::string& after, std::size_t limit,
                             TimePoint as_of) const;

  // Every key ever written with its newest row, absent rows left out.
  std::map<std::string, TableRow> Newest() const;

 private:
  struct State {
    TimePoint since;
    std::uint64_t version = 0;
    std::optional<std::string> value;  // empty when deleted
  };
  using History = std::vector<State>;

  static TableRow RowOf(const std::string& key, const History& history,
                        TimePoint as_of);
  static void Append(History& history, State state);

  std::map<std::string, History> rows_;
};

}  // namespace dogwood
