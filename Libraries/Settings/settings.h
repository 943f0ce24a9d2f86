// Public header of the Settings library.
#pragma once

#include "Libraries/Settings/fleet_configuration.h"
#include "Libraries/Settings/process_settings.h"
#include "Libraries/Settings/setting_definitions.h"
#include "Libraries/Settings/settings_change.h"
#include "Libraries/Settings/settings_change_log.h"
#include "Libraries/Settings/settings_schema.h"
#include "Libraries/Settings/settings_tree.h"
