#include "Libraries/Balancing/route_table.h"

#include <algorithm>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {
namespace {

std::string NormalizedHost(std::string_view host) {
  // Strips the port. A colon before a closing bracket belongs to an IPv6
  // address.
  if (const std::size_t colon = host.rfind(':');
      colon != std::string_view::npos && host.find(']', colon) == host.npos) {
    host = host.substr(0, colon);
  }
  std::string normalized(host);
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char letter) {
                   return static_cast<char>(std::tolower(letter));
                 });
  return normalized;
}

}  // namespace

RouteTable::RouteTable(RoutingConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (const RouteConfiguration& route : configuration_.routes)
    routes_[route.host + route.path_prefix] = &route;
  for (const RoutedService& service : configuration_.services)
    services_[service.name] = &service;
  for (const ClientAccount& account : configuration_.accounts) {
    accounts_[account.name] = &account;
    accounts_by_hash_[HashName(account.name.value())] = &account;
    for (const std::string& key : account.keys)
      accounts_by_key_[key] = &account;
  }
}

const RouteConfiguration* RouteTable::Match(std::string_view host,
                                            std::string_view target) const {
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  std::string key = NormalizedHost(host);
  const std::size_t host_length = key.size();
  key.append(path);
  // Path prefixes end with a slash, so only these positions can match.
  for (std::size_t slash = key.rfind('/');
       slash != std::string::npos && slash >= host_length;
       slash = slash == 0 ? std::string::npos : key.rfind('/', slash - 1)) {
    key.resize(slash + 1);
    if (const auto found = routes_.find(key); found != routes_.end())
      return found->second;
  }
  return nullptr;
}

const ClientAccount* RouteTable::FindAccountByKey(std::string_view key) const {
  const auto found = accounts_by_key_.find(key);
  return found == accounts_by_key_.end() ? nullptr : found->second;
}

const ClientAccount* RouteTable::FindAccount(
    const ClientAccountId& name) const {
  const auto found = accounts_.find(name);
  return found == accounts_.end() ? nullptr : found->second;
}

const ClientAccount* RouteTable::FindAccountByHash(std::uint64_t hash) const {
  const auto found = accounts_by_hash_.find(hash);
  return found == accounts_by_hash_.end() ? nullptr : found->second;
}

const RoutedService* RouteTable::FindService(const ServiceId& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace dogwood
