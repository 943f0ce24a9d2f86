// Public header of the Routing library: all placement decisions.
#pragma once

#include "Libraries/Routing/router_types.h"
#include "Libraries/Routing/service_router.h"
