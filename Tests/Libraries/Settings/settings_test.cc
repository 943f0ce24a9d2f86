#include "Libraries/Settings/settings.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

namespace dogwood {
namespace {

using Json = nlohmann::json;

Json ExampleFleet() {
  return Json::parse(R"({
    "default": {"queue_limit": 100, "claims": {"remember_hours": 48}},
    "services": {"tracking": {
      "settings": {"queue_limit": 50},
      "servers": {"t1": {"address": "127.0.0.1:7001", "zone": "palermo"}}}},
    "zones": {"palermo": {"settings": {"cold_limit": 2}}, "catania": {}},
    "parties": {"lesta": {
      "settings": {"queue_limit": 10},
      "agreements": {"tracking": {"calls_per_second": 5}}}}})");
}

std::string ValidationError(const Json& tree) {
  const auto result = SettingsTree(tree).Validate("fleet.json");
  return result ? "" : result.error().message;
}

SettingsChangeRequest MakeRequest(const std::string& id,
                                  const std::string& path, Json value,
                                  std::uint64_t base) {
  return {OperationId(id), path, std::move(value), "", SettingsVersion(base)};
}

// Prepares and applies a change that must be valid and without conflict.
SettingsVersion CommitChange(SettingsChangeLog& change_log,
                             const std::string& id, const std::string& path,
                             const Json& value) {
  const auto prepared = change_log.Prepare(
      MakeRequest(id, path, value, change_log.version().value()), 0);
  REQUIRE(prepared.has_value());
  const auto& change = std::get<SettingsChange>(prepared.value());
  REQUIRE(change_log.Apply(change).value());
  return change.version;
}

// Guards against a level that is skipped or has the wrong precedence. The
// expected value is computed by applying the levels from the least to the most
// specific.
TEST_CASE("The most specific level wins for every combination of levels") {
  CHECK(rc::check([](bool has_default, bool has_service, bool has_zone,
                     bool has_client_account) {
    SettingsTree tree;
    Json expected = 200;
    if (has_default) tree.Set("default.queue_limit", expected = 1);
    if (has_service) tree.Set("services.s.settings.queue_limit", expected = 2);
    if (has_zone) tree.Set("zones.z.settings.queue_limit", expected = 3);
    if (has_client_account)
      tree.Set("parties.p.settings.queue_limit", expected = 4);
    const SettingsScope scope{ServiceId("s"), ZoneId("z"),
                              ClientAccountId("p")};
    RC_ASSERT(tree.EffectiveValue("queue_limit", scope).value() == expected);
    int effective = 0;
    const auto levels = tree.Explain("queue_limit", scope).value();
    for (const SettingsLevel& level : levels) {
      if (!level.is_effective) continue;
      ++effective;
      RC_ASSERT(*level.value == expected);
    }
    RC_ASSERT(effective == 1);
    const auto fleet =
        FleetConfiguration::FromTree(tree, SettingsVersion(3)).value();
    RC_ASSERT(fleet.EffectiveSettings(ServiceId("s"), ZoneId("z"),
                                      ClientAccountId("p"))
                      .queue_limit == expected.get<std::uint32_t>() ||
              !has_service);
  }));
}

TEST_CASE("A fleet configuration holds the effective values") {
  const auto fleet = FleetConfiguration::FromTree(SettingsTree(ExampleFleet()),
                                                  SettingsVersion(7))
                         .value();
  CHECK(fleet.version == SettingsVersion(7));
  const ServiceId tracking("tracking");
  CHECK(fleet.services.at(tracking).settings.queue_limit == 50);
  CHECK(fleet.services.at(tracking).settings.connection_limit == 260);
  CHECK(fleet.settings.claims_retention == std::chrono::hours(48));
  const ServiceSettings settings = fleet.EffectiveSettings(
      tracking, ZoneId("palermo"), ClientAccountId("lesta"));
  CHECK(settings.queue_limit == 10);
  CHECK(settings.cold_limit == 2);
}

// Guards against settings that are silently ignored or inconsistent.
TEST_CASE("Validation errors name the path, the value and the allowed values") {
  CHECK(ValidationError(ExampleFleet()).empty());
  const auto with = [](const char* path, const Json& value) {
    SettingsTree tree(ExampleFleet());
    tree.Set(path, value);
    return ValidationError(tree.root());
  };
  CHECK(with("default.queue_limit", -1) ==
        "fleet.json: default.queue_limit: found -1, allowed whole number from "
        "0 to 1000000");
  CHECK(with("default.queue_limit", "many").find("found \"many\"") !=
        std::string::npos);
  CHECK(with("default.queue_length", 1).find("unknown key") !=
        std::string::npos);
  CHECK(with("zones.catania.settings.claims.remember_hours", 1)
            .find("unknown key") != std::string::npos);
  CHECK(with("zones.catania.state", "away").find("in/out") !=
        std::string::npos);
  CHECK(with("zones.bad name.state", "in").find("unknown key") !=
        std::string::npos);
  CHECK(with("services.tracking.servers.t1.zone", "messina")
            .find("services.tracking.servers.t1.zone") != std::string::npos);
  CHECK(with("services.tracking.servers.t1.address", "localhost")
            .find("allowed IP:PORT") != std::string::npos);
  CHECK(with("parties.lesta.agreements.proofs.calls_per_second", 1)
            .find("services that exist") != std::string::npos);
  CHECK(with("services.tracking.settings.permit_lease_ms", 1500)
            .find("more than permit_lease_ms") != std::string::npos);
  CHECK(with("default.usage.write_interval_ms", 10000)
            .find("usage.reservation_seconds") != std::string::npos);
}

TEST_CASE("Process settings have defaults and reject invalid values") {
  const std::string good = R"({"host": "h1", "zone": "z1",
      "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
                 "operators": "127.0.0.1:3"}, "platform": "127.0.0.1:4")";
  const auto settings = ProcessSettings::Parse(good + "}", "entry.json");
  REQUIRE(settings.has_value());
  CHECK(settings.value().peer_listen_address == "127.0.0.1:2");
  CHECK(settings.value().worker_threads == 1);
  CHECK(settings.value().stop_deadline == std::chrono::seconds(300));
  const auto error = [&](const std::string& extra) {
    return ProcessSettings::Parse(good + extra + "}", "entry.json")
        .error()
        .message;
  };
  CHECK(error(R"(, "workers": 0)") ==
        "entry.json: workers: found 0, allowed whole number from 1 to 256");
  CHECK(error(R"(, "worker": 1)").find("entry.json: worker: ") == 0);
  CHECK(error(R"(, "fleet_file": "x")").find("exactly one") !=
        std::string::npos);
  CHECK(ProcessSettings::Parse("{}", "entry.json").error().message ==
        "entry.json: host: found nothing, allowed text");
  CHECK(ProcessSettings::Parse("{", "entry.json").has_error());
}

