#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// For whom a setting is read; levels left out are not considered.
struct SettingsScope {
  std::optional<ServiceId> service;
  std::optional<ZoneId> zone;
  std::optional<PartyId> party;
};

// One level's say in an effective value, most specific first.
struct SettingsLevel {
  std::string path;                     // of the value in the tree
  std::optional<nlohmann::json> value;  // empty when the level has none
  bool is_effective = false;
};

// The JSON document that all hosts agree on, with inherited settings.
class SettingsTree {
 public:
  SettingsTree() : root_(nlohmann::json::object()) {}
  explicit SettingsTree(nlohmann::json root) : root_(std::move(root)) {}

  const nlohmann::json& root() const { return root_; }

  // The value at a dotted path, or null.
  nlohmann::json At(std::string_view path) const;

  // Replaces the value at the path; null removes it and the objects that
  // become empty. Does not validate.
  void Set(std::string_view path, const nlohmann::json& value);

  // The value of an inherited key, for example "claims.remember_hours". Fails
  // with kNotFound for an unknown key.
  Result<nlohmann::json> Effective(std::string_view key,
                                   const SettingsScope& scope) const;
  Result<std::vector<SettingsLevel>> Explain(std::string_view key,
                                             const SettingsScope& scope) const;

  // Refuses unknown keys, wrong types, values out of range and contradictions
  // between values. `source` names the document in the message.
  Result<void> Validate(const std::string& source) const;

 private:
  Result<void> CheckReferences(const std::string& source) const;
  Result<void> CheckInherited(const std::string& source,
                              const SettingsScope& scope) const;

  nlohmann::json root_;
};

}  // namespace dogwood
