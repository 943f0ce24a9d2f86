#pragma once

#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Libraries/Balancing/fleet_directory.h"

namespace dogwood {

// Immutable index of the routes and services of one configuration.
class RouteTable {
 public:
  explicit RouteTable(FleetPolicy policy);

  // Returns the route of the host with the longest matching path prefix, or
  // nullptr. `host` may include a port, `target` a query.
  const RouteEntry* Match(std::string_view host, std::string_view target) const;

  const ServiceEntry* FindService(const ServiceId& service) const;

  SettingsVersion version() const { return policy_.version; }
  const CallerLimits& limits() const { return policy_.limits; }
  const std::vector<ServiceEntry>& services() const { return policy_.services; }
  std::size_t route_count() const { return policy_.routes.size(); }

 private:
  FleetPolicy policy_;
  std::unordered_map<std::string, const RouteEntry*>
      routes_;  // by host + path prefix
  std::unordered_map<ServiceId, const ServiceEntry*> services_;
};

// Picks a service of the route at random, in proportion to the weights.
template <typename Random>
const ServiceId& PickService(const RouteEntry& route, Random& random) {
  double sum = 0;
  for (const WeightedService& part : route.services) sum += part.weight;
  double point = std::uniform_real_distribution<double>(0, sum)(random);
  for (const WeightedService& part : route.services) {
    point -= part.weight;
    if (point < 0) return part.service;
  }
  return route.services.back().service;
}

}  // namespace dogwood
