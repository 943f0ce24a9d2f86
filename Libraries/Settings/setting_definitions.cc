#include "Libraries/Settings/setting_definitions.h"

#include <array>
#include <deque>
#include <sstream>

namespace dogwood {
namespace {

using Type = SettingDefinition::Type;
using Scope = InheritedSetting::Scope;

constexpr auto kInheritedSettings = std::to_array<InheritedSetting>({
    {Scope::kService,
     {"cold_limit", Type::kCount, "concurrent requests", 1, 1000, "1", "",
      "Usable slots of a backend server during a cold start."}},
    {Scope::kService,
     {"connection_limit", Type::kCount, "connections", 1, 100000, "260", "",
      "Connections to one backend server from all hosts together."}},
    {Scope::kService,
     {"default_deadline_ms", Type::kCount, "ms", 1, 3600000, "10000", "",
      "Deadline of a request that does not specify one."}},
    {Scope::kService,
     {"permit_lease_ms", Type::kCount, "ms", 100, 60000, "1000", "",
      "Time without a peer's acknowledgement after which a host uses no "
      "permit."}},
    {Scope::kService,
     {"permit_takeover_delay_ms", Type::kCount, "ms", 100, 60000, "1500", "",
      "Time before a host uses a slot it gained; must be greater than "
      "permit_lease_ms."}},
    {Scope::kService,
     {"probes_per_second", Type::kNumber, "1/s", 0, 1000, "1", "",
      "Probes of one backend server by all hosts together."}},
    {Scope::kService,
     {"queue_limit", Type::kCount, "requests", 0, 1000000, "200", "",
      "Queued requests of a service on one host."}},
    {Scope::kService,
     {"retry_budget_percent", Type::kNumber, "%", 0, 100, "10", "",
      "Retries in percent of all requests."}},
    {Scope::kFleet,
     {"claims.commit_interval_ms", Type::kCount, "ms", 1, 10000, "60", "",
      "Shortest time between the starts of two claim commits of a host."}},
    {Scope::kFleet,
     {"claims.remember_hours", Type::kCount, "h", 1, 720, "24", "",
      "Retention time of an idempotency key."}},
    {Scope::kFleet,
     {"usage.reservation_seconds", Type::kCount, "s", 1, 3600, "10", "",
      "Use that a host may reserve ahead of its written totals; must be "
      "longer than usage.write_interval_ms."}},
    {Scope::kFleet,
     {"usage.write_interval_ms", Type::kCount, "ms", 100, 600000, "2000", "",
      "Time between two writes of a host's usage totals."}},
});

constexpr auto kFleetObjectSettings = std::to_array<SettingDefinition>({
    {"parties.*.agreements.*.calls_per_month", Type::kCount, "calls", 0, 1e15,
     "0", "", "Agreed calls of the service in a calendar month (UTC)."},
    {"parties.*.agreements.*.calls_per_second", Type::kNumber, "1/s", 0, 1e9,
     "0", "", "Agreed call rate of the service; 0 allows no calls."},
    {"services.*.servers.*.address", Type::kAddress, "", 0, 0, "", "",
     "Address that the backend server listens on."},
    {"services.*.servers.*.slots", Type::kCount, "concurrent requests", 1, 1000,
     "6", "", "Requests that the backend server can process concurrently."},
    {"services.*.servers.*.state", Type::kChoice, "", 0, 0, "\"in\"",
     "in|leaving",
     "Operational state; a leaving backend server receives no new requests."},
    {"services.*.servers.*.zone", Type::kText, "", 0, 0, "", "",
     "Availability zone; must exist under zones."},
    {"zones.*.limit", Type::kCount, "concurrent requests", 0, 1000000, "0", "",
     "Requests that run in the availability zone at once; 0 is unlimited."},
    {"zones.*.state", Type::kChoice, "", 0, 0, "\"in\"", "in|out",
     "Operational state; an availability zone that is out receives no new "
     "requests."},
});

constexpr auto kProcessSettings = std::to_array<SettingDefinition>({
    {"fleet_file", Type::kText, "", 0, 0, "\"\"", "",
     "Fleet configuration file, used when no platform is configured."},
    {"host", Type::kText, "", 0, 0, "", "", "Name of this host."},
    {"listen.callers", Type::kAddress, "", 0, 0, "", "",
     "Listen address for callers."},
    {"listen.operators", Type::kAddress, "", 0, 0, "", "",
     "Listen address for operators."},
    {"listen.peers", Type::kAddress, "", 0, 0, "", "",
     "Listen address for other hosts."},
    {"log.file", Type::kText, "", 0, 0, "\"\"", "",
     "Event log file; empty writes to standard error."},
    {"log.level", Type::kChoice, "", 0, 0, "\"info\"",
     "debug|info|warning|error", "Lowest level that is logged."},
    {"operator_token_file", Type::kText, "", 0, 0, "\"\"", "",
     "File with the bearer token of operators; empty allows no operator."},
    {"platform", Type::kText, "", 0, 0, "\"\"", "",
     "IP:PORT of the platform; empty when fleet_file is used."},
    {"stop_deadline_seconds", Type::kCount, "s", 0, 86400, "300", "",
     "Maximum duration of a graceful shutdown."},
    {"workers", Type::kCount, "threads", 1, 256, "1", "",
     "Worker threads that handle requests."},
    {"zone", Type::kText, "", 0, 0, "", "", "Availability zone of this host."},
});

// Definitions of inherited settings with the path of each allowed level,
// followed by those of the fleet's objects. Owns the paths that the definitions
// refer to.
struct FleetSettingStorage {
  FleetSettingStorage() {
    for (const InheritedSetting& inherited : kInheritedSettings) {
      Add("default.", inherited.definition);
      if (inherited.scope == Scope::kFleet) continue;
      for (const char* level :
           {"services.*.settings.", "zones.*.settings.", "parties.*.settings."})
        Add(level, inherited.definition);
    }
    definitions.insert(definitions.end(), kFleetObjectSettings.begin(),
                       kFleetObjectSettings.end());
  }

