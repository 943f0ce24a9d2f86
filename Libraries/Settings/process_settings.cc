#include "Libraries/Settings/process_settings.h"

#include <nlohmann/json.hpp>

#include "Libraries/Settings/setting_keys.h"
#include "Libraries/Settings/settings_tree.h"

namespace dogwood {

using Json = nlohmann::json;

Result<ProcessSettings> ProcessSettings::Parse(std::string_view json,
                                               const std::string& file) {
  const Json root = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (root.is_discarded()) {
    return Fail(ErrorCode::kInvalidArgument,
                file + ": found text that is not JSON, allowed a JSON object");
  }
  TRY(ProcessKeys().Validate(root, file));
  SettingsTree tree(root);
  for (const SettingKey& key : ProcessKeys().keys()) {
    if (!tree.At(key.path).is_null()) continue;
    if (key.default_json.empty()) {
      return Fail(ErrorCode::kInvalidArgument,
                  file + ": " + std::string(key.path) +
                      ": found nothing, allowed " + key.Allowed());
    }
    tree.Set(key.path, Json::parse(key.default_json));
  }
  const auto text = [&](const char* path) {
    return tree.At(path).get<std::string>();
  };
  if (text("platform").empty() == text("fleet_file").empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                file + ": platform: found \"" + text("platform") +
                    "\" and fleet_file \"" + text("fleet_file") +
                    "\", allowed exactly one of the two");
  }
  ProcessSettings settings;
  settings.host = HostId(text("host"));
  settings.zone = ZoneId(text("zone"));
  settings.listen_callers = text("listen.callers");
  settings.listen_peers = text("listen.peers");
  settings.listen_operators = text("listen.operators");
  settings.platform = text("platform");
  settings.fleet_file = text("fleet_file");
  settings.workers = tree.At("workers").get<std::uint32_t>();
  settings.operator_token_file = text("operator_token_file");
  settings.log_file = text("log.file");
  settings.log_level = text("log.level");
  settings.stop_deadline = std::chrono::seconds(
      tree.At("stop_deadline_seconds").get<std::uint32_t>());
  return settings;
}

}  // namespace dogwood
