#pragma once

#include <string>
#include <vector>

#include "Libraries/Balancing/balancing.h"

namespace dogwood {

inline const ServiceId kTracking("tracking");
inline const ZoneId kPalermo("palermo");
inline const ZoneId kCatania("catania");
inline const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

inline ServerRegistration MakeServer(const std::string& id,
                                     const ZoneId& zone = kPalermo) {
  ServerRegistration registration;
  registration.id = ServerId(id);
  registration.service = kTracking;
  registration.zone = zone;
  registration.address = "127.0.0.1:9000";
  registration.slots = 6;
  registration.started_at_ms = 1;
  return registration;
}

// The query refers to the service.
inline ServerSelectionQuery MakeQuery(const ServiceId& service = kTracking) {
  ServerSelectionQuery query{service};
  query.typical_service_time = std::chrono::milliseconds(90);
  query.latency_goal = std::chrono::milliseconds(250);
  query.latency_goal_time_left = std::chrono::milliseconds(250);
  query.time_left = std::chrono::milliseconds(1000);
  return query;
}

inline void ReportIdle(ServerTable& table, const std::string& id, TimePoint now,
                       double slowdown = 1) {
  table.OnReport(ServerKeyOf(ServerId(id)), ReportSource::kHealthCheck,
                 {0, slowdown}, Duration::zero(), now);
}

inline constexpr auto kColdUseAllowed = [](const BackendServerState&) {
  return true;
};
inline constexpr auto kColdUseForbidden = [](const BackendServerState&) {
  return false;
};

}  // namespace dogwood
