#include "Libraries/Settings/setting_keys.h"

#include <array>
#include <deque>
#include <sstream>

namespace dogwood {
namespace {

using Type = SettingKey::Type;
using Reach = InheritedKey::Reach;

constexpr auto kInheritedKeys = std::to_array<InheritedKey>({
    {Reach::kService,
     {"cold_limit", Type::kCount, "concurrent requests", 1, 1000, "1", "",
      "Usable slots of a backend server in a cold start."}},
    {Reach::kService,
     {"connection_limit", Type::kCount, "connections", 1, 100000, "260", "",
      "Connections to one backend server from all hosts together."}},
    {Reach::kService,
     {"default_deadline_ms", Type::kCount, "ms", 1, 3600000, "10000", "",
      "Deadline of a request that states none."}},
    {Reach::kService,
     {"permit_lease_ms", Type::kCount, "ms", 100, 60000, "1000", "",
      "Time without a peer's acknowledgement after which a host uses no "
      "permit."}},
    {Reach::kService,
     {"permit_takeover_delay_ms", Type::kCount, "ms", 100, 60000, "1500", "",
      "Time before a host uses a slot it gained; must be greater than "
      "permit_lease_ms."}},
    {Reach::kService,
     {"probes_per_second", Type::kNumber, "1/s", 0, 1000, "1", "",
      "Probes of one backend server by all hosts together."}},
    {Reach::kService,
     {"queue_limit", Type::kCount, "requests", 0, 1000000, "200", "",
      "Waiting requests of a service on one host."}},
    {Reach::kService,
     {"retry_budget_percent", Type::kNumber, "%", 0, 100, "10", "",
      "Retries in percent of the requests seen."}},
    {Reach::kFleet,
     {"claims.commit_interval_ms", Type::kCount, "ms", 1, 10000, "60", "",
      "Shortest time between the starts of two claim commits of a host."}},
    {Reach::kFleet,
     {"claims.remember_hours", Type::kCount, "h", 1, 720, "24", "",
      "How long an idempotency key is remembered."}},
    {Reach::kFleet,
     {"usage.reservation_seconds", Type::kCount, "s", 1, 3600, "10", "",
      "Use that a host may reserve ahead of its written totals; must be "
      "longer than usage.write_interval_ms."}},
    {Reach::kFleet,
     {"usage.write_interval_ms", Type::kCount, "ms", 100, 600000, "2000", "",
      "Time between two writes of a host's usage totals."}},
});

constexpr auto kFleetObjectKeys = std::to_array<SettingKey>({
    {"parties.*.agreements.*.calls_per_month", Type::kCount, "calls", 0, 1e15,
     "0", "", "Agreed calls of the service in a calendar month (UTC)."},
    {"parties.*.agreements.*.calls_per_second", Type::kNumber, "1/s", 0, 1e9,
     "0", "", "Agreed rate of the service; 0 agrees no use."},
    {"services.*.servers.*.address", Type::kAddress, "", 0, 0, "", "",
     "Where the backend server listens."},
    {"services.*.servers.*.slots", Type::kCount, "concurrent requests", 1, 1000,
     "6", "", "Requests the backend server can run at once."},
    {"services.*.servers.*.state", Type::kChoice, "", 0, 0, "\"in\"",
     "in|leaving", "A leaving backend server gets no new work."},
    {"services.*.servers.*.zone", Type::kText, "", 0, 0, "", "",
     "Availability zone; must exist under zones."},
    {"zones.*.limit", Type::kCount, "concurrent requests", 0, 1000000, "0", "",
     "Requests that run in the availability zone at once; 0 is unlimited."},
    {"zones.*.state", Type::kChoice, "", 0, 0, "\"in\"", "in|out",
     "An availability zone that is out gets no new work."},
});

constexpr auto kProcessKeys = std::to_array<SettingKey>({
    {"fleet_file", Type::kText, "", 0, 0, "\"\"", "",
     "Fleet configuration file, used when no platform is configured."},
    {"host", Type::kText, "", 0, 0, "", "", "Name of this host."},
    {"listen.callers", Type::kAddress, "", 0, 0, "", "", "Callers' listener."},
    {"listen.operators", Type::kAddress, "", 0, 0, "", "",
     "Operators' listener."},
    {"listen.peers", Type::kAddress, "", 0, 0, "", "",
     "Listener for other hosts."},
    {"log.file", Type::kText, "", 0, 0, "\"\"", "",
     "Event log; empty writes to standard error."},
    {"log.level", Type::kChoice, "", 0, 0, "\"info\"",
     "debug|info|warning|error", "Lowest level that is logged."},
    {"operator_token_file", Type::kText, "", 0, 0, "\"\"", "",
     "File with the operators' bearer token; empty allows no operator."},
    {"platform", Type::kText, "", 0, 0, "\"\"", "",
     "IP:PORT of the platform; empty when fleet_file is used."},
    {"stop_deadline_seconds", Type::kCount, "s", 0, 86400, "300", "",
     "Longest graceful shutdown."},
    {"workers", Type::kCount, "threads", 1, 256, "1", "",
     "Threads of the request path."},
    {"zone", Type::kText, "", 0, 0, "", "", "Availability zone of this host."},
});

// Inherited keys with each allowed level in front, then the object keys.
struct FleetKeyStorage {
  FleetKeyStorage() {
    for (const InheritedKey& inherited : kInheritedKeys) {
      Add("default.", inherited.key);
      if (inherited.reach == Reach::kFleet) continue;
      for (const char* level :
           {"services.*.settings.", "zones.*.settings.", "parties.*.settings."})
        Add(level, inherited.key);
    }
    keys.insert(keys.end(), kFleetObjectKeys.begin(), kFleetObjectKeys.end());
  }

