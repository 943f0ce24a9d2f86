#include "Libraries/Settings/fleet_configuration.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "Libraries/Settings/setting_definitions.h"

namespace dogwood {
namespace {

using Json = nlohmann::json;

// Reads typed members of a JSON object. Errors contain the path of the member.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string path)
      : object_(object), path_(std::move(path)) {}

  Result<std::string> String(const char* name) const {
    const auto found = object_.find(name);
    if (found == object_.end() || !found->is_string())
      return TypeError(name, "a string");
    return found->get<std::string>();
  }

  Result<std::uint64_t> Count(const char* name, std::uint64_t fallback) const {
    const auto found = object_.find(name);
    if (found == object_.end()) return fallback;
    if (!found->is_number_integer() || found->get<std::int64_t>() < 0)
      return TypeError(name, "a whole number of 0 or more");
    return found->get<std::uint64_t>();
  }

  Result<double> Number(const char* name, double fallback) const {
    const auto found = object_.find(name);
    if (found == object_.end()) return fallback;
    if (!found->is_number() || found->get<double>() < 0)
      return TypeError(name, "a number of 0 or more");
    return found->get<double>();
  }

  Result<OperationalState> ReadOperationalState(
      const char* name, std::string_view out_text) const {
    const auto found = object_.find(name);
    if (found == object_.end() || *found == "in")
      return OperationalState::kInService;
    if (*found == out_text) return OperationalState::kOutOfService;
    return TypeError(name, "\"in\" or \"" + std::string(out_text) + "\"");
  }

  // A nested object; empty if absent.
  Result<Json> Object(const char* name) const {
    const auto found = object_.find(name);
    if (found == object_.end()) return Json::object();
    if (!found->is_object()) return TypeError(name, "an object");
    return *found;
  }

 private:
  outcome::failure_type<Error> TypeError(const char* name,
                                         const std::string& what) const {
    return Fail(ErrorCode::kInvalidArgument,
                path_ + "." + name + ": expected " + what);
  }

  const Json& object_;
  std::string path_;
};

Result<ServerConfiguration> ReadServer(const std::string& name,
                                       const Json& json,
                                       const std::string& path) {
  const ObjectReader reader(json, path);
  ServerConfiguration server;
  server.id = ServerId(name);
  TRY_ASSIGN(server.address, reader.String("address"));
  TRY_ASSIGN(std::string zone, reader.String("zone"));
  server.zone = ZoneId(std::move(zone));
  TRY_ASSIGN(const std::uint64_t slots, reader.Count("slots", server.slots));
  server.slots = static_cast<std::uint32_t>(slots);
  TRY_ASSIGN(server.operational_state,
             reader.ReadOperationalState("state", "leaving"));
  return server;
}

Result<ServiceConfiguration> ReadService(const std::string& name,
                                         const Json& json) {
  const std::string path = "services." + name;
  ServiceConfiguration service;
  service.id = ServiceId(name);
  TRY_ASSIGN(const Json servers, ObjectReader(json, path).Object("servers"));
  for (const auto& [server_name, value] : servers.items()) {
    TRY_ASSIGN(
        ServerConfiguration server,
        ReadServer(server_name, value, path + ".servers." + server_name));
    service.servers.emplace(server.id, std::move(server));
  }
  return service;
}

SettingsOverrides ReadOverrides(const Json& object) {
  SettingsOverrides overrides;
  if (!object.contains("settings")) return overrides;
  for (const auto& [key, value] : object.at("settings").items())
    overrides.emplace(key, value.get<double>());
  return overrides;
}

Result<ZoneConfiguration> ReadZone(const std::string& name, const Json& json) {
  const ObjectReader reader(json, "zones." + name);
  ZoneConfiguration zone;
  zone.id = ZoneId(name);
  TRY_ASSIGN(zone.operational_state,
             reader.ReadOperationalState("state", "out"));
  TRY_ASSIGN(const std::uint64_t limit, reader.Count("limit", 0));
  zone.limit = static_cast<std::uint32_t>(limit);
  zone.overrides = ReadOverrides(json);
  return zone;
}

Result<ClientAccountConfiguration> ReadClientAccount(const std::string& name,
                                                     const Json& json) {
  const std::string path = "parties." + name;
  ClientAccountConfiguration client_account;
  client_account.id = ClientAccountId(name);
  client_account.overrides = ReadOverrides(json);
  TRY_ASSIGN(const Json agreements,
             ObjectReader(json, path).Object("agreements"));
  for (const auto& [service, value] : agreements.items()) {
    const ObjectReader reader(value, path + ".agreements." + service);
    AgreementConfiguration agreement;
    TRY_ASSIGN(agreement.calls_per_second,
               reader.Number("calls_per_second", 0));
    TRY_ASSIGN(agreement.calls_per_month, reader.Count("calls_per_month", 0));
    client_account.agreements.emplace(ServiceId(service), agreement);
  }
  return client_account;
}

Duration Milliseconds(double count) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(count));
}

