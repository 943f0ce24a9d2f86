#pragma once

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Splits a dotted path such as services.tracking.servers.t1.slots.
std::vector<std::string> SplitPath(std::string_view path);

// Type, range, default and description of one setting. `*` in the path matches
// any name.
struct SettingDefinition {
  enum class Type { kCount, kNumber, kText, kAddress, kChoice };

  std::string_view path;
  Type type = Type::kText;
  std::string_view unit;  // empty for a value without a unit
  double minimum = 0;     // for kCount and kNumber
  double maximum = 0;
  std::string_view default_json;  // empty if the setting is required
  std::string_view choices;       // for kChoice, separated by |
  std::string_view description;

  // Describes the allowed values in messages and in docs/settings.md.
  std::string AllowedValues() const;
};

inline constexpr EnumNames<SettingDefinition::Type, 5> kSettingTypeNames{
    {{{SettingDefinition::Type::kCount, "whole number"},
      {SettingDefinition::Type::kNumber, "number"},
      {SettingDefinition::Type::kText, "text"},
      {SettingDefinition::Type::kAddress, "IP:PORT"},
      {SettingDefinition::Type::kChoice, "choice"}}}};

// The settings that a JSON document may contain.
class SettingsSchema {
 public:
  explicit SettingsSchema(std::span<const SettingDefinition> definitions)
      : definitions_(definitions) {}

  std::span<const SettingDefinition> definitions() const {
    return definitions_;
  }

  // Returns the definition whose path pattern matches, or nullptr.
  const SettingDefinition* Find(std::string_view path) const;

  // Validates every value of the document. Fails with kInvalidArgument and
  // "SOURCE: PATH: found VALUE, allowed ...".
  Result<void> Validate(const nlohmann::json& document,
                        const std::string& source) const;

  // Validates one value; `path` is its position in the document.
  static Result<void> ValidateValue(const SettingDefinition& definition,
                                    const nlohmann::json& value,
                                    const std::string& path,
                                    const std::string& source);

 private:
  Result<void> ValidateObject(const nlohmann::json& node,
                              std::vector<std::string>& path,
                              const std::string& source) const;
  bool HasPrefix(const std::vector<std::string>& path) const;

  std::span<const SettingDefinition> definitions_;
};

}  // namespace dogwood
