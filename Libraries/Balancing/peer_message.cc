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
// Encodes that a backend server names no limit.
constexpr double kNoRequestLimit = -1;  // requests per second
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
                      ToMillisecondCount(peer.age), peer.is_draining,
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

// A server that asks for nothing costs one byte. Limits are encoded as they
// are: hundredths would lose those of slow servers.
Json ToJson(const ServerDirectives& directives) {
  if (directives == ServerDirectives()) return {};
  return Json::array(
      {directives.max_requests_per_second.value_or(kNoRequestLimit),
       directives.leaving_started_at_ms
           ? Json(*directives.leaving_started_at_ms)
           : Json()});
}

ServerDirectives ParseDirectives(const Json& item) {
  ServerDirectives directives;
  if (item.is_null()) return directives;
  const auto limit = item.at(0).get<double>();
  if (limit >= 0) directives.max_requests_per_second = limit;
  if (!item.at(1).is_null())
    directives.leaving_started_at_ms = item.at(1).get<std::uint64_t>();
  return directives;
}

Json ToJson(const ServerObservation& observation) {
  return Json::array(
      {observation.server.value(), observation.in_flight,
       ToHundredths(observation.slowdown), ToMillisecondCount(observation.age),
       ToMillisecondCount(observation.cold_left),
       ToHundredths(observation.failure_rate), observation.is_unreachable,
       ToJson(observation.directives)});
}

ServerObservation ParseObservation(const Json& item) {
  return {ServerKey(item.at(0).get<std::uint64_t>()),
          item.at(1).get<unsigned>(), FromHundredths(item.at(2)),
          FromMilliseconds(item.at(3)), FromMilliseconds(item.at(4)),
          FromHundredths(item.at(5)), item.at(6).get<bool>(),
          // Hosts of the previous version do not send it.
          item.size() > 7 ? ParseDirectives(item.at(7)) : ServerDirectives()};
}

Json ToJson(const ServerSelection& selection) {
  return Json::array({selection.server.value(),
                      ToMillisecondCount(selection.estimated_cost),
                      ToHundredths(selection.slowdown), selection.in_flight,
                      selection.load_age == Duration::max()
                          ? kUnknownAge
                          : ToMillisecondCount(selection.load_age),
                      selection.is_above_knee});
}

ServerSelection ParseSelection(const Json& item) {
  ServerSelection selection;
  selection.server = ServerKey(item.at(0).get<std::uint64_t>());
  selection.estimated_cost = FromMilliseconds(item.at(1));
  selection.slowdown = FromHundredths(item.at(2));
  selection.in_flight = item.at(3).get<unsigned>();
  selection.load_age = item.at(4).get<int>() < 0 ? Duration::max()
                                                 : FromMilliseconds(item.at(4));
  selection.is_above_knee = item.at(5).get<bool>();
  return selection;
}

void Append(Json& out, const GossipMessage& gossip) {
  Json tables = Json::array();
  for (const TableVersionAge& table : gossip.tables)
    tables.push_back(
        Json::array({table.version, table.age ? ToMillisecondCount(*table.age)
                                              : kUnknownAge}));
  Json observations = Json::array();
  for (const ServerObservation& observation : gossip.observations)
    observations.push_back(ToJson(observation));
  Json peers = Json::array();
  for (const PeerRecord& peer : gossip.peers) peers.push_back(ToJson(peer));
  out.push_back(ToJson(gossip.sender));
  out.push_back(std::move(tables));
  out.push_back(std::move(observations));
  out.push_back(std::move(peers));
  if (gossip.keys) {
    // Rounded up: the age may be overstated only.
    out.push_back(Json::array({gossip.keys->version.value(),
                               ToMillisecondCount(gossip.keys->age) + 1}));
  }
}

void Append(Json& out, const SelectionRequest& request) {
  Json excluded = Json::array();
  for (const ServerKey server : request.excluded)
    excluded.push_back(server.value());
  out.insert(out.end(),
             {request.request_number, request.service.value(), request.priority,
              ToMicrosecondCount(request.typical_service_time),
              ToMicrosecondCount(request.latency_goal),
              ToMicrosecondCount(request.latency_goal_time_left),
              ToMicrosecondCount(request.time_left), request.body_bytes,
              std::move(excluded), request.is_hedge,
              static_cast<int>(request.retry_safety)});
  if (request.account != 0) out.push_back(request.account);
}

