#include "Libraries/Membership/member_messages.h"

#include <nlohmann/json.hpp>
#include <tuple>

namespace dogwood {
namespace {

using nlohmann::json;

// Every ping carries the field names. At 8 pings and acknowledgements a second
// one byte of a name costs a host 16 bytes a second.
constexpr const char* kRefutationCountField = "c";
constexpr const char* kLeavingField = "l";
constexpr const char* kJoiningField = "j";
constexpr const char* kSenderUnknownField = "u";
constexpr const char* kDigestField = "d";
constexpr const char* kChangesField = "m";
constexpr const char* kTargetField = "t";
constexpr const char* kAddressField = "a";

constexpr std::size_t kRecordFieldCount = 6;
// Array head, incarnation, refutation count, state, and the heads of three
// strings with one or two bytes each.
constexpr std::size_t kRecordOverheadBytes = 1 + 9 + 5 + 1 + 3 * 2;

// Array of host, zone, address, incarnation, refutation count and state.
json RecordToJson(const MemberRecord& record) {
  return json::array({record.host.value(), record.zone.value(),
                      record.peer_address, record.incarnation.value(),
                      record.refutation_count,
                      static_cast<unsigned>(record.state)});
}

Result<std::uint64_t> ParseUnsigned(const json& value, std::uint64_t maximum) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum)
    return Fail(ErrorCode::kProtocol,
                "a number in a member message is not an integer from 0 to " +
                    std::to_string(maximum));
  return value.get<std::uint64_t>();
}

Result<std::string> ParseString(const json& value) {
  if (!value.is_string())
    return Fail(ErrorCode::kProtocol,
                "a field of a member message is not a string");
  return value.get<std::string>();
}

Result<MemberRecord> ParseRecord(const json& value) {
  if (!value.is_array() || value.size() < kRecordFieldCount)
    return Fail(ErrorCode::kProtocol, "a member record has fewer than " +
                                          std::to_string(kRecordFieldCount) +
                                          " fields");
  MemberRecord record;
  TRY_ASSIGN(std::string host, ParseString(value[0]));
  TRY_ASSIGN(std::string zone, ParseString(value[1]));
  TRY_ASSIGN(record.peer_address, ParseString(value[2]));
  TRY_ASSIGN(const std::uint64_t incarnation,
             ParseUnsigned(value[3], UINT64_MAX));
  TRY_ASSIGN(const std::uint64_t refutation_count,
             ParseUnsigned(value[4], UINT32_MAX));
  TRY_ASSIGN(const std::uint64_t state,
             ParseUnsigned(value[5],
                           static_cast<std::uint64_t>(RecordState::kRemoved)));
  if (host.empty())
    return Fail(ErrorCode::kProtocol, "the host of a member record is empty");
  record.host = HostId(std::move(host));
  record.zone = ZoneId(std::move(zone));
  record.incarnation = Incarnation(incarnation);
  record.refutation_count = static_cast<std::uint32_t>(refutation_count);
  record.state = static_cast<RecordState>(state);
  return record;
}

Result<std::vector<MemberRecord>> ParseChanges(const json& body) {
  std::vector<MemberRecord> changes;
  const auto found = body.find(kChangesField);
  if (found == body.end()) return changes;
  if (!found->is_array())
    return Fail(ErrorCode::kProtocol,
                "the changes of a member message are not an array");
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

// A flag is true if its field is present, whatever the value.
template <typename Message>
json CommonFieldsToJson(const Message& message) {
  json body = json::object();
  if (message.refutation_count != 0)
    body[kRefutationCountField] = message.refutation_count;
  if (message.is_leaving) body[kLeavingField] = 1;
  body[kDigestField] = message.digest;
  if (!message.changes.empty()) {
    json& changes = body[kChangesField] = json::array();
    for (const MemberRecord& record : message.changes)
      changes.push_back(RecordToJson(record));
  }
  return body;
}

template <typename Message>
Result<Message> ParseCommonFields(const json& body) {
  if (!body.is_object())
    return Fail(ErrorCode::kProtocol, "a member message is not a CBOR map");
  Message message;
  TRY_ASSIGN(message.refutation_count, ParseCount(body, kRefutationCountField));
  TRY_ASSIGN(message.digest, ParseCount(body, kDigestField));
  TRY_ASSIGN(message.changes, ParseChanges(body));
  message.is_leaving = body.contains(kLeavingField);
  return message;
}

}  // namespace

bool IsNewerIgnoringState(const MemberRecord& left, const MemberRecord& right) {
  return std::tie(left.incarnation, left.refutation_count) >
         std::tie(right.incarnation, right.refutation_count);
}

bool IsNewer(const MemberRecord& left, const MemberRecord& right) {
  return std::tie(left.incarnation, left.refutation_count, left.state) >
         std::tie(right.incarnation, right.refutation_count, right.state);
}

std::size_t EncodedSizeBound(const MemberRecord& record) {
  return kRecordOverheadBytes + record.host.value().size() +
         record.zone.value().size() + record.peer_address.size();
}

json ToJson(const Ping& ping) {
  json body = CommonFieldsToJson(ping);
  if (ping.is_joining) body[kJoiningField] = 1;
  return body;
}

json ToJson(const Ack& ack) {
  json body = CommonFieldsToJson(ack);
  if (ack.is_sender_unknown) body[kSenderUnknownField] = 1;
  return body;
}

json ToJson(const PingRequest& request) {
  return {{kTargetField, request.target.value()},
          {kAddressField, request.peer_address}};
}

Result<Ping> ParsePing(const json& body) {
  TRY_ASSIGN(Ping ping, ParseCommonFields<Ping>(body));
  ping.is_joining = body.contains(kJoiningField);
  return ping;
}

Result<Ack> ParseAck(const json& body) {
  TRY_ASSIGN(Ack ack, ParseCommonFields<Ack>(body));
  ack.is_sender_unknown = body.contains(kSenderUnknownField);
  return ack;
}

Result<PingRequest> ParsePingRequest(const json& body) {
  if (!body.is_object() || !body.contains(kTargetField) ||
      !body.contains(kAddressField))
    return Fail(ErrorCode::kProtocol,
                "a ping request has no target or no address");
  PingRequest request;
  TRY_ASSIGN(std::string target, ParseString(body[kTargetField]));
  TRY_ASSIGN(request.peer_address, ParseString(body[kAddressField]));
  request.target = HostId(std::move(target));
  return request;
}

}  // namespace dogwood
