#pragma once

#include <span>
#include <string>

#include "Libraries/Settings/key_table.h"

namespace dogwood {

// Settings that can be given at the default level and, when `kService`,
// overridden per service, availability zone or party. Paths are relative to the
// level.
struct InheritedKey {
  enum class Reach { kFleet, kService };
  Reach reach = Reach::kService;
  SettingKey key;
};

std::span<const InheritedKey> InheritedKeys();
const InheritedKey* FindInheritedKey(std::string_view path);

// All keys of the fleet configuration: inherited settings at each level they
// are allowed at, servers, availability zones, parties and agreements.
const KeyTable& FleetKeys();

// Keys of the process settings file.
const KeyTable& ProcessKeys();

// The text of docs/settings.md.
std::string SettingsReference();

}  // namespace dogwood