void ApplySetting(ServiceSettings& settings, std::string_view key,
                  double value) {
  const auto count = static_cast<std::uint32_t>(value);
  if (key == "probes_per_second") settings.probes_per_second = value;
  if (key == "queue_limit") settings.queue_limit = count;
  if (key == "retry_budget_percent") settings.retry_budget_percent = value;
  if (key == "cold_limit") settings.cold_limit = count;
  if (key == "permit_takeover_delay_ms")
    settings.permit_takeover_delay = Milliseconds(value);
  if (key == "permit_lease_ms") settings.permit_lease = Milliseconds(value);
  if (key == "connection_limit") settings.connection_limit = count;
  if (key == "default_deadline_ms")
    settings.default_deadline = Milliseconds(value);
}

ServiceSettings ReadServiceSettings(const SettingsTree& tree,
                                    const ServiceId& service) {
  ServiceSettings settings;
  for (const InheritedSetting& inherited : InheritedSettings()) {
    if (inherited.scope != InheritedSetting::Scope::kService) continue;
    const std::string_view key = inherited.definition.path;
    const Json value = tree.EffectiveValue(key, {.service = service}).value();
    ApplySetting(settings, key, value.get<double>());
  }
  return settings;
}

FleetSettings ReadFleetSettings(const SettingsTree& tree) {
  const auto number = [&](const char* key) {
    return tree.EffectiveValue(key, {}).value().get<double>();
  };
  constexpr double kMsPerSecond = 1000;
  constexpr double kMsPerHour = 3600 * kMsPerSecond;
  FleetSettings settings;
  settings.claims_commit_interval =
      Milliseconds(number("claims.commit_interval_ms"));
  settings.claims_retention =
      Milliseconds(number("claims.remember_hours") * kMsPerHour);
  settings.usage_write_interval =
      Milliseconds(number("usage.write_interval_ms"));
  settings.usage_reservation =
      Milliseconds(number("usage.reservation_seconds") * kMsPerSecond);
  return settings;
}

}  // namespace

ServiceSettings FleetConfiguration::EffectiveSettings(
    const ServiceId& service, const ZoneId& zone,
    const ClientAccountId& client_account) const {
  ServiceSettings settings;
  if (const auto found = services.find(service); found != services.end())
    settings = found->second.settings;
  if (const auto found = zones.find(zone); found != zones.end()) {
    for (const auto& [key, value] : found->second.overrides)
      ApplySetting(settings, key, value);
  }
  if (const auto found = client_accounts.find(client_account);
      found != client_accounts.end()) {
    for (const auto& [key, value] : found->second.overrides)
      ApplySetting(settings, key, value);
  }
  return settings;
}

Result<FleetConfiguration> FleetConfiguration::Parse(std::string_view json) {
  const Json root = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object()) {
    return Fail(ErrorCode::kInvalidArgument,
                "the fleet configuration is not a JSON object");
  }
  return FromTree(SettingsTree(root), SettingsVersion());
}

Result<FleetConfiguration> FleetConfiguration::FromTree(
    const SettingsTree& tree, SettingsVersion version) {
  const Json& root = tree.root();
  TRY(FleetSchema().Validate(root, "fleet"));
  const ObjectReader reader(root, "fleet");
  FleetConfiguration fleet;
  fleet.version = version;
  fleet.settings = ReadFleetSettings(tree);
  TRY_ASSIGN(const Json services, reader.Object("services"));
  for (const auto& [name, value] : services.items()) {
    TRY_ASSIGN(ServiceConfiguration service, ReadService(name, value));
    service.settings = ReadServiceSettings(tree, service.id);
    fleet.services.emplace(service.id, std::move(service));
  }
  TRY_ASSIGN(const Json zones, reader.Object("zones"));
  for (const auto& [name, value] : zones.items()) {
    TRY_ASSIGN(ZoneConfiguration zone, ReadZone(name, value));
    fleet.zones.emplace(zone.id, std::move(zone));
  }
  TRY_ASSIGN(const Json client_accounts, reader.Object("parties"));
  for (const auto& [name, value] : client_accounts.items()) {
    TRY_ASSIGN(ClientAccountConfiguration client_account,
               ReadClientAccount(name, value));
    fleet.client_accounts.emplace(client_account.id, std::move(client_account));
  }
  return fleet;
}

}  // namespace dogwood
