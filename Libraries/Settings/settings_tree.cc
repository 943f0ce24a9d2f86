#include "Libraries/Settings/settings_tree.h"

#include <map>

#include "Libraries/Settings/setting_definitions.h"

namespace dogwood {
namespace {

using Json = nlohmann::json;

constexpr double kMsPerSecond = 1000;

auto InvalidValue(const std::string& source, const std::string& path,
                  const std::string& found, const std::string& allowed) {
  return Fail(ErrorCode::kInvalidArgument, source + ": " + path + ": found " +
                                               found + ", allowed " + allowed);
}

// Member of an object, or an empty object if it is absent.
const Json& ChildObject(const Json& node, const char* name) {
  static const Json kEmpty = Json::object();
  const auto found = node.find(name);
  return found == node.end() ? kEmpty : *found;
}

}  // namespace

Json SettingsTree::At(std::string_view path) const {
  const Json* node = &root_;
  for (const std::string& level : SplitPath(path)) {
    if (!node->is_object() || !node->contains(level)) return {};
    node = &node->at(level);
  }
  return *node;
}

void SettingsTree::Set(std::string_view path, const Json& value) {
  const std::vector<std::string> levels = SplitPath(path);
  std::vector<Json*> nodes{&root_};
  for (std::size_t i = 0; i + 1 < levels.size(); ++i) {
    Json& node = *nodes.back();
    if (!node.is_object()) node = Json::object();
    if (value.is_null() && !node.contains(levels[i])) return;
    nodes.push_back(&node[levels[i]]);
  }
  if (!nodes.back()->is_object()) *nodes.back() = Json::object();
  if (!value.is_null()) {
    (*nodes.back())[levels.back()] = value;
    return;
  }
  nodes.back()->erase(levels.back());
  for (std::size_t i = nodes.size() - 1; i > 0 && nodes[i]->empty(); --i)
    nodes[i - 1]->erase(levels[i - 1]);
}

Result<Json> SettingsTree::EffectiveValue(std::string_view key,
                                          const SettingsScope& scope) const {
  TRY_ASSIGN(const std::vector<SettingsLevel> levels, Explain(key, scope));
  for (const SettingsLevel& level : levels) {
    if (level.is_effective) return *level.value;
  }
  return Json();
}

Result<std::vector<SettingsLevel>> SettingsTree::Explain(
    std::string_view key, const SettingsScope& scope) const {
  const InheritedSetting* setting = FindInheritedSetting(key);
  if (setting == nullptr) {
    return Fail(ErrorCode::kNotFound,
                "setting \"" + std::string(key) + "\" does not exist");
  }
  const std::string suffix = std::string(".settings.") + std::string(key);
  std::vector<std::string> paths;
  if (setting->scope == InheritedSetting::Scope::kService) {
    if (scope.client_account)
      paths.push_back("parties." + scope.client_account->value() + suffix);
    if (scope.zone) paths.push_back("zones." + scope.zone->value() + suffix);
    if (scope.service)
      paths.push_back("services." + scope.service->value() + suffix);
  }
  paths.push_back("default." + std::string(key));
  std::vector<SettingsLevel> levels;
  bool is_found = false;
  for (std::string& path : paths) {
    SettingsLevel level{std::move(path), std::nullopt, false};
    if (Json value = At(level.path); !value.is_null()) {
      level.value = std::move(value);
      level.is_effective = !is_found;
      is_found = true;
    }
    levels.push_back(std::move(level));
  }
  levels.push_back({"built-in default",
                    Json::parse(setting->definition.default_json), !is_found});
  return levels;
}

Result<void> SettingsTree::Validate(const std::string& source) const {
  TRY(FleetSchema().Validate(root_, source));
  TRY(CheckReferences(source));
  TRY(CheckInheritedSettings(source, {}));
  for (const auto& [service, value] : ChildObject(root_, "services").items()) {
    const SettingsScope scope{.service = ServiceId(service)};
    TRY(CheckInheritedSettings(source, scope));
    for (const auto& [zone, ignored] : ChildObject(root_, "zones").items()) {
      if (!ignored.contains("settings")) continue;
      TRY(CheckInheritedSettings(source, {scope.service, ZoneId(zone), {}}));
    }
    for (const auto& [client_account, ignored] :
         ChildObject(root_, "parties").items()) {
      if (!ignored.contains("settings")) continue;
      TRY(CheckInheritedSettings(
          source, {scope.service, {}, ClientAccountId(client_account)}));
    }
  }
  return outcome::success();
}

Result<void> SettingsTree::CheckReferences(const std::string& source) const {
  const Json& services = ChildObject(root_, "services");
  const Json& zones = ChildObject(root_, "zones");
  for (const auto& [service, service_value] : services.items()) {
    std::map<std::string, std::string> servers_by_address;
    for (const auto& [name, server] :
         ChildObject(service_value, "servers").items()) {
      const std::string path = "services." + service + ".servers." + name;
      for (const char* required : {"address", "zone"}) {
        if (!server.contains(required)) {
          return InvalidValue(source, path + "." + required, "nothing",
                              "a value: it is required");
        }
      }
      const auto zone = server.at("zone").get<std::string>();
      if (!zones.contains(zone)) {
        return InvalidValue(source, path + ".zone", "\"" + zone + "\"",
                            "an availability zone that exists under zones");
      }
      const auto address = server.at("address").get<std::string>();
      const auto [other, is_new] = servers_by_address.emplace(address, name);
      if (!is_new) {
        return InvalidValue(
            source, path + ".address", "\"" + address + "\"",
            "an address that differs from that of " + other->second);
      }
    }
  }
  for (const auto& [client_account, client_account_value] :
       ChildObject(root_, "parties").items()) {
    for (const auto& [service, ignored] :
         ChildObject(client_account_value, "agreements").items()) {
      if (services.contains(service)) continue;
      return InvalidValue(
          source, "parties." + client_account + ".agreements." + service,
          "an agreement", "services that exist");
    }
  }
  return outcome::success();
}

Result<void> SettingsTree::CheckInheritedSettings(
    const std::string& source, const SettingsScope& scope) const {
  std::string levels = "default";
  if (scope.service) levels = "services." + scope.service->value();
  if (scope.zone) levels += " with zones." + scope.zone->value();
  if (scope.client_account)
    levels += " with parties." + scope.client_account->value();
  const auto number = [&](const char* key) {
    return EffectiveValue(key, scope).value().get<double>();
  };
  const double lease = number("permit_lease_ms");
  const double takeover = number("permit_takeover_delay_ms");
  if (takeover <= lease) {
    return InvalidValue(source, levels + ": permit_takeover_delay_ms",
                        std::to_string(static_cast<int>(takeover)),
                        "more than permit_lease_ms (" +
                            std::to_string(static_cast<int>(lease)) + ")");
  }
  const double interval = number("usage.write_interval_ms");
  const double reservation = number("usage.reservation_seconds") * kMsPerSecond;
  if (reservation <= interval) {
    return InvalidValue(
        source, levels + ": usage.reservation_seconds",
        std::to_string(static_cast<int>(reservation / kMsPerSecond)),
        "longer than usage.write_interval_ms (" +
            std::to_string(static_cast<int>(interval)) + ")");
  }
  return outcome::success();
}

}  // namespace dogwood
