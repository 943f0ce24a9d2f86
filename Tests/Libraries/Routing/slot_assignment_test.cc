#include "Libraries/Routing/slot_assignment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {
namespace {

std::vector<AssignableSlot> MakeSlots(std::uint32_t servers) {
  std::vector<AssignableSlot> slots;
  for (std::uint32_t server = 0; server < servers; ++server) {
    const std::uint64_t hash = HashName("server-" + std::to_string(server));
    for (std::uint32_t slot = 0; slot < 6; ++slot)
      slots.push_back({hash, slot});
  }
  return slots;
}

std::vector<AssignableHost> MakeHosts(std::uint32_t count) {
  std::vector<AssignableHost> hosts;
  for (std::uint32_t host = 0; host < count; ++host) {
    hosts.push_back({HashName("host-" + std::to_string(host)), host});
  }
  return hosts;
}

// Guards against hosts with few slots, which borrow for most requests.
TEST_CASE("No host owns more than an equal share, rounded up") {
  for (const std::uint32_t hosts : {1U, 2U, 7U, 18U, 54U}) {
    std::map<HostIndex, std::size_t> load;
    for (const HostIndex owner : AssignSlots(MakeSlots(30), MakeHosts(hosts))) {
      ++load[owner];
    }
    for (const auto& [host, count] : load)
      CHECK(count <= (180 + hosts - 1) / hosts);
  }
}

// Guards against hosts that compute different owners from the same fleet.
TEST_CASE("Owners do not depend on the order of slots and hosts") {
  auto slots = MakeSlots(30);
  auto hosts = MakeHosts(18);
  const auto owners = AssignSlots(slots, hosts);
  std::reverse(slots.begin(), slots.end());
  std::reverse(hosts.begin(), hosts.end());
  auto reversed = AssignSlots(slots, hosts);
  std::reverse(reversed.begin(), reversed.end());
  CHECK(owners == reversed);
}

// Guards against reassigning most slots when one host changes.
TEST_CASE("The loss of one of 18 hosts moves less than a third of the slots") {
  const auto before = AssignSlots(MakeSlots(30), MakeHosts(18));
  const auto after = AssignSlots(MakeSlots(30), MakeHosts(17));
  std::size_t moved = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != after[i]) ++moved;
  }
  CHECK(moved >= 10);
  CHECK(moved < 60);
}

TEST_CASE("Without hosts no slot has an owner") {
  const auto owners = AssignSlots(MakeSlots(1), {});
  CHECK(std::count(owners.begin(), owners.end(), kInvalidIndex) == 6);
}

}  // namespace
}  // namespace dogwood
