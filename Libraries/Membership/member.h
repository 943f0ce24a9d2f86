#pragma once

#include <string>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class MemberState { kAlive, kSuspect, kLeaving };

// Another entry host as this host sees it; removed hosts are not members.
struct Member {
  HostId host;
  ZoneId zone;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  std::string peer_address;  // IP:PORT

  friend bool operator==(const Member&, const Member&) = default;
};

// Address from the platform's host list, pinged to join or to rejoin the group.
// The list lags behind, so an entry does not mean that the host is alive.
struct Contact {
  HostId host;               // empty if only the address is known
  std::string peer_address;  // IP:PORT
};

}  // namespace dogwood
