#include "Libraries/Settings/settings_change.h"

#include "Libraries/Settings/settings_schema.h"

namespace dogwood {
namespace {

using Json = nlohmann::json;

Json RankToJson(const OrderRank& rank) {
  return {{"version", rank.version.value()},
          {"counter", rank.counter},
          {"id", rank.id.value()}};
}

OrderRank RankFromJson(const Json& json) {
  return {SettingsVersion(json.at("version").get<std::uint64_t>()),
          json.at("counter").get<std::uint64_t>(),
          OperationId(json.at("id").get<std::string>())};
}

}  // namespace

Json SettingsChange::ToJson() const {
  Json json = {{"version", version.value()},
               {"id", id.value()},
               {"path", path},
               {"value", value},
               {"previous", previous},
               {"author", author},
               {"wall_us", wall_us}};
  if (order) json["order"] = RankToJson(*order);
  return json;
}

Result<SettingsChange> SettingsChange::FromJson(const Json& json) {
  try {
    SettingsChange change;
    change.version = SettingsVersion(json.at("version").get<std::uint64_t>());
    change.id = OperationId(json.at("id").get<std::string>());
    change.path = json.at("path").get<std::string>();
    change.value = json.at("value");
    change.previous = json.at("previous");
    change.author = json.at("author").get<std::string>();
    change.wall_us = json.at("wall_us").get<std::int64_t>();
    if (json.contains("order")) change.order = RankFromJson(json.at("order"));
    return change;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kProtocol,
                std::string("malformed settings change: ") + error.what());
  }
}

Json EmergencyOrder::ToJson() const {
  return {{"rank", RankToJson(rank)},
          {"path", path},
          {"value", value},
          {"author", author},
          {"wall_us", wall_us}};
}

Result<EmergencyOrder> EmergencyOrder::FromJson(const Json& json) {
  try {
    EmergencyOrder order;
    order.rank = RankFromJson(json.at("rank"));
    order.path = json.at("path").get<std::string>();
    order.value = json.at("value");
    order.author = json.at("author").get<std::string>();
    order.wall_us = json.at("wall_us").get<std::int64_t>();
    return order;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kProtocol,
                std::string("malformed emergency order: ") + error.what());
  }
}

bool IsEmergencyPath(std::string_view path) {
  const std::vector<std::string> levels = SplitPath(path);
  // zones.NAME.state or services.NAME.servers.NAME.state
  if (levels.back() != "state") return false;
  return (levels.size() == 3 && levels[0] == "zones") ||
         (levels.size() == 5 && levels[0] == "services" &&
          levels[2] == "servers");
}

bool PathsOverlap(std::string_view left, std::string_view right) {
  if (left.size() > right.size()) std::swap(left, right);
  return right.starts_with(left) &&
         (right.size() == left.size() || right[left.size()] == '.');
}

}  // namespace dogwood
