#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Interface of the platform's transactional table service, implemented by
// HttpTableStore and by in-memory fakes in tests. Must be used on the control
// thread.
class TableStore {
 public:
  virtual ~TableStore() = default;

  // Returns within the timeout. A lost response is CommitOutcomeUnknown, never
  // CommitUnavailable.
  virtual boost::asio::awaitable<CommitResult> Commit(TableTransaction commit,
                                                      Duration timeout) = 0;

  // Returns the row, with version 0 when it is absent. The row may be stale.
  // Fails with kUnavailable or kDeadlineExceeded.
  virtual boost::asio::awaitable<Result<TableRow>> Read(std::string key,
                                                        Duration timeout) = 0;

  // Returns up to `limit` rows whose keys start with `prefix` and are greater
  // than `after`, in ascending order of their keys.
  virtual boost::asio::awaitable<Result<std::vector<TableRow>>> Scan(
      std::string prefix, std::string after, std::size_t limit,
      Duration timeout) = 0;
};

}  // namespace dogwood
