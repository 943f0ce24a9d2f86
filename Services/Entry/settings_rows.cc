#include "Services/Entry/settings_rows.h"

namespace dogwood {
namespace {

using Json = nlohmann::json;

// Versions between snapshots. Bounds the changes that a starting host replays.
constexpr std::uint64_t kSnapshotInterval = 256;
// Holds any 64-bit version; zero padding makes the keys sort by version.
constexpr std::size_t kVersionDigits = 20;

}  // namespace

std::string ChangeKey(SettingsVersion version) {
  const std::string digits = std::to_string(version.value());
  return kChangePrefix + std::string(kVersionDigits - digits.size(), '0') +
         digits;
}

std::string OperationKey(const OperationId& id) {
  return "settings/operation/" + id.value();
}

std::string OperationRow::Serialize() const {
  return Json{{"path", path},
              {"value", value},
              {"version", version.value()},
              {"superseded", is_superseded}}
      .dump();
}

Result<OperationRow> OperationRow::Parse(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    OperationRow row;
    row.path = json.at("path").get<std::string>();
    row.value = json.at("value");
    row.version = SettingsVersion(json.at("version").get<std::uint64_t>());
    row.is_superseded = json.at("superseded").get<bool>();
    return row;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kProtocol,
                std::string("malformed operation row: ") + error.what());
  }
}

Json ParseRowValue(const std::string& text) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return json.is_discarded() ? Json() : json;
}

TableTransaction BuildChangeCommit(const SettingsChange& change,
                                   const SettingsTree& before) {
  const OperationRow operation{change.path, change.value, change.version};
  TableTransaction commit;
  commit.checks = {{kHeadKey, change.version.value() - 1},
                   {OperationKey(change.id), 0}};
  commit.puts = {{kHeadKey, Json{{"version", change.version.value()}}.dump()},
                 {ChangeKey(change.version), change.ToJson().dump()},
                 {OperationKey(change.id), operation.Serialize()}};
  if (change.version.value() % kSnapshotInterval == 0) {
    SettingsTree after = before;
    after.Set(change.path, change.value);
    commit.puts.push_back(
        {kSnapshotKey,
         Json{{"version", change.version.value()}, {"tree", after.root()}}
             .dump()});
  }
  return commit;
}

TableTransaction BuildSupersededCommit(const EmergencyOrder& order,
                                       SettingsVersion superseded_by) {
  const OperationRow operation{order.path, order.value, superseded_by,
                               /*is_superseded=*/true};
  TableTransaction commit;
  commit.checks = {{OperationKey(order.rank.id), 0}};
  commit.puts = {{OperationKey(order.rank.id), operation.Serialize()}};
  return commit;
}

}  // namespace dogwood
