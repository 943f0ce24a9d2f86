#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Membership/member.h"

namespace dogwood {

// State of a host in a gossiped record. Of two records with the same
// incarnation and refutation count, the one with the greater state wins. The
// values are part of the message format.
enum class RecordState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,
  kLeaving = 2,
  kLeavingSuspect = 3,
  kRemoved = 4,
};

// Gossiped state of one host.
struct MemberRecord {
  HostId host;
  ZoneId zone;
  std::string peer_address;
  Incarnation incarnation;
  std::uint32_t refutation_count = 0;  // incremented only by the host itself
  RecordState state = RecordState::kAlive;

  bool is_suspect() const {
    return state == RecordState::kSuspect ||
           state == RecordState::kLeavingSuspect;
  }
  bool is_leaving() const {
    return state == RecordState::kLeaving ||
           state == RecordState::kLeavingSuspect;
  }

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// Whether `left` replaces `right`, a record of the same host.
bool IsNewer(const MemberRecord& left, const MemberRecord& right);
// Compares incarnation and refutation count only.
bool IsNewerIgnoringState(const MemberRecord& left, const MemberRecord& right);

// Upper bound of the CBOR size of a record in bytes, exceeding it by a few
// bytes at most.
std::size_t EncodedSizeBound(const MemberRecord& record);

// The envelope of the message holds the sender and its incarnation.
struct Ping {
  std::uint32_t refutation_count = 0;
  bool is_leaving = false;
  bool is_joining = false;   // requests the receiver's member table
  std::uint32_t digest = 0;  // of the sender's member table
  std::vector<MemberRecord> changes;
};

struct Ack {
  std::uint32_t refutation_count = 0;
  bool is_leaving = false;
  bool is_sender_unknown = false;  // the pinged host does not list the sender
  std::uint32_t digest = 0;
  std::vector<MemberRecord> changes;
};

// Indirect ping: asks the receiver to ping `target` and report the outcome.
struct PingRequest {
  HostId target;
  std::string peer_address;
};

nlohmann::json ToJson(const Ping& ping);
nlohmann::json ToJson(const Ack& ack);
nlohmann::json ToJson(const PingRequest& request);

// Fail with kProtocol if a field is missing or has the wrong type. Unknown
// fields are ignored.
Result<Ping> ParsePing(const nlohmann::json& body);
Result<Ack> ParseAck(const nlohmann::json& body);
Result<PingRequest> ParsePingRequest(const nlohmann::json& body);

}  // namespace dogwood
