#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "Libraries/Core/core.h"
#include "Libraries/Settings/settings.h"

namespace dogwood {

// Rows of the settings chain in the platform's table. The head's row version is
// the settings version, because each change puts it once.
inline constexpr const char* kHeadKey = "settings/head";
inline constexpr const char* kSnapshotKey = "settings/snapshot";
inline constexpr const char* kChangePrefix = "settings/change/";

std::string ChangeKey(SettingsVersion version);
std::string OperationKey(const OperationId& id);

// What settings/operation/ID holds.
struct OperationRow {
  std::string path;
  nlohmann::json value;
  SettingsVersion version;  // of the change, or of the one that superseded it
  bool is_superseded = false;

  std::string ToText() const;
  // Fails with kProtocol.
  static Result<OperationRow> Parse(const std::string& text);
};

// The JSON of a row; null when it is malformed.
nlohmann::json ParseRow(const std::string& text);

// The transaction that accepts the change on top of the tree of the version
// before.
TableCommit CommitOf(const SettingsChange& change, const SettingsTree& before);

// The transaction that records an order as superseded.
TableCommit SupersededCommit(const EmergencyOrder& order,
                             SettingsVersion superseded_by);

}  // namespace dogwood
