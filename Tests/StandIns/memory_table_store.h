#pragma once

#include <utility>
#include <vector>

#include "Libraries/Platform/table_store.h"
#include "Tests/StandIns/versioned_table.h"

namespace dogwood {

// In-memory TableStore for tests, with injected faults of the platform. The
// test sets the time.
class MemoryTableStore : public TableStore {
 public:
  enum class CommitFault {
    kNone,
    kUnavailable,                // refused, not committed
    kResponseLostAfterCommit,    // committed, response lost
    kResponseLostWithoutCommit,  // not committed, response lost
    // The response is lost; ApplyDelayedCommits() commits.
    kResponseLostDelayedCommit,
  };

  boost::asio::awaitable<CommitResult> Commit(TableTransaction commit,
                                              Duration) override {
    ++commit_count;
    if (is_down) co_return CommitUnavailable{};
    switch (std::exchange(next_commit_fault, CommitFault::kNone)) {
      case CommitFault::kUnavailable:
        co_return CommitUnavailable{};
      case CommitFault::kResponseLostAfterCommit:
        (void)table.Commit(commit, now);
        co_return CommitOutcomeUnknown{};
      case CommitFault::kResponseLostWithoutCommit:
        co_return CommitOutcomeUnknown{};
      case CommitFault::kResponseLostDelayedCommit:
        delayed_commits.push_back(std::move(commit));
        co_return CommitOutcomeUnknown{};
      case CommitFault::kNone:
        break;
    }
    co_return table.Commit(commit, now);
  }

  boost::asio::awaitable<Result<TableRow>> Read(std::string key,
                                                Duration) override {
    ++read_count;
    if (is_down)
      co_return Fail(ErrorCode::kUnavailable, "the table store is unavailable");
    co_return table.Read(key, now - read_staleness);
  }

  boost::asio::awaitable<Result<std::vector<TableRow>>> Scan(
      std::string prefix, std::string after, std::size_t limit,
      Duration) override {
    ++read_count;
    if (is_down)
      co_return Fail(ErrorCode::kUnavailable, "the table store is unavailable");
    co_return table.Scan(prefix, after, limit, now - read_staleness);
  }

  // Applies delayed commits. Those whose checks no longer hold have no effect.
  void ApplyDelayedCommits() {
    for (const TableTransaction& commit : std::exchange(delayed_commits, {}))
      (void)table.Commit(commit, now);
  }

  VersionedTable table;
  std::vector<TableTransaction> delayed_commits;
  TimePoint now{std::chrono::hours(1)};
  bool is_down = false;
  Duration read_staleness{};
  // Of the next commit only.
  CommitFault next_commit_fault = CommitFault::kNone;
  std::uint64_t commit_count = 0;
  std::uint64_t read_count = 0;
};

}  // namespace dogwood
