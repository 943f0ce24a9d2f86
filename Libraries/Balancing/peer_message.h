#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "Libraries/Balancing/dispatcher.h"
#include "Libraries/Balancing/fleet_digest.h"

namespace dogwood {

// Asks the dispatcher of a service for a backend server. Times are relative, as
// hosts have no common clock.
struct PlacementAsk {
  std::uint64_t number = 0;
  ServiceId service;
  unsigned priority = 0;
  Duration usual_work{};
  Duration goal{};
  Duration goal_left{};
  Duration time_left{};
  std::size_t body_bytes = 0;
  std::vector<ServerKey> excluded;
  bool is_hedge = false;
  Repeatability repeatability = Repeatability::kRepeatable;
};

// The dispatcher's answer: the decision, or that the request waits.
struct PlacementAnswer {
  std::uint64_t number = 0;
  AdmissionVerdict verdict = AdmissionVerdict::kWait;
  std::optional<Placement> placement;
};

// The work of a grant has ended, with what the backend server told.
struct PlacementEnd {
  std::uint64_t number = 0;
  ServerKey server;
  AttemptOutcome outcome = AttemptOutcome::kAbandoned;
  std::optional<ReportedLoad> load;
  // Duration of the work relative to what was expected at the usual speed of
  // the server; 0 when unknown.
  double work_ratio = 0;
  bool was_above_knee = false;
};

// The host no longer needs an answer.
struct PlacementWithdrawal {
  std::uint64_t number = 0;
};

using PeerMessage = std::variant<FleetDigest, PlacementAsk, PlacementAnswer,
                                 PlacementEnd, PlacementWithdrawal>;

std::vector<std::uint8_t> EncodeMessage(const PeerMessage& message);

// Fails with kProtocol on bytes that are no message of this version.
Result<PeerMessage> DecodeMessage(std::span<const std::uint8_t> bytes);

}  // namespace dogwood
