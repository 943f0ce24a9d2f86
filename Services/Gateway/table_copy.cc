#include "Services/Gateway/table_copy.h"

#include <algorithm>

namespace dogwood {

using platform::StoreRow;
using platform::StoreRows;
using platform::StoreVersion;

bool TableCopy::ReplaceAll(const StoreRows& rows, TimePoint confirmed_at) {
  if (rows.as_of < version_) return false;
  bool has_changed = !has_content_;
  has_content_ = true;
  std::map<std::string, StoreRow> replaced;
  for (const StoreRow& row : rows.rows) {
    if (!row.value) continue;
    const auto known = rows_.find(row.key);
    has_changed = has_changed || known == rows_.end() ||
                  known->second.version != row.version;
    replaced[row.key] = row;
  }
  has_changed = has_changed || replaced.size() != rows_.size() - removed_count_;
  rows_ = std::move(replaced);
  removed_count_ = 0;
  version_ = rows.as_of;
  if (has_changed) {
    content_version_ = rows.as_of;
    removals_known_from_ = rows.as_of;
  }
  SetConfirmed(confirmed_at);
  return has_changed;
}

bool TableCopy::Apply(const StoreRows& rows, TimePoint confirmed_at) {
  if (rows.as_of < version_) return false;
  bool has_changed = false;
  for (const StoreRow& row : rows.rows) {
    StoreRow& known = rows_[row.key];
    if (row.version <= known.version) continue;
    const bool was_removed = known.version.value() > 0 && !known.value;
    if (was_removed) --removed_count_;
    if (!row.value) ++removed_count_;
    known = row;
    content_version_ = std::max(content_version_, row.version);
    has_changed = true;
  }
  version_ = rows.as_of;
  SetConfirmed(confirmed_at);
  ForgetOldestRemoved();
  return has_changed;
}

void TableCopy::Confirm(StoreVersion content_version, TimePoint confirmed_at) {
  if (content_version != content_version_) return;
  // Only an empty table has the version of a copy that was never read.
  has_content_ = true;
  SetConfirmed(confirmed_at);
}

void TableCopy::SetConfirmed(TimePoint at) {
  if (at <= confirmed_at_) return;
  if (confirmed_at_ != TimePoint{} && at - confirmed_at_ > kLostAfter)
    regained_at_ = at;
  confirmed_at_ = at;
}

void TableCopy::ForgetOldestRemoved() {
  if (removed_count_ <= kMostRemoved) return;
  std::erase_if(rows_, [this](const auto& item) {
    if (item.second.value) return false;
    removals_known_from_ = std::max(removals_known_from_, item.second.version);
    return true;
  });
  removed_count_ = 0;
}

std::optional<StoreRows> TableCopy::ChangesAfter(StoreVersion version) const {
  if (version < removals_known_from_) return std::nullopt;
  StoreRows changes;
  changes.as_of = content_version_;
  for (const auto& [key, row] : rows_) {
    if (row.version > version) changes.rows.push_back(row);
  }
  return changes;
}

StoreRows TableCopy::All() const {
  StoreRows all;
  all.as_of = content_version_;
  for (const auto& [key, row] : rows_) {
    if (row.value) all.rows.push_back(row);
  }
  return all;
}

}  // namespace dogwood
