#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "Libraries/Core/core.h"
#include "Libraries/Settings/settings.h"

namespace dogwood {

// Keys of the settings change log in the platform's table. The row version of
// the head equals the settings version, because each change writes it once.
inline constexpr const char* kHeadKey = "settings/head";
inline constexpr const char* kSnapshotKey = "settings/snapshot";
inline constexpr const char* kChangePrefix = "settings/change/";

std::string ChangeKey(SettingsVersion version);
std::string OperationKey(const OperationId& id);

// Content of the row settings/operation/ID.
struct OperationRow {
  std::string path;
  nlohmann::json value;
  SettingsVersion version;  // of the change, or of the one that superseded it
  bool is_superseded = false;

  std::string Serialize() const;
  // Fails with kProtocol.
  static Result<OperationRow> Parse(const std::string& text);
};

// Parses the value of a row. Returns null when it is malformed.
nlohmann::json ParseRowValue(const std::string& text);

// Builds the transaction that appends `change` to the log. `before` is the
// tree at the preceding version.
TableTransaction BuildChangeCommit(const SettingsChange& change,
                                   const SettingsTree& before);

// Builds the transaction that records an order as superseded.
TableTransaction BuildSupersededCommit(const EmergencyOrder& order,
                                       SettingsVersion superseded_by);

}  // namespace dogwood