void Append(Json& out, const SelectionResponse& response) {
  out.insert(out.end(),
             {response.request_number, static_cast<int>(response.admission)});
  if (response.selection) out.push_back(ToJson(*response.selection));
}

void Append(Json& out, const SelectionCompletion& completion) {
  out.insert(out.end(), {completion.request_number, completion.server.value(),
                         static_cast<int>(completion.outcome),
                         ToHundredths(completion.service_time_ratio),
                         completion.was_above_knee});
  if (!completion.load && !completion.directives) return;
  out.push_back(completion.load ? Json(completion.load->in_flight) : Json());
  out.push_back(completion.load ? Json(ToHundredths(completion.load->slowdown))
                                : Json());
  if (completion.directives) out.push_back(ToJson(*completion.directives));
}

void Append(Json& out, const SelectionCancellation& cancellation) {
  out.push_back(cancellation.request_number);
}

void Append(Json& out, const SuspectMessage& message) {
  Json records = Json::array();
  for (const SuspectRecord& record : message.records) {
    records.push_back(
        Json::array({record.fingerprint, record.crashes[0], record.crashes[1],
                     record.is_cleared, ToMillisecondCount(record.age)}));
  }
  out.push_back(std::move(records));
}

void Append(Json& out, const QuotaRequest& request) {
  out.insert(out.end(),
             {request.request_number, request.account, request.is_backup});
}

void Append(Json& out, const QuotaResponse& response) {
  out.insert(out.end(),
             {response.request_number, response.is_known, response.is_granted,
              ToMillisecondCount(response.retry_after)});
}

void Append(Json& out, const QuotaReturn& message) {
  out.push_back(message.account);
}

Json ToJson(const VersionCounts& counts) {
  return Json::array({counts.requests, counts.bad});
}

VersionCounts ParseVersionCounts(const Json& item) {
  return {item.at(0).get<std::uint64_t>(), item.at(1).get<std::uint64_t>()};
}

void Append(Json& out, const RolloutReport& report) {
  Json kinds = Json::array();
  for (const auto& [key, kind] : report.evidence.kinds)
    kinds.push_back(Json::array({key, ToJson(kind.target), ToJson(kind.old)}));
  out.insert(out.end(), {report.service.value(), report.order_number,
                         std::move(kinds), report.evidence.bad_target_servers,
                         report.evidence.old_in_flight});
}

void Append(Json& out, const RolloutStatus& status) {
  out.insert(out.end(),
             {status.service.value(), status.order_number,
              static_cast<int>(status.phase), ToMillisecondCount(status.age)});
}

RolloutReport ParseRolloutReport(const Json& root) {
  RolloutReport report;
  report.service = ServiceId(root.at(2).get<std::string>());
  report.order_number = root.at(3).get<std::uint64_t>();
  for (const Json& item : root.at(4)) {
    RolloutEvidence::Kind& kind =
        report.evidence.kinds[item.at(0).get<std::uint64_t>()];
    kind.target = ParseVersionCounts(item.at(1));
    kind.old = ParseVersionCounts(item.at(2));
  }
  report.evidence.bad_target_servers =
      root.at(5).get<std::set<std::uint64_t>>();
  report.evidence.old_in_flight = root.at(6).get<std::uint64_t>();
  return report;
}

GossipMessage ParseGossipMessage(const Json& root) {
  GossipMessage gossip;
  gossip.sender = ParsePeerRecord(root.at(2));
  for (const Json& item : root.at(3)) {
    TableVersionAge table{item.at(0).get<std::uint64_t>(), {}};
    if (item.at(1).get<std::int64_t>() != kUnknownAge)
      table.age = FromMilliseconds(item.at(1));
    gossip.tables.push_back(table);
  }
  for (const Json& item : root.at(4))
    gossip.observations.push_back(ParseObservation(item));
  for (const Json& item : root.at(5))
    gossip.peers.push_back(ParsePeerRecord(item));
  if (root.size() > 6) {
    gossip.keys.emplace(
        KeyKnowledgeAge{SettingsVersion(root.at(6).at(0).get<std::uint64_t>()),
                        FromMilliseconds(root.at(6).at(1))});
  }
  return gossip;
}

