// Public header of the Routing library: all placement decisions.
#pragma once

#include "Libraries/Routing/baseline_policies.h"
#include "Libraries/Routing/connection_cap.h"
#include "Libraries/Routing/crash_suspects.h"
#include "Libraries/Routing/party_meter.h"
#include "Libraries/Routing/probe_budget.h"
#include "Libraries/Routing/retry_budget.h"
#include "Libraries/Routing/router_types.h"
#include "Libraries/Routing/service_router.h"
#include "Libraries/Routing/zone_limits.h"