// Guards against a reference page that differs from the program.
TEST_CASE("docs/settings.md equals the output of SettingsReference()") {
  std::ifstream file(DOGWOOD_SOURCE_DIR "/docs/settings.md");
  REQUIRE(file.is_open());
  std::stringstream text;
  text << file.rdbuf();
  CHECK(text.str() == MakeSettingsReference());
}

TEST_CASE(
    "A change of a path that changed since its base version is a conflict") {
  SettingsChangeLog change_log;
  CommitChange(change_log, "a", "default.queue_limit", 1);
  CommitChange(change_log, "b", "default.cold_limit", 2);
  const auto stale =
      change_log.Prepare(MakeRequest("c", "default.queue_limit", 3, 0), 0)
          .value();
  REQUIRE(std::holds_alternative<ChangeConflict>(stale));
  CHECK(std::get<ChangeConflict>(stale).version == SettingsVersion(1));
  CHECK(std::get<ChangeConflict>(stale).current == 1);
  CHECK(std::get<ChangeConflict>(stale).wanted == 3);
  const auto parent =
      change_log.Prepare(MakeRequest("d", "default", nullptr, 1), 0);
  CHECK(std::holds_alternative<ChangeConflict>(parent.value()));
  const auto other =
      change_log.Prepare(MakeRequest("e", "default.queue_limit", 3, 1), 0)
          .value();
  CHECK(std::holds_alternative<SettingsChange>(other));
  const auto repeated =
      change_log.Prepare(MakeRequest("a", "default.queue_limit", 1, 0), 0)
          .value();
  REQUIRE(std::holds_alternative<AlreadyCommitted>(repeated));
  CHECK(change_log.Prepare(MakeRequest("a", "default.queue_limit", 9, 2), 0)
            .error()
            .code == ErrorCode::kInvalidArgument);
}

