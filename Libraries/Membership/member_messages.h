#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Membership/member.h"

namespace dogwood {

// State of a host in a rumour. Of two rumours with equal incarnation and
// refutation counter the one with the greater state wins.
enum class RumourState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,
  kLeaving = 2,
  kLeavingSuspect = 3,
  kRemoved = 4,
};

// What one host knows about another.
struct MemberRecord {
  HostId host;
  ZoneId zone;
  std::string peer_address;
  Incarnation incarnation;
  std::uint32_t refutations = 0;  // raised by the host itself only
  RumourState state = RumourState::kAlive;

  bool is_suspect() const {
    return state == RumourState::kSuspect ||
           state == RumourState::kLeavingSuspect;
  }
  bool is_leaving() const {
    return state == RumourState::kLeaving ||
           state == RumourState::kLeavingSuspect;
  }

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// True when `left` replaces `right` about the same host.
bool IsNewer(const MemberRecord& left, const MemberRecord& right);
// As IsNewer, without regard to the state.
bool IsLaterLife(const MemberRecord& left, const MemberRecord& right);

// Size of a record in a message, in bytes; at most a few bytes above the exact
// CBOR size.
std::size_t EncodedSize(const MemberRecord& record);

// The sender and its incarnation are in the envelope of the message.
struct Ping {
  std::uint32_t refutations = 0;
  bool is_leaving = false;
  bool is_joining = false;   // asks for the whole table
  std::uint32_t digest = 0;  // of the sender's view
  std::vector<MemberRecord> changes;
};

struct Ack {
  std::uint32_t refutations = 0;
  bool is_leaving = false;
  bool is_unknown = false;  // the sender of the ping is no member here
  std::uint32_t digest = 0;
  std::vector<MemberRecord> changes;
};

// Asks the receiver to ping `target` and to say whether it answered.
struct PingRequest {
  HostId target;
  std::string peer_address;
};

nlohmann::json ToJson(const Ping& ping);
nlohmann::json ToJson(const Ack& ack);
nlohmann::json ToJson(const PingRequest& request);

// Fail with kProtocol on missing or mistyped fields; unknown fields are
// ignored.
Result<Ping> ParsePing(const nlohmann::json& body);
Result<Ack> ParseAck(const nlohmann::json& body);
Result<PingRequest> ParsePingRequest(const nlohmann::json& body);

}  // namespace dogwood