  void Add(const std::string& level, SettingDefinition definition) {
    paths.push_back(level + std::string(definition.path));
    definition.path = paths.back();
    definitions.push_back(definition);
  }

  std::deque<std::string> paths;
  std::vector<SettingDefinition> definitions;
};

void AppendReferenceRow(std::ostream& out,
                        const SettingDefinition& definition) {
  out << "| `" << definition.path << "` | " << definition.AllowedValues()
      << " | " << definition.unit << " | "
      << (definition.default_json.empty()
              ? "required"
              : "`" + std::string(definition.default_json) + "`")
      << " | " << definition.description << " |\n";
}

constexpr std::string_view kReferenceTableHeader =
    "| Key | Allowed | Unit | Default | Meaning |\n|---|---|---|---|---|\n";

}  // namespace

std::span<const InheritedSetting> InheritedSettings() {
  return kInheritedSettings;
}

const InheritedSetting* FindInheritedSetting(std::string_view path) {
  for (const InheritedSetting& inherited : kInheritedSettings) {
    if (inherited.definition.path == path) return &inherited;
  }
  return nullptr;
}

const SettingsSchema& FleetSchema() {
  static const FleetSettingStorage storage;
  static const SettingsSchema table(storage.definitions);
  return table;
}

const SettingsSchema& ProcessSchema() {
  static const SettingsSchema table(kProcessSettings);
  return table;
}

std::string MakeSettingsReference() {
  std::ostringstream out;
  const auto append = [&](const SettingDefinition& definition) {
    AppendReferenceRow(out, definition);
  };
  out << "# Settings\n\n"
         "Written by `dogwood-ctl settings-reference`; a test compares this "
         "page with the key tables.\n\n"
         "## Inherited settings\n\n"
         "Given under `default` and overridden under "
         "`services.NAME.settings`, `zones.NAME.settings` or "
         "`parties.NAME.settings`. The most specific level wins: party, then "
         "availability zone, then service, then default.\n\n"
      << kReferenceTableHeader;
  for (const InheritedSetting& inherited : kInheritedSettings) {
    if (inherited.scope == Scope::kService) append(inherited.definition);
  }
  out << "\n## Settings of the whole fleet\n\nGiven under `default` only.\n\n"
      << kReferenceTableHeader;
  for (const InheritedSetting& inherited : kInheritedSettings) {
    if (inherited.scope == Scope::kFleet) append(inherited.definition);
  }
  out << "\n## Services, availability zones and parties\n\n`*` stands for a "
         "name.\n\n"
      << kReferenceTableHeader;
  for (const SettingDefinition& definition : kFleetObjectSettings)
    append(definition);
  out << "\n## Process settings of dogwood-entry\n\nA JSON file; dots separate "
         "nested objects.\n\n"
      << kReferenceTableHeader;
  for (const SettingDefinition& definition : kProcessSettings)
    append(definition);
  return out.str();
}

}  // namespace dogwood
