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
  enum class Fate {
    kNormal,
    kUnavailable,        // refused, not committed
    kLostAfterEffect,    // committed, response lost
    kLostWithoutEffect,  // not committed, response lost
    kLostLateEffect,     // response lost, committed by ApplyLate
  };

  boost::asio::awaitable<CommitResult> Commit(TableCommit commit,
                                              Duration) override {
    ++commit_count;
    if (is_down) co_return CommitUnavailable{};
    switch (std::exchange(next_fate, Fate::kNormal)) {
      case Fate::kUnavailable:
        co_return CommitUnavailable{};
      case Fate::kLostAfterEffect:
        (void)table.Commit(commit, now);
        co_return CommitUnknown{};
      case Fate::kLostWithoutEffect:
        co_return CommitUnknown{};
      case Fate::kLostLateEffect:
        late.push_back(std::move(commit));
        co_return CommitUnknown{};
      case Fate::kNormal:
        break;
    }
    co_return table.Commit(commit, now);
  }

  boost::asio::awaitable<Result<TableRow>> Read(std::string key,
                                                Duration) override {
    ++read_count;
    if (is_down)
      co_return Fail(ErrorCode::kUnavailable, "the table store is unavailable");
    co_return table.Read(key, now - stale_reads);
  }

  boost::asio::awaitable<Result<std::vector<TableRow>>> Scan(
      std::string prefix, std::string after, std::size_t limit,
      Duration) override {
    ++read_count;
    if (is_down)
      co_return Fail(ErrorCode::kUnavailable, "the table store is unavailable");
    co_return table.Scan(prefix, after, limit, now - stale_reads);
  }

  // Applies delayed commits. Those whose checks no longer hold have no effect.
  void ApplyLate() {
    for (const TableCommit& commit : std::exchange(late, {}))
      (void)table.Commit(commit, now);
  }

  VersionedTable table;
  std::vector<TableCommit> late;
  TimePoint now{std::chrono::hours(1)};
  bool is_down = false;
  Duration stale_reads{};
  Fate next_fate = Fate::kNormal;  // of the next commit only
  std::uint64_t commit_count = 0;
  std::uint64_t read_count = 0;
};

}  // namespace dogwood