  void Add(const std::string& level, SettingKey key) {
    paths.push_back(level + std::string(key.path));
    key.path = paths.back();
    keys.push_back(key);
  }

  std::deque<std::string> paths;
  std::vector<SettingKey> keys;
};

void AppendRow(std::ostream& out, const SettingKey& key) {
  out << "| `" << key.path << "` | " << key.Allowed() << " | " << key.unit
      << " | "
      << (key.default_json.empty() ? "required"
                                   : "`" + std::string(key.default_json) + "`")
      << " | " << key.description << " |\n";
}

constexpr std::string_view kTableHead =
    "| Key | Allowed | Unit | Default | Meaning |\n|---|---|---|---|---|\n";

}  // namespace

std::span<const InheritedKey> InheritedKeys() { return kInheritedKeys; }

const InheritedKey* FindInheritedKey(std::string_view path) {
  for (const InheritedKey& inherited : kInheritedKeys) {
    if (inherited.key.path == path) return &inherited;
  }
  return nullptr;
}

const KeyTable& FleetKeys() {
  static const FleetKeyStorage storage;
  static const KeyTable table(storage.keys);
  return table;
}

const KeyTable& ProcessKeys() {
  static const KeyTable table(kProcessKeys);
  return table;
}

std::string SettingsReference() {
  std::ostringstream out;
  const auto append = [&](const SettingKey& key) { AppendRow(out, key); };
  out << "# Settings\n\n"
         "Written by `dogwood-ctl settings-reference`; a test compares this "
         "page with the key tables.\n\n"
         "## Inherited settings\n\n"
         "Given under `default` and overridden under "
         "`services.NAME.settings`, `zones.NAME.settings` or "
         "`parties.NAME.settings`. The most specific level wins: party, then "
         "availability zone, then service, then default.\n\n"
      << kTableHead;
  for (const InheritedKey& inherited : kInheritedKeys) {
    if (inherited.reach == Reach::kService) append(inherited.key);
  }
  out << "\n## Settings of the whole fleet\n\nGiven under `default` only.\n\n"
      << kTableHead;
  for (const InheritedKey& inherited : kInheritedKeys) {
    if (inherited.reach == Reach::kFleet) append(inherited.key);
  }
  out << "\n## Services, availability zones and parties\n\n`*` stands for a "
         "name.\n\n"
      << kTableHead;
  for (const SettingKey& key : kFleetObjectKeys) append(key);
  out << "\n## Process settings of dogwood-entry\n\nA JSON file; dots separate "
         "nested objects.\n\n"
      << kTableHead;
  for (const SettingKey& key : kProcessKeys) append(key);
  return out.str();
}

}  // namespace dogwood
