#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// In-memory table with versioned rows, which keeps 60 s of history to answer
// stale reads. Does no I/O and reads no clock.
class VersionedTable {
 public:
  // Returns Committed or CommitConflict.
  CommitResult Commit(const TableTransaction& commit, TimePoint now);

  // Returns the row as of a point in time; version 0 if it was absent.
  TableRow Read(const std::string& key, TimePoint as_of) const;

  // Returns up to `limit` rows that existed at `as_of`, whose keys start with
  // `prefix` and are greater than `after`, in key order.
  std::vector<TableRow> Scan(const std::string& prefix,
                             const std::string& after, std::size_t limit,
                             TimePoint as_of) const;

  // Returns the newest state of every row that exists.
  std::map<std::string, TableRow> Newest() const;

 private:
  struct State {
    TimePoint since;
    std::uint64_t version = 0;
    std::optional<std::string> value;  // nullopt if deleted
  };
  using History = std::vector<State>;

  static TableRow RowOf(const std::string& key, const History& history,
                        TimePoint as_of);
  static void Append(History& history, State state);

  std::map<std::string, History> rows_;
};

}  // namespace dogwood