// Guards against a host whose settings version decreases or skips a change.
TEST_CASE("Replay in any order yields the same tree and no version decrease") {
  SettingsChangeLog source;
  for (int i = 1; i <= 8; ++i)
    CommitChange(source, "o" + std::to_string(i), "default.queue_limit", i);
  const std::vector<SettingsChange> changes(source.changes().begin(),
                                            source.changes().end());
  CHECK(rc::check([&](const std::vector<std::uint8_t>& order) {
    SettingsChangeLog copy;
    SettingsVersion newest;
    for (const std::uint8_t index : order) {
      const auto result = copy.Apply(changes[index % changes.size()]);
      RC_ASSERT(copy.version() >= newest);
      const bool is_gap =
          !result && result.error().code == ErrorCode::kConflict;
      RC_ASSERT((result.has_value() || is_gap));
      newest = copy.version();
    }
    for (const SettingsChange& change : changes) {
      const auto reread = SettingsChange::FromJson(change.ToJson()).value();
      RC_ASSERT(copy.Apply(reread).has_value());
    }
    RC_ASSERT(!copy.ApplySnapshot(SettingsVersion(3), SettingsTree()));
    RC_ASSERT(copy.tree().root() == source.tree().root());
  }));
}

// Guards against hosts that resolve concurrent emergency orders differently.
TEST_CASE("Emergency orders merged in any order yield the same tree") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& picks) {
    SettingsChangeLog base;
    CommitChange(base, "z", "zones.palermo.limit", 5);
    std::vector<EmergencyOrder> orders;
    for (int i = 0; i < 6; ++i) {
      SettingsChangeLog accepting_host = base;
      for (int seen = 0; seen < i / 2; ++seen)
        accepting_host.AddEmergencyOrder(orders[seen]);
      orders.push_back(
          accepting_host
              .CreateEmergencyOrder(MakeRequest("order" + std::to_string(i),
                                                "zones.palermo.state",
                                                i % 2 == 0 ? "out" : "in", 0),
                                    0)
              .value());
    }
    SettingsChangeLog left = base;
    SettingsChangeLog right = base;
    for (const std::uint8_t pick : picks)
      left.AddEmergencyOrder(orders[pick % 6]);
    for (const EmergencyOrder& order : orders) {
      left.AddEmergencyOrder(order);
      right.AddEmergencyOrder(order);
    }
    RC_ASSERT(left.EffectiveTree().root() == right.EffectiveTree().root());
  }));
}

TEST_CASE("An emergency order ends when it is committed or superseded") {
  SettingsChangeLog change_log;
  CommitChange(change_log, "z", "zones.palermo.limit", 5);
  CHECK(change_log
            .CreateEmergencyOrder(
                MakeRequest("x", "zones.messina.state", "out", 0), 0)
            .error()
            .code == ErrorCode::kNotFound);
  CHECK(change_log
            .CreateEmergencyOrder(MakeRequest("x", "zones.palermo.limit", 1, 0),
                                  0)
            .has_error());
  const auto order =
      change_log
          .CreateEmergencyOrder(
              MakeRequest("x", "zones.palermo.state", "out", 0), 0)
          .value();
  CHECK(change_log.EffectiveTree().At("zones.palermo.state") == "out");
  CHECK(!change_log.FindSupersedingVersion(order));
  SettingsChangeLog other = change_log;
  CommitChange(change_log, "x", "zones.palermo.state", "out");
  CHECK(change_log.orders().empty());
  CHECK(!change_log.AddEmergencyOrder(order));
  CommitChange(other, "y", "zones.palermo.state", "in");
  CHECK(other.FindSupersedingVersion(order) == SettingsVersion(2));
  CHECK(other.EffectiveTree().At("zones.palermo.state") == "in");
}

}  // namespace
}  // namespace dogwood
