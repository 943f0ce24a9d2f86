#pragma once

#include <map>
#include <string>

#include "Libraries/Core/core.h"
#include "platform/store_row.h"

namespace dogwood {

// This host's replica of one table of the store. Keeps the version of each row
// and tombstones of removed rows, so that a host can send another one only the
// changes. Never reverts to an older version.
class TableReplica {
 public:
  // Replaces all rows by those as of `rows.as_of`. Returns whether the content
  // changed.
  bool ApplySnapshot(const platform::StoreRows& rows, TimePoint confirmed_at);
  // Applies all changes after version(), up to `rows.as_of`. Returns whether
  // the content changed.
  bool ApplyChanges(const platform::StoreRows& rows, TimePoint confirmed_at);
  // Records that the store had no change after `content_version` at
  // `confirmed_at`. Ignored when the replica has another version.
  void Confirm(platform::StoreVersion content_version, TimePoint confirmed_at);

  // Changes after a version, or nullopt when tombstones since then were dropped
  // and a snapshot is needed.
  std::optional<platform::StoreRows> ChangesAfter(
      platform::StoreVersion version) const;
  platform::StoreRows Snapshot() const;

  // Whether the table was read or confirmed; it may be empty.
  bool is_loaded() const { return is_loaded_; }
  // Version after which to read changes from the store.
  platform::StoreVersion version() const { return version_; }
  // Version of the latest change; equal on hosts with equal replicas.
  platform::StoreVersion content_version() const { return content_version_; }
  // When the store last confirmed, to any host, that the replica is current.
  TimePoint confirmed_at() const { return confirmed_at_; }
  // When confirmations resumed after the last store outage during which
  // registrations may have expired.
  TimePoint confirmation_resumed_at() const { return confirmation_resumed_at_; }
  // When the replica was replaced by that of a store that had been restored
  // from an older copy; long ago if it never was.
  TimePoint restored_at() const { return restored_at_; }

 private:
  // A longer gap between two confirmations counts as a store outage.
  static constexpr Duration kStoreOutageThreshold =
      std::chrono::milliseconds(2500);
  // Number of tombstones above which all of them are dropped.
  static constexpr std::size_t kMaxTombstones = 4096;

  void RecordConfirmation(TimePoint at);
  void LimitTombstones();

  bool is_loaded_ = false;
  platform::StoreVersion version_;
  platform::StoreVersion content_version_;
  // Removals up to this version may have no tombstone.
  platform::StoreVersion tombstones_complete_after_;
  TimePoint confirmed_at_{};
  TimePoint confirmation_resumed_at_{};
  TimePoint restored_at_{};
  // Rows and tombstones (rows without a value) by key.
  std::map<std::string, platform::StoreRow> rows_;
  std::size_t tombstone_count_ = 0;
};

}  // namespace dogwood
