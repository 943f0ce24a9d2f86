#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Whether a request may be sent to backend servers more than once.
enum class RetrySafety { kRetryable, kNonRetryable };

struct WeightedService {
  ServiceId service;
  double weight = 1;  // relative share of the route's requests
};

// Account of a client organization, which sends requests with one of its keys.
struct ClientAccount {
  ClientAccountId name;
  std::vector<std::string> keys;
  std::optional<unsigned> priority;  // replaces the priority of routes
  // Quota over all hosts; a rate of 0 is no limit.
  double rate_per_second = 0;
  double burst = 0;  // requests beyond the rate
};

struct RouteConfiguration {
  std::string name;
  std::string host;         // lower case, without a port
  std::string path_prefix;  // begins and ends with a slash
  RetrySafety retry_safety = RetrySafety::kNonRetryable;
  bool has_large_bodies = false;
  std::vector<WeightedService> services;  // more than one: a weighted split
  unsigned max_attempts = 1;              // attempts per request
  std::optional<Duration> timeout;        // until the final response
  Duration latency_goal = std::chrono::seconds(1);
  unsigned priority = 0;   // 0 is the most urgent
  bool is_public = false;  // requests need no key of a client account
};

struct RoutedService {
  ServiceId name;
  std::string health_path = "/health";
  unsigned max_connections = 1;  // per backend server, fleet-wide
  double cold_request_rate = 1;  // requests per second to a cold server
};

// Size and time limits for requests of callers.
struct RequestLimits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = std::size_t{64} << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// One version of the routing configuration.
struct RoutingConfiguration {
  SettingsVersion version;
  std::vector<RouteConfiguration> routes;
  std::vector<RoutedService> services;
  // When there are any, requests need a key unless their route is public.
  std::vector<ClientAccount> accounts;
  RequestLimits limits;
};

enum class ServerAvailability { kReady, kDraining };

// Registration record of a backend server.
struct ServerRegistration {
  ServerId id;
  ServiceId service;
  ZoneId zone;
  std::string address;  // IP:PORT
  std::string version;  // of the server's software
  unsigned slots = 1;   // concurrent requests
  ServerAvailability availability = ServerAvailability::kReady;
  Duration cold_left{};             // remaining warm-up time
  std::uint64_t started_at_ms = 0;  // Unix start time, 0 if unknown
  std::uint64_t sequence = 0;       // increases with each report of one process

  friend bool operator==(const ServerRegistration&,
                         const ServerRegistration&) = default;
};

}  // namespace dogwood
