#include "Libraries/Balancing/fleet_digest.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::json;

// Layout: [sender, tables, observations, peers], each item an array in the
// order of its fields. Version 1 of the format.
constexpr int kFormatVersion = 1;

std::int64_t ToMs(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Duration FromMs(const Json& value) {
  return std::chrono::milliseconds(value.get<std::int64_t>());
}

Json ToJson(const PeerRecord& peer) {
  return Json::array({peer.ip, peer.zone.value(), peer.incarnation.value(),
                      ToMs(peer.age), peer.is_leaving});
}

PeerRecord PeerFrom(const Json& item) {
  return {item.at(0).get<std::string>(), ZoneId(item.at(1).get<std::string>()),
          Incarnation(item.at(2).get<std::uint64_t>()), FromMs(item.at(3)),
          item.at(4).get<bool>()};
}

Json ToJson(const ServerObservation& seen) {
  return Json::array({seen.server.value(), seen.in_work,
                      static_cast<int>(std::lround(seen.slowdown * 100)),
                      ToMs(seen.age), ToMs(seen.cold_left),
                      static_cast<int>(std::lround(seen.failure_rate * 100)),
                      seen.is_unreachable});
}

ServerObservation ObservationFrom(const Json& item) {
  return {ServerKey(item.at(0).get<std::uint32_t>()),
          item.at(1).get<unsigned>(),
          item.at(2).get<double>() / 100,
          FromMs(item.at(3)),
          FromMs(item.at(4)),
          item.at(5).get<double>() / 100,
          item.at(6).get<bool>()};
}

FleetDigest DigestFrom(const Json& root) {
  FleetDigest digest;
  digest.sender = PeerFrom(root.at(1));
  for (const Json& item : root.at(2))
    digest.tables.push_back(
        {item.at(0).get<std::uint64_t>(), FromMs(item.at(1))});
  for (const Json& item : root.at(3))
    digest.observations.push_back(ObservationFrom(item));
  for (const Json& item : root.at(4)) digest.peers.push_back(PeerFrom(item));
  return digest;
}

}  // namespace

std::vector<std::uint8_t> EncodeDigest(const FleetDigest& digest) {
  Json tables = Json::array();
  for (const TableFreshness& table : digest.tables)
    tables.push_back(Json::array({table.version, ToMs(table.age)}));
  Json observations = Json::array();
  for (const ServerObservation& seen : digest.observations)
    observations.push_back(ToJson(seen));
  Json peers = Json::array();
  for (const PeerRecord& peer : digest.peers) peers.push_back(ToJson(peer));
  return Json::to_cbor(
      Json::array({kFormatVersion, ToJson(digest.sender), std::move(tables),
                   std::move(observations), std::move(peers)}));
}

Result<FleetDigest> DecodeDigest(const std::uint8_t* bytes, std::size_t size) {
  const Json root = Json::from_cbor(bytes, bytes + size, /*strict=*/true,
                                    /*allow_exceptions=*/false);
  if (!root.is_array() || root.size() < 5 || root[0] != kFormatVersion)
    return Fail(ErrorCode::kProtocol, "digest: not of a known format");
  // Typed access of the JSON library reports wrong types by exceptions only.
  try {
    return DigestFrom(root);
  } catch (const Json::exception& exception) {
    return Fail(ErrorCode::kProtocol,
                std::string("digest: ") + exception.what());
  }
}

}  // namespace dogwood
