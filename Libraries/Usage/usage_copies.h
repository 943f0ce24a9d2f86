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

using LiveIncarnations = std::set<HostIncarnation>;

// Newest totals of other hosts' incarnations, kept in memory for the case that
// one vanishes before it wrote them.
class UsageCopies {
 public:
  explicit UsageCopies(HostIncarnation own) : own_(std::move(own)) {}

  // Newest wins per party and service: amounts only rise.
  void Merge(const UsageRow& row);
  // From now on this host stands for a peer that handed its whole copy over
  // before it stopped, and that confirms no extension any more.
  void StandFor(const std::string& key, const HostIncarnation& peer);
  // This host and the peers it stands for.
  std::set<HostIncarnation> StandsFor(const std::string& key) const;
  std::vector<std::string> keys() const;
  std::size_t size() const { return copies_.size(); }

  // Keys of copies whose incarnation is not alive.
  std::vector<std::string> Vanished(const LiveIncarnations& live) const;
  // The final write for a vanished incarnation on top of the store's row;
  // nothing when the row already holds all of the copy. The reservation is
  // final only if the store's row names this host, or a peer it stands for, as
  // only those hold every extension; otherwise totals alone are raised.
  std::optional<TableCommit> AdoptCommit(const std::string& key,
                                         const TableRow& current,
                                         WallTime wall) const;
  // Takes part in the adoption of a row although no copy of it has arrived. The
  // host may be one of its peers; then no extension has come into force.
  void Expect(Month month, const HostIncarnation& vanished);
  bool contains(const std::string& key) const { return copies_.contains(key); }
  const UsageRow& copy(const std::string& key) const { return copies_.at(key); }
  void Forget(const std::string& key);

 private:
  HostIncarnation own_;
  std::map<std::string, UsageRow> copies_;  // by row key
  std::map<std::string, std::set<HostIncarnation>> stands_for_;
};

}  // namespace dogwood
