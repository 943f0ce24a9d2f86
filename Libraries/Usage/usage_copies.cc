#include "Libraries/Usage/usage_copies.h"

#include <algorithm>

namespace dogwood {

void UsageCopies::Merge(const UsageRow& row) {
  const auto [found, is_new] = copies_.try_emplace(row.key(), row);
  if (!is_new) found->second.Merge(row);
}

void UsageCopies::StandFor(const std::string& key,
                           const HostIncarnation& peer) {
  stands_for_[key].insert(peer);
}

std::set<HostIncarnation> UsageCopies::StandsFor(const std::string& key) const {
  const auto found = stands_for_.find(key);
  std::set<HostIncarnation> peers;
  if (found != stands_for_.end()) peers = found->second;
  peers.insert(own_);
  return peers;
}

std::vector<std::string> UsageCopies::keys() const {
  std::vector<std::string> list;
  list.reserve(copies_.size());
  for (const auto& [key, copy] : copies_) list.push_back(key);
  return list;
}

void UsageCopies::Forget(const std::string& key) {
  copies_.erase(key);
  stands_for_.erase(key);
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
  const std::set<HostIncarnation> stands_for = StandsFor(key);
  const bool is_peer = std::any_of(peers.begin(), peers.end(),
                                   [&stands_for](const HostIncarnation& peer) {
                                     return stands_for.contains(peer);
                                   });
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
