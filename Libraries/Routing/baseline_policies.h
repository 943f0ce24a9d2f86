#pragma once

#include <concepts>
#include <cstdint>
#include <random>
#include <vector>

#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Load-balancing policies without concurrency limits or shared state, used as
// baselines in benchmarks. Pick selects a backend server from this host's
// in-flight request counts, one per server; the vector must not be empty.
template <typename Policy>
concept BaselinePolicy = requires(Policy policy,
                                  const std::vector<std::uint32_t>& in_flight,
                                  std::mt19937_64& engine) {
  { policy.Pick(in_flight, engine) } -> std::same_as<ServerIndex>;
};

class RoundRobinPolicy {
 public:
  explicit RoundRobinPolicy(ServerIndex first = 0) : next_(first) {}

  ServerIndex Pick(const std::vector<std::uint32_t>& in_flight,
                   std::mt19937_64&) {
    return next_++ % static_cast<ServerIndex>(in_flight.size());
  }

 private:
  ServerIndex next_;
};

class RandomPolicy {
 public:
  ServerIndex Pick(const std::vector<std::uint32_t>& in_flight,
                   std::mt19937_64& engine) {
    return static_cast<ServerIndex>(engine() % in_flight.size());
  }
};

// Power of two choices: the less loaded of two randomly drawn servers.
class PowerOfTwoChoicesPolicy {
 public:
  ServerIndex Pick(const std::vector<std::uint32_t>& in_flight,
                   std::mt19937_64& engine) {
    const auto first = static_cast<ServerIndex>(engine() % in_flight.size());
    const auto second = static_cast<ServerIndex>(engine() % in_flight.size());
    return in_flight[second] < in_flight[first] ? second : first;
  }
};

static_assert(BaselinePolicy<RoundRobinPolicy>);
static_assert(BaselinePolicy<RandomPolicy>);
static_assert(BaselinePolicy<PowerOfTwoChoicesPolicy>);

}  // namespace dogwood
