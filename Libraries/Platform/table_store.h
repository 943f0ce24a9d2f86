#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// The platform's transactional table service. Implementations: the HTTP client
// of this library and in-memory fakes in tests. Used on the control thread.
class TableStore {
 public:
  virtual ~TableStore() = default;

  // Never waits longer than the timeout. A lost answer is CommitUnknown, never
  // CommitUnavailable.
  virtual boost::asio::awaitable<CommitResult> Commit(TableCommit commit,
                                                      Duration timeout) = 0;

  // A row with version 0 when it is absent. Fails with kUnavailable or
  // kDeadlineExceeded. A read may be answered from the past.
  virtual boost::asio::awaitable<Result<TableRow>> Read(std::string key,
                                                        Duration timeout) = 0;

  // Up to `limit` rows whose keys start with the prefix and are greater than
  // `after`, by key.
  virtual boost::asio::awaitable<Result<std::vector<TableRow>>> Scan(
      std::string prefix, std::string after, std::size_t limit,
      Duration timeout) = 0;
};

}  // namespace dogwood
