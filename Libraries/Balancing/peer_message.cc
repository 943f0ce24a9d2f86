#include "Libraries/Balancing/peer_message.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::json;

// CBOR array [format version, kind, fields...]: the kind is the index of the
// type in PeerMessage, the fields follow in the order of their declaration.
constexpr int kFormatVersion = 4;
// Encodes an unknown age.
constexpr std::int64_t kUnknownAge = -1;  // milliseconds
// Identifier of nlohmann::json exceptions for values that are out of range.
constexpr int kUnknownEnumeratorId = 501;

std::int64_t ToMicrosecondCount(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}
std::int64_t ToMillisecondCount(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Duration FromMilliseconds(const Json& value) {
  return std::chrono::milliseconds(value.get<std::int64_t>());
}
Duration FromMicroseconds(const Json& value) {
  return std::chrono::microseconds(value.get<std::int64_t>());
}

// Ratios are encoded as integers in hundredths.
int ToHundredths(double value) {
  return static_cast<int>(std::lround(value * 100));
}
double FromHundredths(const Json& value) { return value.get<double>() / 100; }

template <typename Enum>
Enum ParseEnum(const Json& value, Enum last) {
  const int number = value.get<int>();
  if (number < 0 || number > static_cast<int>(last))
    throw Json::other_error::create(kUnknownEnumeratorId, "unknown enumerator",
                                    nullptr);
  return static_cast<Enum>(number);
}

Json ToJson(const PeerRecord& peer) {
  return Json::array({peer.ip, peer.zone.value(), peer.incarnation.value(),
                      ToMillisecondCount(peer.age), peer.is_leaving,
                      peer.capacity});
}

PeerRecord ParsePeerRecord(const Json& item) {
  return {item.at(0).get<std::string>(),
          ZoneId(item.at(1).get<std::string>()),
          Incarnation(item.at(2).get<std::uint64_t>()),
          FromMilliseconds(item.at(3)),
          item.at(4).get<bool>(),
          item.at(5).get<unsigned>()};
}

Json ToJson(const ServerObservation& observation) {
  return Json::array(
      {observation.server.value(), observation.in_work,
       ToHundredths(observation.slowdown), ToMillisecondCount(observation.age),
       ToMillisecondCount(observation.cold_left),
       ToHundredths(observation.failure_rate), observation.is_unreachable});
}

ServerObservation ParseObservation(const Json& item) {
  return {ServerKey(item.at(0).get<std::uint32_t>()),
          item.at(1).get<unsigned>(),
          FromHundredths(item.at(2)),
          FromMilliseconds(item.at(3)),
          FromMilliseconds(item.at(4)),
          FromHundredths(item.at(5)),
          item.at(6).get<bool>()};
}

Json ToJson(const Placement& placement) {
  return Json::array({placement.server.value(),
                      ToMillisecondCount(placement.expected),
                      ToHundredths(placement.slowdown), placement.in_work,
                      placement.load_age == Duration::max()
                          ? kUnknownAge
                          : ToMillisecondCount(placement.load_age),
                      placement.is_above_knee});
}

Placement ParsePlacement(const Json& item) {
  Placement placement;
  placement.server = ServerKey(item.at(0).get<std::uint32_t>());
  placement.expected = FromMilliseconds(item.at(1));
  placement.slowdown = FromHundredths(item.at(2));
  placement.in_work = item.at(3).get<unsigned>();
  placement.load_age = item.at(4).get<int>() < 0 ? Duration::max()
                                                 : FromMilliseconds(item.at(4));
  placement.is_above_knee = item.at(5).get<bool>();
  return placement;
}

void Append(Json& out, const FleetDigest& digest) {
  Json tables = Json::array();
  for (const TableFreshness& table : digest.tables)
    tables.push_back(
        Json::array({table.version, table.age ? ToMillisecondCount(*table.age)
                                              : kUnknownAge}));
  Json observations = Json::array();
  for (const ServerObservation& observation : digest.observations)
    observations.push_back(ToJson(observation));
  Json peers = Json::array();
  for (const PeerRecord& peer : digest.peers) peers.push_back(ToJson(peer));
  out.push_back(ToJson(digest.sender));
  out.push_back(std::move(tables));
  out.push_back(std::move(observations));
  out.push_back(std::move(peers));
}

void Append(Json& out, const PlacementAsk& ask) {
  Json excluded = Json::array();
  for (const ServerKey server : ask.excluded)
    excluded.push_back(server.value());
  out.insert(
      out.end(),
      {ask.number, ask.service.value(), ask.priority,
       ToMicrosecondCount(ask.usual_work), ToMicrosecondCount(ask.goal),
       ToMicrosecondCount(ask.goal_left), ToMicrosecondCount(ask.time_left),
       ask.body_bytes, std::move(excluded), ask.is_hedge,
       static_cast<int>(ask.repeatability)});
}

void Append(Json& out, const PlacementAnswer& answer) {
  out.insert(out.end(), {answer.number, static_cast<int>(answer.verdict)});
  if (answer.placement) out.push_back(ToJson(*answer.placement));
}

void Append(Json& out, const PlacementEnd& end) {
  out.insert(out.end(),
             {end.number, end.server.value(), static_cast<int>(end.outcome),
              ToHundredths(end.work_ratio), end.was_above_knee});
  if (end.load) {
    out.push_back(end.load->in_work);
    out.push_back(ToHundredths(end.load->slowdown));
  }
}

void Append(Json& out, const PlacementWithdrawal& withdrawal) {
  out.push_back(withdrawal.number);
}

FleetDigest ParseGossipMessage(const Json& root) {
  FleetDigest digest;
  digest.sender = ParsePeerRecord(root.at(2));
  for (const Json& item : root.at(3)) {
    TableFreshness table{item.at(0).get<std::uint64_t>(), {}};
    if (item.at(1).get<std::int64_t>() != kUnknownAge)
      table.age = FromMilliseconds(item.at(1));
    digest.tables.push_back(table);
  }
  for (const Json& item : root.at(4))
    digest.observations.push_back(ParseObservation(item));
  for (const Json& item : root.at(5))
    digest.peers.push_back(ParsePeerRecord(item));
  return digest;
}

PlacementAsk ParsePlacementRequest(const Json& root) {
  PlacementAsk ask;
  ask.number = root.at(2).get<std::uint64_t>();
  ask.service = ServiceId(root.at(3).get<std::string>());
  ask.priority = root.at(4).get<unsigned>();
  ask.usual_work = FromMicroseconds(root.at(5));
  ask.goal = FromMicroseconds(root.at(6));
  ask.goal_left = FromMicroseconds(root.at(7));
  ask.time_left = FromMicroseconds(root.at(8));
  ask.body_bytes = root.at(9).get<std::size_t>();
  for (const Json& item : root.at(10))
    ask.excluded.push_back(ServerKey(item.get<std::uint32_t>()));
  ask.is_hedge = root.at(11).get<bool>();
  ask.repeatability = ParseEnum(root.at(12), Repeatability::kOnce);
  return ask;
}

PlacementAnswer ParsePlacementResponse(const Json& root) {
  PlacementAnswer answer;
  answer.number = root.at(2).get<std::uint64_t>();
  answer.verdict = ParseEnum(root.at(3), AdmissionVerdict::kRefuse);
  if (root.size() > 4) answer.placement = ParsePlacement(root.at(4));
  return answer;
}

PlacementEnd ParsePlacementCompletion(const Json& root) {
  PlacementEnd end;
  end.number = root.at(2).get<std::uint64_t>();
  end.server = ServerKey(root.at(3).get<std::uint32_t>());
  end.outcome = ParseEnum(root.at(4), AttemptOutcome::kAbandoned);
  end.work_ratio = FromHundredths(root.at(5));
  end.was_above_knee = root.at(6).get<bool>();
  if (root.size() > 8) {
    end.load =
        ReportedLoad{root.at(7).get<unsigned>(), FromHundredths(root.at(8))};
  }
  return end;
}

Result<PeerMessage> ParseMessage(const Json& root) {
  switch (root.at(1).get<std::size_t>()) {
    case 0:
      return ParseGossipMessage(root);
    case 1:
      return ParsePlacementRequest(root);
    case 2:
      return ParsePlacementResponse(root);
    case 3:
      return ParsePlacementCompletion(root);
    case 4:
      return PlacementWithdrawal{root.at(2).get<std::uint64_t>()};
    default:
      return Fail(ErrorCode::kProtocol, "unknown message kind");
  }
}

}  // namespace

std::vector<std::uint8_t> EncodeMessage(const PeerMessage& message) {
  Json out = Json::array({kFormatVersion, message.index()});
  std::visit([&](const auto& content) { Append(out, content); }, message);
  return Json::to_cbor(out);
}

Result<PeerMessage> DecodeMessage(std::span<const std::uint8_t> bytes) {
  // The JSON library reports type errors and sizes beyond its limit only as
  // exceptions.
  try {
    const Json root = Json::from_cbor(bytes.begin(), bytes.end(),
                                      /*strict=*/true,
                                      /*allow_exceptions=*/false);
    if (!root.is_array() || root.size() < 3 || root[0] != kFormatVersion)
      return Fail(ErrorCode::kProtocol, "unknown message format");
    return ParseMessage(root);
  } catch (const Json::exception& exception) {
    return Fail(ErrorCode::kProtocol,
                std::string("malformed message: ") + exception.what());
  }
}

}  // namespace dogwood
