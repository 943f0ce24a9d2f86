#pragma once

#include <string>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class MemberState { kAlive, kSuspect, kLeaving };

// Another entry host as this host sees it. Removed hosts are not listed.
struct Member {
  HostId host;
  ZoneId zone;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  std::string peer_address;  // IP:PORT

  friend bool operator==(const Member&, const Member&) = default;
};

// An address worth a ping: an entry of the lagging host list. It says nothing
// about whether the host is alive.
struct Contact {
  HostId host;               // empty when only the address is known
  std::string peer_address;  // IP:PORT
};

}  // namespace dogwood
