#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dogwood {

// A row of the platform's table service. `version` is 0 when the row is absent
// and rises by one with each put; `value` is JSON text.
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

// One transaction: all checks hold and all changes apply, or nothing changes.
struct TableCommit {
  struct Check {
    std::string key;
    std::uint64_t version = 0;  // required current version; 0 requires absence
  };
  struct Put {
    std::string key;
    std::string value;
  };

  std::vector<Check> checks;
  std::vector<Put> puts;
  std::vector<std::string> deletes;  // keys
};

// The transaction took effect.
struct Committed {};

// A check failed and nothing changed. Holds the current rows of the failed
// checks.
struct CommitConflict {
  std::vector<TableRow> current;
};

// The store refused or could not be reached before the transaction was sent;
// nothing changed.
struct CommitUnavailable {};

// The answer was lost: the transaction may or may not have taken effect, now or
// a little later.
struct CommitUnknown {};

using CommitResult =
    std::variant<Committed, CommitConflict, CommitUnavailable, CommitUnknown>;

}  // namespace dogwood
