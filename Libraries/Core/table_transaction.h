#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dogwood {

// A row of the platform's table service. `version` is 0 if the row is absent
// and increases by one with each put; `value` is JSON text.
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

// An atomic transaction: the changes apply only if all checks hold.
struct TableTransaction {
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

// The transaction was applied.
struct Committed {};

// A check failed; nothing was changed. `current` holds the current rows of the
// failed checks.
struct CommitConflict {
  std::vector<TableRow> current;
};

// The store rejected the transaction or was unreachable; nothing was changed.
struct CommitUnavailable {};

// The response was lost: the transaction may have been applied or may still be.
struct CommitOutcomeUnknown {};

using CommitResult = std::variant<Committed, CommitConflict, CommitUnavailable,
                                  CommitOutcomeUnknown>;

}  // namespace dogwood
