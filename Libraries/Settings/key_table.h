#pragma once

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Levels of a dotted path, for example services.tracking.servers.t1.slots.
std::vector<std::string> SplitPath(std::string_view path);

// One documented key. `*` in the path stands for a name.
struct SettingKey {
  enum class Type { kCount, kNumber, kText, kAddress, kChoice };

  std::string_view path;
  Type type = Type::kText;
  std::string_view unit;  // empty when the value has none
  double lowest = 0;      // of kCount and kNumber
  double highest = 0;
  std::string_view default_json;  // empty: required
  std::string_view choices;       // of kChoice, separated by |
  std::string_view description;

  // What a value may be, for messages and the reference page.
  std::string Allowed() const;
};

inline constexpr NameTable<SettingKey::Type, 5> kSettingTypeNames{
    {{{SettingKey::Type::kCount, "whole number"},
      {SettingKey::Type::kNumber, "number"},
      {SettingKey::Type::kText, "text"},
      {SettingKey::Type::kAddress, "IP:PORT"},
      {SettingKey::Type::kChoice, "choice"}}}};

// The keys that a JSON document may have.
class KeyTable {
 public:
  explicit KeyTable(std::span<const SettingKey> keys) : keys_(keys) {}

  std::span<const SettingKey> keys() const { return keys_; }

  // The key whose path matches, or nullptr.
  const SettingKey* Find(std::string_view path) const;

  // Checks every value of the document. Fails with kInvalidArgument and
  // "SOURCE: PATH: found VALUE, allowed ...".
  Result<void> Validate(const nlohmann::json& document,
                        const std::string& source) const;

  // One value of the key; `path` is where it was found.
  static Result<void> ValidateValue(const SettingKey& key,
                                    const nlohmann::json& value,
                                    const std::string& path,
                                    const std::string& source);

 private:
  Result<void> Walk(const nlohmann::json& node, std::vector<std::string>& path,
                    const std::string& source) const;
  bool has_prefix(const std::vector<std::string>& path) const;

  std::span<const SettingKey> keys_;
};

}  // namespace dogwood
