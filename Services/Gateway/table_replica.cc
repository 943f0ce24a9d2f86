#include "Services/Gateway/table_replica.h"

#include <algorithm>

namespace dogwood {

using platform::StoreRow;
using platform::StoreRows;
using platform::StoreVersion;

bool TableReplica::ApplySnapshot(const StoreRows& rows,
                                 TimePoint confirmed_at) {
  if (rows.as_of < version_) return false;
  bool has_changed = !is_loaded_;
  // The store may have lost registrations, as in an outage.
  if (is_loaded_ &&
      platform::StoreEra(rows.as_of) != platform::StoreEra(version_)) {
    restored_at_ = confirmation_resumed_at_ = confirmed_at;
  }
  is_loaded_ = true;
  std::map<std::string, StoreRow> replacement;
  for (const StoreRow& row : rows.rows) {
    if (!row.value) continue;
    const auto current = rows_.find(row.key);
    has_changed = has_changed || current == rows_.end() ||
                  current->second.version != row.version;
    replacement[row.key] = row;
  }
  has_changed =
      has_changed || replacement.size() != rows_.size() - tombstone_count_;
  rows_ = std::move(replacement);
  tombstone_count_ = 0;
  version_ = rows.as_of;
  if (has_changed) {
    content_version_ = rows.as_of;
    tombstones_complete_after_ = rows.as_of;
  }
  RecordConfirmation(confirmed_at);
  return has_changed;
}

bool TableReplica::ApplyChanges(const StoreRows& rows, TimePoint confirmed_at) {
  if (rows.as_of < version_) return false;
  bool has_changed = false;
  for (const StoreRow& row : rows.rows) {
    StoreRow& current = rows_[row.key];
    if (row.version <= current.version) continue;
    const bool was_removed = current.version.value() > 0 && !current.value;
    if (was_removed) --tombstone_count_;
    if (!row.value) ++tombstone_count_;
    current = row;
    content_version_ = std::max(content_version_, row.version);
    has_changed = true;
  }
  version_ = rows.as_of;
  RecordConfirmation(confirmed_at);
  LimitTombstones();
  return has_changed;
}

void TableReplica::Confirm(StoreVersion content_version,
                           TimePoint confirmed_at) {
  if (content_version != content_version_) return;
  // A replica that was never loaded has version 0, which only an empty table
  // matches.
  is_loaded_ = true;
  RecordConfirmation(confirmed_at);
}

void TableReplica::RecordConfirmation(TimePoint at) {
  if (at <= confirmed_at_) return;
  if (confirmed_at_ != TimePoint{} &&
      at - confirmed_at_ > kStoreOutageThreshold)
    confirmation_resumed_at_ = at;
  confirmed_at_ = at;
}

void TableReplica::LimitTombstones() {
  if (tombstone_count_ <= kMaxTombstones) return;
  std::erase_if(rows_, [this](const auto& item) {
    if (item.second.value) return false;
    tombstones_complete_after_ =
        std::max(tombstones_complete_after_, item.second.version);
    return true;
  });
  tombstone_count_ = 0;
}

std::optional<StoreRows> TableReplica::ChangesAfter(
    StoreVersion version) const {
  if (version < tombstones_complete_after_) return std::nullopt;
  StoreRows changes;
  changes.as_of = content_version_;
  for (const auto& [key, row] : rows_) {
    if (row.version > version) changes.rows.push_back(row);
  }
  return changes;
}

StoreRows TableReplica::Snapshot() const {
  StoreRows snapshot;
  snapshot.as_of = content_version_;
  for (const auto& [key, row] : rows_) {
    if (row.value) snapshot.rows.push_back(row);
  }
  return snapshot;
}

}  // namespace dogwood
