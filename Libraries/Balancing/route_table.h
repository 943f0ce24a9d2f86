#pragma once

#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Libraries/Balancing/routing_configuration.h"

namespace dogwood {

// Immutable index of the routes and services of one configuration.
class RouteTable {
 public:
  explicit RouteTable(RoutingConfiguration configuration);
  // The indexes point into the configuration.
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // Returns the route of the host with the longest matching path prefix, or
  // nullptr. `host` may include a port, `target` a query.
  const RouteConfiguration* Match(std::string_view host,
                                  std::string_view target) const;

  const RoutedService* FindService(const ServiceId& service) const;

  // Return nullptr if no account holds the key or has the name.
  const ClientAccount* FindAccountByKey(std::string_view key) const;
  const ClientAccount* FindAccount(const ClientAccountId& name) const;
  // By the hash of the name that hosts use among each other.
  const ClientAccount* FindAccountByHash(std::uint64_t hash) const;
  bool has_accounts() const { return !configuration_.accounts.empty(); }

  SettingsVersion version() const { return configuration_.version; }
  const RequestLimits& limits() const { return configuration_.limits; }
  const std::vector<RoutedService>& services() const {
    return configuration_.services;
  }
  std::size_t route_count() const { return configuration_.routes.size(); }

 private:
  RoutingConfiguration configuration_;
  std::unordered_map<std::string, const RouteConfiguration*>
      routes_;  // by host + path prefix
  std::unordered_map<ServiceId, const RoutedService*> services_;
  // The keys are views of the strings in configuration_.
  std::unordered_map<std::string_view, const ClientAccount*> accounts_by_key_;
  std::unordered_map<ClientAccountId, const ClientAccount*> accounts_;
  std::unordered_map<std::uint64_t, const ClientAccount*> accounts_by_hash_;
};

// Picks a service of the route at random, in proportion to the weights.
template <typename Random>
const ServiceId& SelectService(const RouteConfiguration& route,
                               Random& random) {
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
