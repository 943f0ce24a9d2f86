#include "Libraries/Usage/usage_copies.h"

#include <algorithm>

namespace dogwood {

void UsageCopies::Merge(const UsageRow& row) {
  const auto [found, is_new] = copies_.try_emplace(row.key(), row);
  if (!is_new) found->second.Merge(row);
}

void UsageCopies::Expect(Month month, const HostIncarnation& vanished) {
  UsageRow row;
  row.month = month;
  row.host = vanished.host;
  row.incarnation = vanished.incarnation;
  copies_.try_emplace(row.key(), row);
}

std::vector<std::string> UsageCopies::Vanished(
    const LiveIncarnations& live) const {
  std::vector<std::string> keys;
  for (const auto& [key, copy] : copies_) {
    if (!live.contains({copy.host, copy.incarnation})) keys.push_back(key);
  }
  return keys;
}

std::optional<TableCommit> UsageCopies::AdoptCommit(const std::string& key,
                                                    const TableRow& current,
                                                    WallTime wall) const {
  UsageRow row = copies_.at(key);
  if (current.version == 0 && row.use.empty()) return std::nullopt;
  // Without a readable row, nobody knows which peers hold its extensions.
  std::vector<HostIncarnation> peers = row.peers;
  UsageRowState state = UsageRowState::kRunning;
  std::uint64_t sequence = row.sequence;
  std::map<UsageKey, UsageAmount> before;
  if (current.version > 0) {
    const auto stored = UsageRow::Parse(current.value);
    if (!stored || stored.value().state == UsageRowState::kClosed)
      return std::nullopt;
    peers = stored.value().peers;
    state = stored.value().state;
    sequence = std::max(sequence, stored.value().sequence);
    before = stored.value().use;
    row.Merge(stored.value());
  }
  const bool is_peer =
      std::find(peers.begin(), peers.end(), own_) != peers.end();
  if (is_peer) state = UsageRowState::kAdopted;
  if (current.version > 0 && row.use == before &&
      UsageRow::Parse(current.value).value().state == state)
    return std::nullopt;
  if (row.state != UsageRowState::kClosed) row.state = state;
  row.peers = std::move(peers);
  row.sequence = sequence;
  row.writer = own_.host;
  row.wall = wall;
  return TableCommit{{{key, current.version}}, {{key, row.Encode()}}, {}};
}

}  // namespace dogwood
