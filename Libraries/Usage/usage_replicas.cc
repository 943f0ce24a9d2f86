#include "Libraries/Usage/usage_replicas.h"

#include <algorithm>

namespace dogwood {

void UsageReplicas::Merge(const UsageRow& row) {
  const auto [entry, is_inserted] = replicas_.try_emplace(row.key(), row);
  if (!is_inserted) entry->second.Merge(row);
}

void UsageReplicas::AddRepresentedPeer(const std::string& key,
                                       const HostIncarnation& peer) {
  represented_peers_[key].insert(peer);
}

std::set<HostIncarnation> UsageReplicas::RepresentedPeers(
    const std::string& key) const {
  const auto entry = represented_peers_.find(key);
  std::set<HostIncarnation> peers;
  if (entry != represented_peers_.end()) peers = entry->second;
  peers.insert(own_);
  return peers;
}

std::vector<std::string> UsageReplicas::keys() const {
  std::vector<std::string> keys;
  keys.reserve(replicas_.size());
  for (const auto& [key, replica] : replicas_) keys.push_back(key);
  return keys;
}

void UsageReplicas::Forget(const std::string& key) {
  replicas_.erase(key);
  represented_peers_.erase(key);
}

void UsageReplicas::Expect(Month month, const HostIncarnation& vanished) {
  UsageRow row;
  row.month = month;
  row.host = vanished.host;
  row.incarnation = vanished.incarnation;
  replicas_.try_emplace(row.key(), row);
}

std::vector<std::string> UsageReplicas::KeysOfVanished(
    const HostIncarnationSet& live) const {
  std::vector<std::string> keys;
  for (const auto& [key, replica] : replicas_) {
    if (!live.contains({replica.host, replica.incarnation}))
      keys.push_back(key);
  }
  return keys;
}

std::optional<TableTransaction> UsageReplicas::BuildAdoptionCommit(
    const std::string& key, const TableRow& current, WallTime wall_time) const {
  UsageRow row = replicas_.at(key);
  if (current.version == 0 && row.use.empty()) return std::nullopt;
  // If the store has no row, the replica's list of peers applies. An unreadable
  // row is not replaced, because the peers that hold its extensions are
  // unknown.
  std::vector<HostIncarnation> peers = row.peers;
  UsageRowState state = UsageRowState::kRunning;
  std::uint64_t sequence = row.sequence;
  std::map<UsageKey, UsageAmount> stored_use;
  if (current.version > 0) {
    const auto stored = UsageRow::Parse(current.value);
    if (!stored || stored.value().state == UsageRowState::kClosed)
      return std::nullopt;
    peers = stored.value().peers;
    state = stored.value().state;
    sequence = std::max(sequence, stored.value().sequence);
    stored_use = stored.value().use;
    row.Merge(stored.value());
  }
  const std::set<HostIncarnation> represented = RepresentedPeers(key);
  const bool has_all_extensions = std::any_of(
      peers.begin(), peers.end(), [&represented](const HostIncarnation& peer) {
        return represented.contains(peer);
      });
  if (has_all_extensions) state = UsageRowState::kAdopted;
  if (current.version > 0 && row.use == stored_use &&
      UsageRow::Parse(current.value).value().state == state)
    return std::nullopt;
  if (row.state != UsageRowState::kClosed) row.state = state;
  row.peers = std::move(peers);
  row.sequence = sequence;
  row.writer = own_.host;
  row.written_at = wall_time;
  return TableTransaction{{{key, current.version}}, {{key, row.Encode()}}, {}};
}

}  // namespace dogwood
