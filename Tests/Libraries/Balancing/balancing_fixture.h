#pragma once

#include <string>
#include <vector>

#include "Libraries/Balancing/balancing.h"

namespace dogwood {

inline const ServiceId kTracking("tracking");
inline const ZoneId kPalermo("palermo");
inline const ZoneId kCatania("catania");
inline const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

inline ServerEntry MakeServer(const std::string& id,
                              const ZoneId& zone = kPalermo) {
  ServerEntry entry;
  entry.id = ServerId(id);
  entry.service = kTracking;
  entry.zone = zone;
  entry.address = "127.0.0.1:9000";
  entry.slots = 6;
  entry.started_at_ms = 1;
  return entry;
}

inline PlacementQuery MakeQuery() {
  PlacementQuery query{kTracking};
  query.usual_work = std::chrono::milliseconds(90);
  query.goal = std::chrono::milliseconds(250);
  query.goal_left = std::chrono::milliseconds(250);
  query.time_left = std::chrono::milliseconds(1000);
  return query;
}

inline void ReportIdle(ServerTable& table, const std::string& id, TimePoint now,
                       double slowdown = 1) {
  table.OnReport(KeyOf(ServerId(id)), ReportSource::kHealthCheck, {0, slowdown},
                 Duration::zero(), now);
}

inline constexpr auto kColdUseAllowed = [](const ServerState&) { return true; };
inline constexpr auto kColdUseForbidden = [](const ServerState&) {
  return false;
};

}  // namespace dogwood
