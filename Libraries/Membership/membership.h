#pragma once

#include "Libraries/Membership/gossip_queue.h"
#include "Libraries/Membership/member.h"
#include "Libraries/Membership/member_messages.h"
#include "Libraries/Membership/member_table.h"
