// Public header of the Settings library.
#pragma once

#include "Libraries/Settings/fleet_configuration.h"
