#include "Libraries/Membership/member_messages.h"

#include <nlohmann/json.hpp>
#include <tuple>

namespace dogwood {
namespace {

using nlohmann::json;

// Field names are one letter because every ping carries them: at 8 exchanges a
// second each spared byte is 16 bytes a second of the budget of a host.
constexpr const char* kRefutations = "c";
constexpr const char* kLeaving = "l";
constexpr const char* kJoining = "j";
constexpr const char* kUnknown = "u";
constexpr const char* kDigest = "d";
constexpr const char* kChanges = "m";
constexpr const char* kTarget = "t";
constexpr const char* kAddress = "a";

constexpr std::size_t kRecordFields = 6;
// Array head, incarnation, counter, state and three string heads of one or two
// bytes.
constexpr std::size_t kRecordOverheadBytes = 1 + 9 + 5 + 1 + 3 * 2;

json RecordToJson(const MemberRecord& record) {
  return json::array({record.host.value(), record.zone.value(),
                      record.peer_address, record.incarnation.value(),
                      record.refutations, static_cast<unsigned>(record.state)});
}

Result<std::uint64_t> ParseUnsigned(const json& value, std::uint64_t limit) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > limit)
    return Fail(ErrorCode::kProtocol, "a member message holds a bad number");
  return value.get<std::uint64_t>();
}

Result<std::string> ParseText(const json& value) {
  if (!value.is_string())
    return Fail(ErrorCode::kProtocol, "a member message holds a bad text");
  return value.get<std::string>();
}

Result<MemberRecord> ParseRecord(const json& value) {
  if (!value.is_array() || value.size() < kRecordFields)
    return Fail(ErrorCode::kProtocol, "a member record has missing fields");
  MemberRecord record;
  TRY_ASSIGN(std::string host, ParseText(value[0]));
  TRY_ASSIGN(std::string zone, ParseText(value[1]));
  TRY_ASSIGN(record.peer_address, ParseText(value[2]));
  TRY_ASSIGN(const std::uint64_t incarnation,
             ParseUnsigned(value[3], UINT64_MAX));
  TRY_ASSIGN(const std::uint64_t refutations,
             ParseUnsigned(value[4], UINT32_MAX));
  TRY_ASSIGN(const std::uint64_t state,
             ParseUnsigned(value[5],
                           static_cast<std::uint64_t>(RumourState::kRemoved)));
  if (host.empty())
    return Fail(ErrorCode::kProtocol, "a member record has no host");
  record.host = HostId(std::move(host));
  record.zone = ZoneId(std::move(zone));
  record.incarnation = Incarnation(incarnation);
  record.refutations = static_cast<std::uint32_t>(refutations);
  record.state = static_cast<RumourState>(state);
  return record;
}

Result<std::vector<MemberRecord>> ParseChanges(const json& body) {
  std::vector<MemberRecord> changes;
  const auto found = body.find(kChanges);
  if (found == body.end()) return changes;
  if (!found->is_array())
    return Fail(ErrorCode::kProtocol, "member changes are not an array");
  for (const json& value : *found) {
    TRY_ASSIGN(MemberRecord record, ParseRecord(value));
    changes.push_back(std::move(record));
  }
  return changes;
}

Result<std::uint32_t> ParseCount(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end()) return 0U;
  TRY_ASSIGN(const std::uint64_t count, ParseUnsigned(*found, UINT32_MAX));
  return static_cast<std::uint32_t>(count);
}

// Flags are present or absent; their value does not matter.
template <typename Message>
json CommonToJson(const Message& message) {
  json body = json::object();
  if (message.refutations != 0) body[kRefutations] = message.refutations;
  if (message.is_leaving) body[kLeaving] = 1;
  body[kDigest] = message.digest;
  if (!message.changes.empty()) {
    json& changes = body[kChanges] = json::array();
    for (const MemberRecord& record : message.changes)
      changes.push_back(RecordToJson(record));
  }
  return body;
}

template <typename Message>
Result<Message> ParseCommon(const json& body) {
  if (!body.is_object())
    return Fail(ErrorCode::kProtocol, "a member message is not a map");
  Message message;
  TRY_ASSIGN(message.refutations, ParseCount(body, kRefutations));
  TRY_ASSIGN(message.digest, ParseCount(body, kDigest));
  TRY_ASSIGN(message.changes, ParseChanges(body));
  message.is_leaving = body.contains(kLeaving);
  return message;
}

}  // namespace

bool IsLaterLife(const MemberRecord& left, const MemberRecord& right) {
  return std::tie(left.incarnation, left.refutations) >
         std::tie(right.incarnation, right.refutations);
}

bool IsNewer(const MemberRecord& left, const MemberRecord& right) {
  return std::tie(left.incarnation, left.refutations, left.state) >
         std::tie(right.incarnation, right.refutations, right.state);
}

std::size_t EncodedSize(const MemberRecord& record) {
  return kRecordOverheadBytes + record.host.value().size() +
         record.zone.value().size() + record.peer_address.size();
}

json ToJson(const Ping& ping) {
  json body = CommonToJson(ping);
  if (ping.is_joining) body[kJoining] = 1;
  return body;
}

json ToJson(const Ack& ack) {
  json body = CommonToJson(ack);
  if (ack.is_unknown) body[kUnknown] = 1;
  return body;
}

json ToJson(const PingRequest& request) {
  return {{kTarget, request.target.value()}, {kAddress, request.peer_address}};
}

Result<Ping> ParsePing(const json& body) {
  TRY_ASSIGN(Ping ping, ParseCommon<Ping>(body));
  ping.is_joining = body.contains(kJoining);
  return ping;
}

Result<Ack> ParseAck(const json& body) {
  TRY_ASSIGN(Ack ack, ParseCommon<Ack>(body));
  ack.is_unknown = body.contains(kUnknown);
  return ack;
}

Result<PingRequest> ParsePingRequest(const json& body) {
  if (!body.is_object() || !body.contains(kTarget) || !body.contains(kAddress))
    return Fail(ErrorCode::kProtocol, "a ping request has missing fields");
  PingRequest request;
  TRY_ASSIGN(std::string target, ParseText(body[kTarget]));
  TRY_ASSIGN(request.peer_address, ParseText(body[kAddress]));
  request.target = HostId(std::move(target));
  return request;
}

}  // namespace dogwood
