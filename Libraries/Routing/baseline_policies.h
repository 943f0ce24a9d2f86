#pragma once

#include <concepts>
#include <cstdint>
#include <random>
#include <vector>

#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Policies without limits or shared state, for comparison: each picks a backend
// server from this host's own requests in flight, at least one server.
template <typename Policy>
concept BaselinePolicy = requires(Policy policy,
                                  const std::vector<std::uint32_t>& in_flight,
                                  std::mt19937_64& engine) {
  { policy.Pick(in_flight, engine) } -> std::same_as<ServerIndex>;
};

class RoundRobin {
 public:
  explicit RoundRobin(ServerIndex first = 0) : next_(first) {}

  ServerIndex Pick(const std::vector<std::uint32_t>& in_flight,
                   std::mt19937_64&) {
    return next_++ % static_cast<ServerIndex>(in_flight.size());
  }

 private:
  ServerIndex next_;
};

class RandomChoice {
 public:
  ServerIndex Pick(const std::vector<std::uint32_t>& in_flight,
                   std::mt19937_64& engine) {
    return static_cast<ServerIndex>(engine() % in_flight.size());
  }
};

// The less loaded of two servers drawn at random.
class TwoChoices {
 public:
  ServerIndex Pick(const std::vector<std::uint32_t>& in_flight,
                   std::mt19937_64& engine) {
    const auto first = static_cast<ServerIndex>(engine() % in_flight.size());
    const auto second = static_cast<ServerIndex>(engine() % in_flight.size());
    return in_flight[second] < in_flight[first] ? second : first;
  }
};

static_assert(BaselinePolicy<RoundRobin>);
static_assert(BaselinePolicy<RandomChoice>);
static_assert(BaselinePolicy<TwoChoices>);

}  // namespace dogwood
