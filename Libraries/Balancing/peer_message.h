#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "Libraries/Balancing/dispatcher.h"
#include "Libraries/Balancing/gossip_message.h"

namespace dogwood {

// Requests a backend server from the dispatcher of a service. Times are
// relative because the clocks of hosts are not synchronized.
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

// The dispatcher's response: its decision, or kWait while the request is
// queued.
struct PlacementAnswer {
  std::uint64_t number = 0;
  AdmissionVerdict verdict = AdmissionVerdict::kWait;
  std::optional<Placement> placement;
};

// Reports that the attempt of a grant has ended, with the backend server's load
// report if it sent one.
struct PlacementEnd {
  std::uint64_t number = 0;
  ServerKey server;
  AttemptOutcome outcome = AttemptOutcome::kAbandoned;
  std::optional<ReportedLoad> load;
  // Service time relative to the one expected for the server; 0 when unknown.
  double work_ratio = 0;
  bool was_above_knee = false;
};

// Cancels a request for a backend server.
struct PlacementWithdrawal {
  std::uint64_t number = 0;
};

using PeerMessage = std::variant<FleetDigest, PlacementAsk, PlacementAnswer,
                                 PlacementEnd, PlacementWithdrawal>;

std::vector<std::uint8_t> EncodeMessage(const PeerMessage& message);

// Fails with kProtocol on malformed bytes or another format version.
Result<PeerMessage> DecodeMessage(std::span<const std::uint8_t> bytes);

}  // namespace dogwood
