#include "Libraries/Settings/settings_change_log.h"

#include <algorithm>

#include "Libraries/Core/verify.h"
#include "Libraries/Settings/setting_definitions.h"

namespace dogwood {

using Json = nlohmann::json;

Result<SettingsChangeLog::Prepared> SettingsChangeLog::Prepare(
    const SettingsChangeRequest& request, std::int64_t wall_us) const {
  if (const auto version = VersionOf(request.id)) {
    const auto& earlier =
        changes_[changes_.size() - 1 - (version_.value() - version->value())];
    if (earlier.path == request.path && earlier.value == request.value)
      return Prepared(AlreadyCommitted{*version});
    return Fail(ErrorCode::kInvalidArgument,
                "operation " + request.id.value() +
                    " was already used to change " + earlier.path);
  }
  for (auto change = changes_.rbegin();
       change != changes_.rend() && change->version > request.base; ++change) {
    if (!PathsOverlap(change->path, request.path)) continue;
    return Prepared(ChangeConflict{change->version, change->path,
                                   tree_.At(request.path), request.value});
  }
  // Some changes since the base are no longer retained, so a conflict cannot be
  // ruled out.
  if (!HasChangesAfter(request.base)) {
    return Prepared(ChangeConflict{version_, request.path,
                                   tree_.At(request.path), request.value});
  }
  SettingsTree wanted = tree_;
  wanted.Set(request.path, request.value);
  TRY(wanted.Validate("settings"));
  SettingsChange change;
  change.version = SettingsVersion(version_.value() + 1);
  change.id = request.id;
  change.path = request.path;
  change.value = request.value;
  change.previous = tree_.At(request.path);
  change.author = request.author;
  change.wall_us = wall_us;
  return Prepared(std::move(change));
}

Result<bool> SettingsChangeLog::Apply(const SettingsChange& change) {
  if (change.version <= version_) return false;
  if (change.version.value() != version_.value() + 1) {
    return Fail(ErrorCode::kConflict,
                "settings version " + std::to_string(change.version.value()) +
                    " does not follow version " +
                    std::to_string(version_.value()));
  }
  tree_.Set(change.path, change.value);
  version_ = change.version;
  operation_versions_[change.id] = change.version;
  changes_.push_back(change);
  if (changes_.size() > kMaxRetainedChanges) {
    operation_versions_.erase(changes_.front().id);
    changes_.pop_front();
  }
  if (change.order)
    max_order_counter_ = std::max(max_order_counter_, change.order->counter);
  ResolveCommittedOrder();
  return true;
}

bool SettingsChangeLog::ApplySnapshot(SettingsVersion version,
                                      SettingsTree tree) {
  if (version <= version_) return false;
  version_ = version;
  tree_ = std::move(tree);
  changes_.clear();
  operation_versions_.clear();
  return true;
}

std::optional<SettingsVersion> SettingsChangeLog::VersionOf(
    const OperationId& id) const {
  const auto found = operation_versions_.find(id);
  if (found == operation_versions_.end()) return std::nullopt;
  return found->second;
}

std::optional<std::vector<SettingsChange>> SettingsChangeLog::ChangesAfter(
    SettingsVersion version) const {
  if (version >= version_) return std::vector<SettingsChange>();
  const std::uint64_t missing = version_.value() - version.value();
  if (missing > changes_.size()) return std::nullopt;
  return std::vector<SettingsChange>(
      changes_.end() - static_cast<std::ptrdiff_t>(missing), changes_.end());
}

Result<EmergencyOrder> SettingsChangeLog::CreateEmergencyOrder(
    const SettingsChangeRequest& request, std::int64_t wall_us) {
  if (!IsEmergencyPath(request.path)) {
    return Fail(ErrorCode::kInvalidArgument,
                request.path +
                    ": while the store is unavailable, only the state of an "
                    "availability zone or of a backend server can be changed");
  }
  const SettingDefinition* definition = FleetSchema().Find(request.path);
  if (definition == nullptr)
    return Fail(ErrorCode::kInvalidArgument, request.path + ": unknown key");
  TRY(SettingsSchema::ValidateValue(*definition, request.value, request.path,
                                    "order"));
  const std::string subject = request.path.substr(0, request.path.rfind('.'));
  if (!tree_.At(subject).is_object())
    return Fail(ErrorCode::kNotFound, subject + " does not exist");
  if (const auto found = orders_.find(request.id); found != orders_.end()) {
    if (found->second.path == request.path &&
        found->second.value == request.value)
      return found->second;
    return Fail(ErrorCode::kInvalidArgument,
                "operation " + request.id.value() +
                    " was already used for an order on " + found->second.path);
  }
  EmergencyOrder order;
  order.rank = {version_, max_order_counter_ + 1, request.id};
  order.path = request.path;
  order.value = request.value;
  order.author = request.author;
  order.wall_us = wall_us;
  AddEmergencyOrder(order);
  return order;
}

bool SettingsChangeLog::AddEmergencyOrder(const EmergencyOrder& order) {
  const OperationId& id = order.rank.id;
  max_order_counter_ = std::max(max_order_counter_, order.rank.counter);
  if (resolved_orders_.contains(id) || VersionOf(id)) return false;
  return orders_.emplace(id, order).second;
}

std::vector<EmergencyOrder> SettingsChangeLog::orders() const {
  std::vector<EmergencyOrder> pending;
  for (const auto& [id, order] : orders_) pending.push_back(order);
  std::sort(pending.begin(), pending.end(),
            [](const EmergencyOrder& left, const EmergencyOrder& right) {
              return left.rank < right.rank;
            });
  return pending;
}

bool SettingsChangeLog::HasChangesAfter(SettingsVersion version) const {
  return version.value() + changes_.size() >= version_.value();
}

std::optional<SettingsVersion> SettingsChangeLog::FindSupersedingVersion(
    const EmergencyOrder& order) const {
  for (const SettingsChange& change : changes_) {
    if (change.version <= order.rank.version || change.id == order.rank.id ||
        !PathsOverlap(change.path, order.path))
      continue;
    if (!change.order || *change.order > order.rank) return change.version;
  }
  return std::nullopt;
}

void SettingsChangeLog::ResolveEmergencyOrder(const OperationId& id,
                                              SettingsVersion superseded_by) {
  orders_.erase(id);
  resolved_orders_.insert(id);
  if (superseded_by > SettingsVersion()) superseded_[id] = superseded_by;
}

SettingsTree SettingsChangeLog::EffectiveTree() const {
  SettingsTree tree = tree_;
  for (const EmergencyOrder& order : orders()) {
    const std::string subject = order.path.substr(0, order.path.rfind('.'));
    // A later change may have removed the zone or server.
    if (FindSupersedingVersion(order) || !tree.At(subject).is_object())
      continue;
    tree.Set(order.path, order.value);
  }
  return tree;
}

void SettingsChangeLog::ResolveCommittedOrder() {
  const OperationId& id = changes_.back().id;
  if (orders_.contains(id)) ResolveEmergencyOrder(id, SettingsVersion());
}

}  // namespace dogwood
