#include "Libraries/Settings/key_table.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace dogwood {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kLongestName = 64;

std::string JoinPath(const std::vector<std::string>& levels) {
  std::string path;
  for (const std::string& level : levels) {
    if (!path.empty()) path += '.';
    path += level;
  }
  return path;
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kLongestName &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_';
         });
}

// Whether the levels match the pattern's first levels.
bool MatchesPrefix(std::string_view pattern,
                   const std::vector<std::string>& levels, bool whole) {
  for (const std::string& level : levels) {
    if (pattern.empty()) return false;
    const std::string_view wanted = pattern.substr(0, pattern.find('.'));
    pattern.remove_prefix(std::min(pattern.size(), wanted.size() + 1));
    if (wanted == "*" ? !IsName(level) : wanted != level) return false;
  }
  return pattern.empty() == whole;
}

bool IsAddress(const std::string& text) {
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

bool IsChoice(std::string_view choices, const std::string& text) {
  while (!choices.empty()) {
    const std::string_view choice = choices.substr(0, choices.find('|'));
    if (choice == text) return true;
    choices.remove_prefix(std::min(choices.size(), choice.size() + 1));
  }
  return false;
}

bool IsAllowed(const SettingKey& key, const Json& value) {
  const auto is_in_range = [&] {
    const auto number = value.get<double>();
    return number >= key.lowest && number <= key.highest;
  };
  switch (key.type) {
    case SettingKey::Type::kCount:
      return value.is_number_integer() && is_in_range();
    case SettingKey::Type::kNumber:
      return value.is_number() && is_in_range();
    case SettingKey::Type::kText:
      return value.is_string();
    case SettingKey::Type::kAddress:
      return value.is_string() && IsAddress(value.get<std::string>());
    case SettingKey::Type::kChoice:
      return value.is_string() &&
             IsChoice(key.choices, value.get<std::string>());
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

std::string SettingKey::Allowed() const {
  std::ostringstream text;
  text << kSettingTypeNames.NameOf(type);
  if (type == Type::kCount || type == Type::kNumber) {
    // Doubles print without an exponent up to 15 digits.
    text.precision(15);
    text << " from " << lowest << " to " << highest;
  }
  if (type == Type::kChoice) {
    std::string list(choices);
    std::replace(list.begin(), list.end(), '|', '/');
    text << " of " << list;
  }
  return text.str();
}

const SettingKey* KeyTable::Find(std::string_view path) const {
  const std::vector<std::string> levels = SplitPath(path);
  for (const SettingKey& key : keys_) {
    if (MatchesPrefix(key.path, levels, /*whole=*/true)) return &key;
  }
  return nullptr;
}

bool KeyTable::has_prefix(const std::vector<std::string>& path) const {
  return std::any_of(keys_.begin(), keys_.end(), [&](const SettingKey& key) {
    return MatchesPrefix(key.path, path, /*whole=*/false);
  });
}

Result<void> KeyTable::Validate(const Json& document,
                                const std::string& source) const {
  if (!document.is_object()) {
    return Fail(ErrorCode::kInvalidArgument, source + ": found " +
                                                 document.dump().substr(0, 64) +
                                                 ", allowed a JSON object");
  }
  std::vector<std::string> path;
  return Walk(document, path, source);
}

Result<void> KeyTable::ValidateValue(const SettingKey& key, const Json& value,
                                     const std::string& path,
                                     const std::string& source) {
  if (IsAllowed(key, value)) return outcome::success();
  return Fail(ErrorCode::kInvalidArgument, source + ": " + path + ": found " +
                                               value.dump().substr(0, 64) +
                                               ", allowed " + key.Allowed());
}

Result<void> KeyTable::Walk(const Json& node, std::vector<std::string>& path,
                            const std::string& source) const {
  for (const auto& [name, value] : node.items()) {
    path.push_back(name);
    const std::string joined = JoinPath(path);
    const SettingKey* key =
        name.find('.') == std::string::npos ? Find(joined) : nullptr;
    if (key != nullptr) {
      TRY(ValidateValue(*key, value, joined, source));
    } else if (!has_prefix(path)) {
      return Fail(ErrorCode::kInvalidArgument,
                  source + ": " + joined +
                      ": found an unknown key, allowed are the keys of "
                      "docs/settings.md and names of up to 64 letters, "
                      "digits, - and _");
    } else if (!value.is_object()) {
      return Fail(ErrorCode::kInvalidArgument,
                  source + ": " + joined + ": found " +
                      value.dump().substr(0, 64) + ", allowed an object");
    } else {
      TRY(Walk(value, path, source));
    }
    path.pop_back();
  }
  return outcome::success();
}

}  // namespace dogwood
