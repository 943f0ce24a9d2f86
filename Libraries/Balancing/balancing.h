// Public header of the Balancing library: decisions of the request path on
// shared knowledge of backend servers and entry hosts. No I/O, no clock.
#pragma once

#include "Libraries/Balancing/admission.h"
#include "Libraries/Balancing/contact_book.h"
#include "Libraries/Balancing/dispatcher.h"
#include "Libraries/Balancing/fleet_digest.h"
#include "Libraries/Balancing/fleet_directory.h"
#include "Libraries/Balancing/peer_message.h"
#include "Libraries/Balancing/peer_table.h"
#include "Libraries/Balancing/retry_allowance.h"
#include "Libraries/Balancing/route_table.h"
#include "Libraries/Balancing/server_state.h"
#include "Libraries/Balancing/server_table.h"
#include "Libraries/Balancing/store_backoff.h"
