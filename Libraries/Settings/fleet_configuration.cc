#include "Libraries/Settings/fleet_configuration.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace dogwood {
namespace {

using Json = nlohmann::json;

// Reads typed members of one JSON object and reports errors with the object's
// path.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string path)
      : object_(object), path_(std::move(path)) {}

  Result<std::string> Text(const char* name) const {
    const auto found = object_.find(name);
    if (found == object_.end() || !found->is_string())
      return Expected(name, "a string");
    return found->get<std::string>();
  }

  Result<std::uint64_t> Count(const char* name, std::uint64_t fallback) const {
    const auto found = object_.find(name);
    if (found == object_.end()) return fallback;
    if (!found->is_number_unsigned())
      return Expected(name, "a whole number of 0 or more");
    return found->get<std::uint64_t>();
  }

  Result<double> Number(const char* name, double fallback) const {
    const auto found = object_.find(name);
    if (found == object_.end()) return fallback;
    if (!found->is_number() || found->get<double>() < 0)
      return Expected(name, "a number >= 0");
    return found->get<double>();
  }

  Result<Placement> PlacementOf(const char* name,
                                std::string_view out_name) const {
    const auto found = object_.find(name);
    if (found == object_.end() || *found == "in") return Placement::kIn;
    if (*found == out_name) return Placement::kOut;
    return Expected(name, "\"in\" or \"" + std::string(out_name) + "\"");
  }

  // The members of a nested object; an absent object has none.
  Result<Json> Members(const char* name) const {
    const auto found = object_.find(name);
    if (found == object_.end()) return Json::object();
    if (!found->is_object()) return Expected(name, "an object");
    return *found;
  }

 private:
  outcome::failure_type<Error> Expected(const char* name,
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
  TRY_ASSIGN(server.address, reader.Text("address"));
  TRY_ASSIGN(std::string zone, reader.Text("zone"));
  server.zone = ZoneId(std::move(zone));
  TRY_ASSIGN(const std::uint64_t slots, reader.Count("slots", server.slots));
  server.slots = static_cast<std::uint32_t>(slots);
  TRY_ASSIGN(server.placement, reader.PlacementOf("state", "leaving"));
  return server;
}

Result<ServiceConfiguration> ReadService(const std::string& name,
                                         const Json& json) {
  const std::string path = "services." + name;
  ServiceConfiguration service;
  service.id = ServiceId(name);
  TRY_ASSIGN(const Json servers, ObjectReader(json, path).Members("servers"));
  for (const auto& [server_name, value] : servers.items()) {
    TRY_ASSIGN(
        ServerConfiguration server,
        ReadServer(server_name, value, path + ".servers." + server_name));
    service.servers.emplace(server.id, std::move(server));
  }
  return service;
}

Result<ZoneConfiguration> ReadZone(const std::string& name, const Json& json) {
  const ObjectReader reader(json, "zones." + name);
  ZoneConfiguration zone;
  zone.id = ZoneId(name);
  TRY_ASSIGN(zone.placement, reader.PlacementOf("state", "out"));
  TRY_ASSIGN(const std::uint64_t limit, reader.Count("limit", 0));
  zone.limit = static_cast<std::uint32_t>(limit);
  return zone;
}

Result<PartyConfiguration> ReadParty(const std::string& name,
                                     const Json& json) {
  const std::string path = "parties." + name;
  PartyConfiguration party;
  party.id = PartyId(name);
  TRY_ASSIGN(const Json agreements,
             ObjectReader(json, path).Members("agreements"));
  for (const auto& [service, value] : agreements.items()) {
    const ObjectReader reader(value, path + ".agreements." + service);
    AgreementConfiguration agreement;
    TRY_ASSIGN(agreement.calls_per_second,
               reader.Number("calls_per_second", 0));
    TRY_ASSIGN(agreement.calls_per_month, reader.Count("calls_per_month", 0));
    party.agreements.emplace(ServiceId(service), agreement);
  }
  return party;
}

}  // namespace

Result<FleetConfiguration> FleetConfiguration::Parse(std::string_view json) {
  const Json root = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object()) {
    return Fail(ErrorCode::kInvalidArgument,
                "the fleet configuration is not a JSON object");
  }
  const ObjectReader reader(root, "fleet");
  FleetConfiguration fleet;
  TRY_ASSIGN(const Json services, reader.Members("services"));
  for (const auto& [name, value] : services.items()) {
    TRY_ASSIGN(ServiceConfiguration service, ReadService(name, value));
    fleet.services.emplace(service.id, std::move(service));
  }
  TRY_ASSIGN(const Json zones, reader.Members("zones"));
  for (const auto& [name, value] : zones.items()) {
    TRY_ASSIGN(ZoneConfiguration zone, ReadZone(name, value));
    fleet.zones.emplace(zone.id, std::move(zone));
  }
  TRY_ASSIGN(const Json parties, reader.Members("parties"));
  for (const auto& [name, value] : parties.items()) {
    TRY_ASSIGN(PartyConfiguration party, ReadParty(name, value));
    fleet.parties.emplace(party.id, std::move(party));
  }
  return fleet;
}

}  // namespace dogwood
