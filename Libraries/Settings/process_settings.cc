#include "Libraries/Settings/process_settings.h"

#include <nlohmann/json.hpp>

#include "Libraries/Settings/setting_definitions.h"
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
  TRY(ProcessSchema().Validate(root, file));
  SettingsTree tree(root);
  for (const SettingDefinition& definition : ProcessSchema().definitions()) {
    if (!tree.At(definition.path).is_null()) continue;
    if (definition.default_json.empty()) {
      return Fail(ErrorCode::kInvalidArgument,
                  file + ": " + std::string(definition.path) +
                      ": found nothing, allowed " + definition.AllowedValues());
    }
    tree.Set(definition.path, Json::parse(definition.default_json));
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
  settings.caller_listen_address = text("listen.callers");
  settings.peer_listen_address = text("listen.peers");
  settings.operator_listen_address = text("listen.operators");
  settings.platform_address = text("platform");
  settings.fleet_file = text("fleet_file");
  settings.worker_threads = tree.At("workers").get<std::uint32_t>();
  settings.operator_token_file = text("operator_token_file");
  settings.log_file = text("log.file");
  settings.log_level = text("log.level");
  settings.stop_deadline = std::chrono::seconds(
      tree.At("stop_deadline_seconds").get<std::uint32_t>());
  return settings;
}

}  // namespace dogwood
