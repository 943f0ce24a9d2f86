#pragma once

#include <span>
#include <string>

#include "Libraries/Settings/settings_schema.h"

namespace dogwood {

// Setting with a value at the default level that services, availability zones
// and client accounts can override if its scope is kService. The path is
// relative to the level.
struct InheritedSetting {
  enum class Scope { kFleet, kService };
  Scope scope = Scope::kService;
  SettingDefinition definition;
};

std::span<const InheritedSetting> InheritedSettings();
const InheritedSetting* FindInheritedSetting(std::string_view path);

// Schema of the fleet configuration: inherited settings at every level that may
// contain them, backend servers, availability zones, client accounts and
// agreements.
const SettingsSchema& FleetSchema();

// Schema of the process settings file.
const SettingsSchema& ProcessSchema();

// Returns the text of docs/settings.md.
std::string MakeSettingsReference();

}  // namespace dogwood
