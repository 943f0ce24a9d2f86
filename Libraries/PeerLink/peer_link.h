#pragma once

#include "Libraries/PeerLink/message_codec.h"
#include "Libraries/PeerLink/peer_client.h"
#include "Libraries/PeerLink/peer_server.h"
#include "Libraries/PeerLink/peer_traffic_counters.h"
