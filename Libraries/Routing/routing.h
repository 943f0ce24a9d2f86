// Public header of the Routing library, which decides the backend server of
// each request.
#pragma once

#include "Libraries/Routing/baseline_policies.h"
#include "Libraries/Routing/client_account_rate_meter.h"
#include "Libraries/Routing/connection_limit.h"
#include "Libraries/Routing/poison_request_detector.h"
#include "Libraries/Routing/probe_rate_limiter.h"
#include "Libraries/Routing/request_fingerprint.h"
#include "Libraries/Routing/retry_budget.h"
#include "Libraries/Routing/router_types.h"
#include "Libraries/Routing/service_router.h"
#include "Libraries/Routing/zone_slot_limits.h"
