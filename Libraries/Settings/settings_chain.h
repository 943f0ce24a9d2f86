#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Settings/settings_change.h"
#include "Libraries/Settings/settings_tree.h"

namespace dogwood {

// Another operator changed the same path since the version the request was
// based on.
struct ChangeConflict {
  SettingsVersion version;  // that changed it
  std::string path;
  nlohmann::json current;
  nlohmann::json wanted;
};

// The operation was accepted before.
struct AlreadyAccepted {
  SettingsVersion version;
};

// The chain of accepted changes as one host knows it, and the emergency orders
// that are not yet in it. Its version never falls.
class SettingsChain {
 public:
  SettingsVersion version() const { return version_; }
  const SettingsTree& tree() const { return tree_; }
  // The newest changes, oldest first; at most kKeptChanges.
  const std::deque<SettingsChange>& changes() const { return changes_; }

  // The change to commit as the next version. Fails with kInvalidArgument when
  // the result is not valid or the operation id belongs to another change.
  using Prepared =
      std::variant<SettingsChange, ChangeConflict, AlreadyAccepted>;
  Result<Prepared> Prepare(const ChangeRequest& request,
                           std::int64_t wall_us) const;

  // Applies the next change and returns whether it was new; an older one is
  // ignored. Fails with kConflict when changes before it are missing.
  Result<bool> Apply(const SettingsChange& change);

  // Replaces the tree by that of a greater version; ignores others.
  bool ApplySnapshot(SettingsVersion version, SettingsTree tree);

  // Version of a kept change, or nullopt.
  std::optional<SettingsVersion> VersionOf(const OperationId& id) const;

  // Kept changes after a version; nullopt when older ones are needed.
  std::optional<std::vector<SettingsChange>> ChangesAfter(
      SettingsVersion version) const;

  // Whether all changes after the version are kept.
  bool has_changes_since(SettingsVersion version) const;

  // Accepts an order on this host. Fails with kInvalidArgument for other paths
  // and values and with kNotFound for an unknown subject.
  Result<EmergencyOrder> GiveOrder(const ChangeRequest& request,
                                   std::int64_t wall_us);
  // Merges an order of another host; returns whether it was new.
  bool MergeOrder(const EmergencyOrder& order);
  // Orders that are neither in the chain nor superseded, least rank first.
  std::vector<EmergencyOrder> orders() const;
  // Version of the later change that supersedes the order, or nullopt.
  std::optional<SettingsVersion> SupersededBy(
      const EmergencyOrder& order) const;
  // Ends an order and records by which version it was superseded; zero when it
  // became part of the chain.
  void ResolveOrder(const OperationId& id, SettingsVersion superseded_by);
  // Superseded orders and the versions that superseded them.
  const std::map<OperationId, SettingsVersion>& superseded() const {
    return superseded_;
  }

  // The tree with pending orders applied in rank order; superseded ones are
  // left out.
  SettingsTree EffectiveTree() const;

 private:
  static constexpr std::size_t kKeptChanges =
      4096;  // half a day at 7,200 a day

  void DropWrittenOrders();

  SettingsVersion version_;
  SettingsTree tree_;
  std::deque<SettingsChange> changes_;
  std::map<OperationId, SettingsVersion> operations_;
  std::map<OperationId, EmergencyOrder> orders_;
  // Ids of ended orders, so that a late copy does not start them again.
  std::set<OperationId> resolved_;
  std::map<OperationId, SettingsVersion> superseded_;
  std::uint64_t greatest_counter_ = 0;
};

}  // namespace dogwood
