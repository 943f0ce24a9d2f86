#pragma once

#include "Libraries/PeerLink/link_counters.h"
#include "Libraries/PeerLink/message_codec.h"
#include "Libraries/PeerLink/peer_client.h"
#include "Libraries/PeerLink/peer_server.h"
