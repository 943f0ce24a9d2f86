#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Identifies the levels that a setting is read from besides the default level.
struct SettingsScope {
  std::optional<ServiceId> service;
  std::optional<ZoneId> zone;
  std::optional<ClientAccountId> client_account;
};

// Value of a setting at one level.
struct SettingsLevel {
  std::string path;                     // position in the tree
  std::optional<nlohmann::json> value;  // empty if the level sets none
  bool is_effective = false;
};

// JSON document of the shared settings, with inheritance between levels.
class SettingsTree {
 public:
  SettingsTree() : root_(nlohmann::json::object()) {}
  explicit SettingsTree(nlohmann::json root) : root_(std::move(root)) {}

  const nlohmann::json& root() const { return root_; }

  // The value at a dotted path, or null.
  nlohmann::json At(std::string_view path) const;

  // Replaces the value at the path. Null removes the value and the objects that
  // become empty. Does not validate.
  void Set(std::string_view path, const nlohmann::json& value);

  // Value of an inherited setting such as "claims.remember_hours" at the most
  // specific level that sets it. Fails with kNotFound for an unknown key.
  Result<nlohmann::json> EffectiveValue(std::string_view key,
                                        const SettingsScope& scope) const;
  // All levels of an inherited setting, most specific first. Fails with
  // kNotFound for an unknown key.
  Result<std::vector<SettingsLevel>> Explain(std::string_view key,
                                             const SettingsScope& scope) const;

  // Fails with kInvalidArgument on an unknown key, a wrong type, a value out of
  // range, a reference to a missing object or values that violate a constraint
  // between settings. `source` names the document in the message.
  Result<void> Validate(const std::string& source) const;

 private:
  Result<void> CheckReferences(const std::string& source) const;
  Result<void> CheckInheritedSettings(const std::string& source,
                                      const SettingsScope& scope) const;

  nlohmann::json root_;
};

}  // namespace dogwood
