// Public header of the Balancing library: load balancing, admission control
// and gossiped state of backend servers and entry hosts. Does no I/O and reads
// no clock.
#pragma once

#include "Libraries/Balancing/access_control.h"
#include "Libraries/Balancing/account_quota.h"
#include "Libraries/Balancing/admission_control.h"
#include "Libraries/Balancing/backend_server_state.h"
#include "Libraries/Balancing/dispatch_request.h"
#include "Libraries/Balancing/dispatcher.h"
#include "Libraries/Balancing/gossip_message.h"
#include "Libraries/Balancing/host_retry_budget.h"
#include "Libraries/Balancing/key_lease.h"
#include "Libraries/Balancing/peer_candidates.h"
#include "Libraries/Balancing/peer_message.h"
#include "Libraries/Balancing/peer_table.h"
#include "Libraries/Balancing/request_order.h"
#include "Libraries/Balancing/rollout.h"
#include "Libraries/Balancing/rollout_rule.h"
#include "Libraries/Balancing/route_table.h"
#include "Libraries/Balancing/routing_configuration.h"
#include "Libraries/Balancing/server_table.h"
#include "Libraries/Balancing/store_backoff.h"
#include "Libraries/Balancing/token_bucket.h"