SelectionRequest ParseSelectionRequest(const Json& root) {
  SelectionRequest request;
  request.request_number = root.at(2).get<std::uint64_t>();
  request.service = ServiceId(root.at(3).get<std::string>());
  request.priority = root.at(4).get<unsigned>();
  request.typical_service_time = FromMicroseconds(root.at(5));
  request.latency_goal = FromMicroseconds(root.at(6));
  request.latency_goal_time_left = FromMicroseconds(root.at(7));
  request.time_left = FromMicroseconds(root.at(8));
  request.body_bytes = root.at(9).get<std::size_t>();
  for (const Json& item : root.at(10))
    request.excluded.push_back(ServerKey(item.get<std::uint64_t>()));
  request.is_hedge = root.at(11).get<bool>();
  request.retry_safety = ParseEnum(root.at(12), RetrySafety::kNonRetryable);
  if (root.size() > 13) request.account = root.at(13).get<std::uint64_t>();
  return request;
}

SelectionResponse ParseSelectionResponse(const Json& root) {
  SelectionResponse response;
  response.request_number = root.at(2).get<std::uint64_t>();
  response.admission = ParseEnum(root.at(3), AdmissionDecision::kRefuse);
  if (root.size() > 4) response.selection = ParseSelection(root.at(4));
  return response;
}

SelectionCompletion ParseSelectionCompletion(const Json& root) {
  SelectionCompletion completion;
  completion.request_number = root.at(2).get<std::uint64_t>();
  completion.server = ServerKey(root.at(3).get<std::uint64_t>());
  completion.outcome = ParseEnum(root.at(4), AttemptOutcome::kHeldBack);
  completion.service_time_ratio = FromHundredths(root.at(5));
  completion.was_above_knee = root.at(6).get<bool>();
  if (root.size() > 8 && !root.at(7).is_null()) {
    completion.load =
        ReportedLoad{root.at(7).get<unsigned>(), FromHundredths(root.at(8))};
  }
  if (root.size() > 9) completion.directives = ParseDirectives(root.at(9));
  return completion;
}

SuspectMessage ParseSuspectMessage(const Json& root) {
  SuspectMessage message;
  for (const Json& item : root.at(2)) {
    message.records.push_back(
        {item.at(0).get<std::uint64_t>(),
         {item.at(1).get<std::uint64_t>(), item.at(2).get<std::uint64_t>()},
         item.at(3).get<bool>(),
         FromMilliseconds(item.at(4))});
  }
  return message;
}

Result<PeerMessage> ParseMessage(const Json& root) {
  switch (root.at(1).get<std::size_t>()) {
    case 0:
      return ParseGossipMessage(root);
    case 1:
      return ParseSelectionRequest(root);
    case 2:
      return ParseSelectionResponse(root);
    case 3:
      return ParseSelectionCompletion(root);
    case 4:
      return SelectionCancellation{root.at(2).get<std::uint64_t>()};
    case 5:
      return ParseSuspectMessage(root);
    case 6:
      return QuotaRequest{root.at(2).get<std::uint64_t>(),
                          root.at(3).get<std::uint64_t>(),
                          root.at(4).get<bool>()};
    case 7:
      return QuotaResponse{root.at(2).get<std::uint64_t>(),
                           root.at(3).get<bool>(), root.at(4).get<bool>(),
                           FromMilliseconds(root.at(5))};
    case 8:
      return QuotaReturn{root.at(2).get<std::uint64_t>()};
    case 9:
      return ParseRolloutReport(root);
    case 10:
      return RolloutStatus{ServiceId(root.at(2).get<std::string>()),
                           root.at(3).get<std::uint64_t>(),
                           ParseEnum(root.at(4), RolloutPhase::kRolledBack),
                           FromMilliseconds(root.at(5))};
    default:
      return Fail(ErrorCode::kProtocol, "unknown message kind");
  }
}

}  // namespace

void ForEachServerKey(PeerMessage& message,
                      const std::function<void(ServerKey&)>& visit) {
  if (auto* gossip = std::get_if<GossipMessage>(&message)) {
    for (ServerObservation& observation : gossip->observations)
      visit(observation.server);
  } else if (auto* request = std::get_if<SelectionRequest>(&message)) {
    for (ServerKey& server : request->excluded) visit(server);
  } else if (auto* response = std::get_if<SelectionResponse>(&message)) {
    if (response->selection) visit(response->selection->server);
  } else if (auto* completion = std::get_if<SelectionCompletion>(&message)) {
    visit(completion->server);
  }
}

std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message) {
  Json out = Json::array({kFormatVersion, message.index()});
  std::visit([&](const auto& content) { Append(out, content); }, message);
  return Json::to_cbor(out);
}

Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> bytes) {
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
