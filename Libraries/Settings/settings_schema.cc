#include "Libraries/Settings/settings_schema.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace dogwood {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameCharacters = 64;
// Longer values are truncated in error messages.
constexpr std::size_t kMaxShownValueBytes = 64;

std::string ShowValue(const Json& value) {
  return value.dump().substr(0, kMaxShownValueBytes);
}

std::string JoinPath(const std::vector<std::string>& levels) {
  std::string path;
  for (const std::string& level : levels) {
    if (!path.empty()) path += '.';
    path += level;
  }
  return path;
}

bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameCharacters &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_';
         });
}

// Whether the levels match the whole pattern or, if `is_whole` is false, only a
// proper prefix of it.
bool MatchesPattern(std::string_view pattern,
                    const std::vector<std::string>& levels, bool is_whole) {
  for (const std::string& level : levels) {
    if (pattern.empty()) return false;
    const std::string_view wanted = pattern.substr(0, pattern.find('.'));
    pattern.remove_prefix(std::min(pattern.size(), wanted.size() + 1));
    if (wanted == "*" ? !IsValidName(level) : wanted != level) return false;
  }
  return pattern.empty() == is_whole;
}

bool IsIpPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  std::string ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    ip = ip.substr(1, ip.size() - 2);
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  const bool is_ip = inet_pton(AF_INET, ip.c_str(), binary.data()) == 1 ||
                     inet_pton(AF_INET6, ip.c_str(), binary.data()) == 1;
  unsigned short port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  return is_ip && parsed.ec == std::errc() && parsed.ptr == end;
}

bool IsOneOf(std::string_view choices, const std::string& text) {
  while (!choices.empty()) {
    const std::string_view choice = choices.substr(0, choices.find('|'));
    if (choice == text) return true;
    choices.remove_prefix(std::min(choices.size(), choice.size() + 1));
  }
  return false;
}

bool IsAllowed(const SettingDefinition& definition, const Json& value) {
  const auto is_in_range = [&] {
    const auto number = value.get<double>();
    return number >= definition.minimum && number <= definition.maximum;
  };
  switch (definition.type) {
    case SettingDefinition::Type::kCount:
      return value.is_number_integer() && is_in_range();
    case SettingDefinition::Type::kNumber:
      return value.is_number() && is_in_range();
    case SettingDefinition::Type::kText:
      return value.is_string();
    case SettingDefinition::Type::kAddress:
      return value.is_string() && IsIpPort(value.get<std::string>());
    case SettingDefinition::Type::kChoice:
      return value.is_string() &&
             IsOneOf(definition.choices, value.get<std::string>());
  }
  return false;
}

}  // namespace

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> levels;
  while (true) {
    const std::size_t dot = path.find('.');
    levels.emplace_back(path.substr(0, dot));
    if (dot == std::string_view::npos) return levels;
    path.remove_prefix(dot + 1);
  }
}

std::string SettingDefinition::AllowedValues() const {
  std::ostringstream text;
  text << kSettingTypeNames.NameOf(type);
  if (type == Type::kCount || type == Type::kNumber) {
    // Prints up to 15 digits without an exponent.
    text.precision(15);
    text << " from " << minimum << " to " << maximum;
  }
  if (type == Type::kChoice) {
    std::string list(choices);
    std::replace(list.begin(), list.end(), '|', '/');
    text << " of " << list;
  }
  return text.str();
}

const SettingDefinition* SettingsSchema::Find(std::string_view path) const {
  const std::vector<std::string> levels = SplitPath(path);
  for (const SettingDefinition& definition : definitions_) {
    if (MatchesPattern(definition.path, levels, /*is_whole=*/true))
      return &definition;
  }
  return nullptr;
}

bool SettingsSchema::HasPrefix(const std::vector<std::string>& path) const {
  return std::any_of(definitions_.begin(), definitions_.end(),
                     [&](const SettingDefinition& definition) {
                       return MatchesPattern(definition.path, path,
                                             /*is_whole=*/false);
                     });
}

Result<void> SettingsSchema::Validate(const Json& document,
                                      const std::string& source) const {
  if (!document.is_object()) {
    return Fail(
        ErrorCode::kInvalidArgument,
        source + ": found " + ShowValue(document) + ", allowed a JSON object");
  }
  std::vector<std::string> path;
  return ValidateObject(document, path, source);
}

Result<void> SettingsSchema::ValidateValue(const SettingDefinition& definition,
                                           const Json& value,
                                           const std::string& path,
                                           const std::string& source) {
  if (IsAllowed(definition, value)) return outcome::success();
  return Fail(ErrorCode::kInvalidArgument, source + ": " + path + ": found " +
                                               ShowValue(value) + ", allowed " +
                                               definition.AllowedValues());
}

Result<void> SettingsSchema::ValidateObject(const Json& node,
                                            std::vector<std::string>& path,
                                            const std::string& source) const {
  for (const auto& [name, value] : node.items()) {
    path.push_back(name);
    const std::string joined = JoinPath(path);
    const SettingDefinition* definition =
        name.find('.') == std::string::npos ? Find(joined) : nullptr;
    if (definition != nullptr) {
      TRY(ValidateValue(*definition, value, joined, source));
    } else if (!HasPrefix(path)) {
      return Fail(ErrorCode::kInvalidArgument,
                  source + ": " + joined +
                      ": found an unknown key, allowed are the keys of "
                      "docs/settings.md and names of up to 64 letters, "
                      "digits, - and _");
    } else if (!value.is_object()) {
      return Fail(ErrorCode::kInvalidArgument,
                  source + ": " + joined + ": found " + ShowValue(value) +
                      ", allowed an object");
    } else {
      TRY(ValidateObject(value, path, source));
    }
    path.pop_back();
  }
  return outcome::success();
}

}  // namespace dogwood
