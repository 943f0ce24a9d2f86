#pragma once

#include <map>
#include <string>

#include "Libraries/Core/core.h"
#include "platform/store_row.h"

namespace dogwood {

// This host's copy of one table of the store, kept with versions so that hosts
// can pass changes on to each other. Never goes back to an older version.
class TableCopy {
 public:
  // Rows as of `rows.as_of`; a row that is missing was removed. Returns whether
  // anything changed.
  bool ReplaceAll(const platform::StoreRows& rows, TimePoint confirmed_at);
  // All changes after version(), up to `rows.as_of`.
  bool Apply(const platform::StoreRows& rows, TimePoint confirmed_at);
  // A reader has seen no change after the content version given.
  void Confirm(platform::StoreVersion content_version, TimePoint confirmed_at);

  // Changes after a version, or nullopt when they are no longer known and the
  // whole table is needed.
  std::optional<platform::StoreRows> ChangesAfter(
      platform::StoreVersion version) const;
  platform::StoreRows All() const;

  bool has_content() const { return has_content_; }
  // Where to resume reading changes from the store.
  platform::StoreVersion version() const { return version_; }
  // Version of the newest change; equal on hosts with equal copies.
  platform::StoreVersion content_version() const { return content_version_; }
  // When a reader was last told by the store that the copy is the newest.
  TimePoint confirmed_at() const { return confirmed_at_; }
  // End of the last span without confirmation that was long enough for entries
  // to lapse meanwhile.
  TimePoint regained_at() const { return regained_at_; }

 private:
  // Without confirmation for this long, the store counts as lost meanwhile.
  static constexpr Duration kLostAfter = std::chrono::milliseconds(2500);
  // Removed rows are remembered to this number.
  static constexpr std::size_t kMostRemoved = 4096;

  void SetConfirmed(TimePoint at);
  void ForgetOldestRemoved();

  bool has_content_ = false;  // the table was read, even if it was empty
  platform::StoreVersion version_;
  platform::StoreVersion content_version_;
  // Removals up to this version are not remembered.
  platform::StoreVersion removals_known_from_;
  TimePoint confirmed_at_{};
  TimePoint regained_at_{};
  std::map<std::string, platform::StoreRow> rows_;
  std::size_t removed_count_ = 0;
};

}  // namespace dogwood
