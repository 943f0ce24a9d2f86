#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Usage/usage_row.h"

namespace dogwood {

using HostIncarnationSet = std::set<HostIncarnation>;

// In-memory replicas of the usage rows of other host incarnations. If an
// incarnation vanishes before it has written its newest totals to the store, a
// host that holds a replica writes them on its behalf (adoption).
class UsageReplicas {
 public:
  explicit UsageReplicas(HostIncarnation own) : own_(std::move(own)) {}

  // Keeps the greater amount per client account and service. Amounts never
  // decrease, so messages may arrive in any order.
  void Merge(const UsageRow& row);
  // Records that this host represents `peer` for the row `key`: the peer has
  // handed over its complete replica, is stopping and confirms no further
  // reservation extensions.
  void AddRepresentedPeer(const std::string& key, const HostIncarnation& peer);
  // Returns this host and the peers it represents for the row `key`.
  std::set<HostIncarnation> RepresentedPeers(const std::string& key) const;
  std::vector<std::string> keys() const;
  std::size_t size() const { return replicas_.size(); }

  // Returns the keys of replicas whose incarnation is not in `live`.
  std::vector<std::string> KeysOfVanished(const HostIncarnationSet& live) const;
  // Returns a commit that merges the replica of a vanished incarnation into the
  // store's row `current`, or nothing if the row would not change, is closed or
  // cannot be parsed. The row becomes kAdopted, which makes its reservations
  // final, only if it names this host or a peer that this host represents: only
  // those hold every extension. Otherwise the row keeps its state.
  std::optional<TableTransaction> BuildAdoptionCommit(const std::string& key,
                                                      const TableRow& current,
                                                      WallTime wall_time) const;
  // Adds an empty replica for a vanished incarnation of which no message has
  // arrived, so that this host adopts its row. If the row names this host as a
  // peer, no extension has come into force, because each extension requires the
  // confirmation of all peers.
  void Expect(Month month, const HostIncarnation& vanished);
  bool contains(const std::string& key) const {
    return replicas_.contains(key);
  }
  const UsageRow& replica(const std::string& key) const {
    return replicas_.at(key);
  }
  void Forget(const std::string& key);

 private:
  HostIncarnation own_;
  std::map<std::string, UsageRow> replicas_;  // by row key
  // By row key; excludes this host.
  std::map<std::string, std::set<HostIncarnation>> represented_peers_;
};

}  // namespace dogwood
