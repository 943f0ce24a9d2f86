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

// The path was changed after the version that the request is based on.
struct ChangeConflict {
  SettingsVersion version;  // of the conflicting change
  std::string path;
  nlohmann::json current;
  nlohmann::json wanted;
};

// The operation was already committed.
struct AlreadyCommitted {
  SettingsVersion version;
};

// One host's copy of the committed settings changes, and the emergency orders
// that are not committed yet. Its version never decreases.
class SettingsChangeLog {
 public:
  SettingsVersion version() const { return version_; }
  const SettingsTree& tree() const { return tree_; }
  // The newest changes, oldest first; at most kMaxRetainedChanges.
  const std::deque<SettingsChange>& changes() const { return changes_; }

  // Returns the change to commit as the next version. Fails with
  // kInvalidArgument if the resulting settings are invalid or the operation id
  // belongs to another change.
  using Prepared =
      std::variant<SettingsChange, ChangeConflict, AlreadyCommitted>;
  Result<Prepared> Prepare(const SettingsChangeRequest& request,
                           std::int64_t wall_us) const;

  // Applies the next change and returns true. Returns false for a change that
  // is already applied. Fails with kConflict if a change before it is missing.
  Result<bool> Apply(const SettingsChange& change);

  // Replaces the tree and returns true if the version is greater.
  bool ApplySnapshot(SettingsVersion version, SettingsTree tree);

  // Version of a retained change, or nullopt.
  std::optional<SettingsVersion> VersionOf(const OperationId& id) const;

  // Changes after a version, or nullopt if some of them are no longer retained.
  std::optional<std::vector<SettingsChange>> ChangesAfter(
      SettingsVersion version) const;

  // Whether all changes after the version are retained.
  bool HasChangesAfter(SettingsVersion version) const;

  // Creates an order on this host. Fails with kInvalidArgument if the path or
  // the value is not allowed and with kNotFound if the zone or server does not
  // exist.
  Result<EmergencyOrder> CreateEmergencyOrder(
      const SettingsChangeRequest& request, std::int64_t wall_us);
  // Adds an order of another host and returns whether it was new.
  bool AddEmergencyOrder(const EmergencyOrder& order);
  // Pending orders, which are neither committed nor superseded, by rank.
  std::vector<EmergencyOrder> orders() const;
  // Version of the change that supersedes the order, or nullopt.
  std::optional<SettingsVersion> FindSupersedingVersion(
      const EmergencyOrder& order) const;
  // Removes a pending order. `superseded_by` is the version that supersedes it,
  // or zero if the order was committed.
  void ResolveEmergencyOrder(const OperationId& id,
                             SettingsVersion superseded_by);
  // Superseded orders and the versions that superseded them.
  const std::map<OperationId, SettingsVersion>& superseded() const {
    return superseded_;
  }

  // The tree with the pending orders applied in the order of their rank, except
  // those that a committed change supersedes.
  SettingsTree EffectiveTree() const;

 private:
  // Half a day at 7,200 changes a day.
  static constexpr std::size_t kMaxRetainedChanges = 4096;

  // Resolves the pending order that the newest change commits, if any.
  void ResolveCommittedOrder();

  SettingsVersion version_;
  SettingsTree tree_;
  std::deque<SettingsChange> changes_;
  std::map<OperationId, SettingsVersion> operation_versions_;
  std::map<OperationId, EmergencyOrder> orders_;
  // Ids of resolved orders, so that a late copy from another host is not added
  // again.
  std::set<OperationId> resolved_orders_;
  std::map<OperationId, SettingsVersion> superseded_;
  std::uint64_t max_order_counter_ = 0;
};

}  // namespace dogwood
