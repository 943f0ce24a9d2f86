#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Whether a request may be handed to a backend server more than once.
enum class Repeatability { kRepeatable, kOnce };

struct WeightedService {
  ServiceId service;
  double weight = 1;  // relative share of the route's requests
};

struct RouteEntry {
  std::string name;
  std::string host;         // lower case, without a port
  std::string path_prefix;  // begins and ends with a slash
  Repeatability repeatability = Repeatability::kOnce;
  bool has_large_bodies = false;
  std::vector<WeightedService> services;  // one, or the parts of a split
  unsigned most_servers = 1;  // backend servers one request may be sent to
  std::optional<Duration> timeout;  // longest time until the final answer
  Duration latency_goal = std::chrono::seconds(1);
  unsigned priority = 0;  // 0 is the most urgent
};

struct ServiceEntry {
  ServiceId name;
  std::string health_path = "/health";
  unsigned most_connections = 1;  // per backend server, of all hosts together
  double cold_rate = 1;           // requests a second that a cold server bears
};

// What callers may send and how long they may take.
struct CallerLimits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = std::size_t{64} << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// One complete configuration of the operators.
struct FleetPolicy {
  SettingsVersion version;
  std::vector<RouteEntry> routes;
  std::vector<ServiceEntry> services;
  CallerLimits limits;
};

enum class ServerPhase { kReady, kDraining };

// What a backend server registered about itself.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  ZoneId zone;
  std::string address;  // IP:PORT
  unsigned slots = 1;   // requests it works on concurrently
  ServerPhase phase = ServerPhase::kReady;
  Duration cold_left{};             // time until it bears full load
  std::uint64_t started_at_ms = 0;  // Unix time of its start, 0 if unknown
  std::uint64_t sequence = 0;       // rises with each report of one start

  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

}  // namespace dogwood
