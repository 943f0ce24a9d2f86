#include "Tests/StandIns/versioned_table.h"

#include <algorithm>

namespace dogwood {
namespace {

// Oldest point in time that reads may ask for; older states are discarded.
constexpr Duration kHistoryRetention = std::chrono::seconds(60);

}  // namespace

CommitResult VersionedTable::Commit(const TableTransaction& commit,
                                    TimePoint now) {
  CommitConflict conflict;
  for (const TableTransaction::Check& check : commit.checks) {
    TableRow row = Read(check.key, now);
    if (row.version != check.version)
      conflict.current.push_back(std::move(row));
  }
  if (!conflict.current.empty()) return conflict;
  for (const TableTransaction::Put& put : commit.puts) {
    History& history = rows_[put.key];
    const std::uint64_t last = history.empty() ? 0 : history.back().version;
    Append(history, {now, last + 1, put.value});
  }
  for (const std::string& key : commit.deletes) {
    const auto found = rows_.find(key);
    if (found == rows_.end()) continue;
    // Keep the version so that a later put does not reuse it.
    Append(found->second, {now, found->second.back().version, std::nullopt});
  }
  return Committed{};
}

TableRow VersionedTable::Read(const std::string& key, TimePoint as_of) const {
  const auto found = rows_.find(key);
  if (found == rows_.end()) return {.key = key};
  return RowOf(key, found->second, as_of);
}

std::vector<TableRow> VersionedTable::Scan(const std::string& prefix,
                                           const std::string& after,
                                           std::size_t limit,
                                           TimePoint as_of) const {
  std::vector<TableRow> found;
  for (auto row = rows_.lower_bound(prefix);
       row != rows_.end() && row->first.starts_with(prefix) &&
       found.size() < limit;
       ++row) {
    if (row->first <= after) continue;
    TableRow state = RowOf(row->first, row->second, as_of);
    if (state.version != 0) found.push_back(std::move(state));
  }
  return found;
}

std::map<std::string, TableRow> VersionedTable::Newest() const {
  std::map<std::string, TableRow> newest;
  for (const auto& [key, history] : rows_) {
    TableRow row = RowOf(key, history, TimePoint::max());
    if (row.version != 0) newest.emplace(key, std::move(row));
  }
  return newest;
}

TableRow VersionedTable::RowOf(const std::string& key, const History& history,
                               TimePoint as_of) {
  for (auto state = history.rbegin(); state != history.rend(); ++state) {
    if (state->since > as_of) continue;
    if (!state->value) break;
    return {key, state->version, *state->value};
  }
  return {.key = key};
}

void VersionedTable::Append(History& history, State state) {
  const TimePoint oldest = state.since - kHistoryRetention;
  history.push_back(std::move(state));
  // Keep the newest state at or before `oldest`, which reads at `oldest`
  // return.
  const auto first_kept = std::find_if(
      history.begin() + 1, history.end(),
      [oldest](const State& candidate) { return candidate.since > oldest; });
  history.erase(history.begin(), first_kept - 1);
}

}  // namespace dogwood
