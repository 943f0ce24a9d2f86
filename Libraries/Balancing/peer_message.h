#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "Libraries/Balancing/dispatcher.h"
#include "Libraries/Balancing/gossip_message.h"
#include "Libraries/Balancing/rollout.h"
#include "Libraries/Routing/poison_request_detector.h"

namespace dogwood {

// Requests a backend server from the dispatcher of a service. Times are
// relative because the clocks of hosts are not synchronized.
struct SelectionRequest {
  std::uint64_t request_number = 0;
  ServiceId service;
  unsigned priority = 0;
  Duration typical_service_time{};
  Duration latency_goal{};
  Duration latency_goal_time_left{};
  Duration time_left{};
  std::size_t body_bytes = 0;
  std::vector<ServerKey> excluded;
  bool is_hedge = false;
  RetrySafety retry_safety = RetrySafety::kRetryable;
  std::uint64_t account = 0;  // see DispatchRequest
};

// The dispatcher's response: its decision, or kWait while the request is
// queued.
struct SelectionResponse {
  std::uint64_t request_number = 0;
  AdmissionDecision admission = AdmissionDecision::kWait;
  std::optional<ServerSelection> selection;
};

// Reports that the attempt of a grant has ended, with the backend server's load
// report if it sent one.
struct SelectionCompletion {
  std::uint64_t request_number = 0;
  ServerKey server;
  AttemptOutcome outcome = AttemptOutcome::kAbandoned;
  std::optional<ReportedLoad> load;
  // Service time relative to the one expected for the server; 0 when unknown.
  double service_time_ratio = 0;
  bool was_above_knee = false;
  // From the backend server's response; absent if there was none.
  std::optional<ServerDirectives> directives;
};

// Cancels a request for a backend server.
struct SelectionCancellation {
  std::uint64_t request_number = 0;
};

// Requests suspected of crashing backend servers.
struct SuspectMessage {
  std::vector<SuspectRecord> records;
};

// Asks for a token of a client account's quota.
struct QuotaRequest {
  std::uint64_t request_number = 0;
  std::uint64_t account = 0;  // hash of its name
  // The host that should grant it did not answer.
  bool is_backup = false;
};

struct QuotaResponse {
  std::uint64_t request_number = 0;
  bool is_known = false;  // the configuration in force has the account
  bool is_granted = false;
  Duration retry_after{};  // until the account has room
};

// Gives a token back whose request did not run.
struct QuotaReturn {
  std::uint64_t account = 0;
};

// What the dispatcher of a service saw of a roll-out, for the host that
// decides.
struct RolloutReport {
  ServiceId service;
  std::uint64_t order_number = 0;
  RolloutEvidence evidence;
};

// The phase of a roll-out, from the host that decides it, directly or passed on
// by the dispatcher of a zone. It holds until it is `kHoldTime` old.
struct RolloutStatus {
  ServiceId service;
  std::uint64_t order_number = 0;
  RolloutPhase phase = RolloutPhase::kHold;
  Duration age{};  // since the host that decides said so
};

using PeerMessage =
    std::variant<GossipMessage, SelectionRequest, SelectionResponse,
                 SelectionCompletion, SelectionCancellation, SuspectMessage,
                 QuotaRequest, QuotaResponse, QuotaReturn, RolloutReport,
                 RolloutStatus>;

// Calls `visit` with each server key of the message.
void ForEachServerKey(PeerMessage& message,
                      const std::function<void(ServerKey&)>& visit);

std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message);

// Fails with kProtocol on malformed bytes or another format version.
Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> bytes);

}  // namespace dogwood
