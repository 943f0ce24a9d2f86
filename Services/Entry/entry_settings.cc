#include "Services/Entry/entry_settings.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "Libraries/Http/http.h"

namespace dogwood {
namespace {

using Json = nlohmann::json;
using Endpoint = boost::asio::ip::tcp::endpoint;

constexpr std::uint64_t kMostWorkers = 64;
constexpr std::uint64_t kLongestStopSeconds = std::uint64_t{24} * 3600;

constexpr NameTable<EventLevel, 4> kLevelNames{{{
    {EventLevel::kDebug, "debug"},
    {EventLevel::kInfo, "info"},
    {EventLevel::kWarning, "warning"},
    {EventLevel::kError, "error"},
}}};

auto Invalid(const std::string& path, const std::string& message) {
  return Fail(ErrorCode::kInvalidArgument, path + ": " + message);
}

// Reads the members of one object by name and refuses names that nobody read.
class SettingsReader {
 public:
  SettingsReader(const Json& object, std::string prefix)
      : object_(object), prefix_(std::move(prefix)) {}

  Result<std::string> Text(const std::string& name,
                           std::optional<std::string> fallback) {
    known_.push_back(name);
    const auto found = object_.find(name);
    if (found == object_.end()) {
      if (fallback) return *fallback;
      return Invalid(prefix_ + name, "is required");
    }
    if (!found->is_string())
      return Invalid(prefix_ + name, "expected a string");
    return found->get<std::string>();
  }

  Result<std::uint64_t> Count(const std::string& name, std::uint64_t fallback,
                              std::uint64_t least, std::uint64_t most) {
    known_.push_back(name);
    const auto found = object_.find(name);
    if (found == object_.end()) return fallback;
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() < least ||
        found->get<std::uint64_t>() > most) {
      return Invalid(prefix_ + name, "expected a whole number from " +
                                         std::to_string(least) + " to " +
                                         std::to_string(most));
    }
    return found->get<std::uint64_t>();
  }

  Result<std::optional<Endpoint>> Address(const std::string& name) {
    TRY_ASSIGN(const std::string text, Text(name, ""));
    if (text.empty()) return std::nullopt;
    const Result<Endpoint> endpoint = ParseEndpoint(text);
    if (!endpoint) return Invalid(prefix_ + name, endpoint.error().message);
    return std::optional<Endpoint>(endpoint.value());
  }

  Result<Json> Members(const std::string& name) {
    known_.push_back(name);
    const auto found = object_.find(name);
    if (found == object_.end()) return Json::object();
    if (!found->is_object())
      return Invalid(prefix_ + name, "expected an object");
    return *found;
  }

  Result<void> RefuseUnknown() const {
    for (const auto& [name, value] : object_.items()) {
      if (std::find(known_.begin(), known_.end(), name) == known_.end())
        return Invalid(prefix_ + name, "is not a known setting");
    }
    return outcome::success();
  }

 private:
  const Json& object_;
  std::string prefix_;
  std::vector<std::string> known_;
};

}  // namespace

Result<EntrySettings> EntrySettings::Parse(std::string_view json) {
  const Json root = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object()) return Invalid("settings", "expected a JSON object");
  SettingsReader reader(root, "");
  EntrySettings settings;
  TRY_ASSIGN(std::string host, reader.Text("host", std::nullopt));
  settings.host = HostId(std::move(host));
  TRY_ASSIGN(std::string zone, reader.Text("zone", std::nullopt));
  settings.zone = ZoneId(std::move(zone));

  TRY_ASSIGN(const Json listen, reader.Members("listen"));
  SettingsReader listen_reader(listen, "listen.");
  TRY_ASSIGN(const auto callers, listen_reader.Address("callers"));
  if (!callers) return Invalid("listen.callers", "is required");
  settings.callers = *callers;
  TRY_ASSIGN(settings.peers, listen_reader.Address("peers"));
  TRY_ASSIGN(settings.operators, listen_reader.Address("operators"));
  TRY(listen_reader.RefuseUnknown());

  TRY_ASSIGN(settings.platform, reader.Address("platform"));
  TRY_ASSIGN(const std::uint64_t workers,
             reader.Count("workers", 1, 1, kMostWorkers));
  settings.workers = static_cast<std::uint32_t>(workers);
  TRY_ASSIGN(settings.operator_token_file,
             reader.Text("operator_token_file", ""));

  TRY_ASSIGN(const Json log, reader.Members("log"));
  SettingsReader log_reader(log, "log.");
  TRY_ASSIGN(settings.log_file, log_reader.Text("file", ""));
  TRY_ASSIGN(const std::string level, log_reader.Text("level", "info"));
  const auto known_level = kLevelNames.ValueOf(level);
  if (!known_level)
    return Invalid("log.level", "expected debug, info, warning or error");
  settings.log_level = *known_level;
  TRY(log_reader.RefuseUnknown());

  TRY_ASSIGN(settings.fleet_file, reader.Text("fleet_file", ""));
  TRY_ASSIGN(
      const std::uint64_t stop_seconds,
      reader.Count("stop_deadline_seconds", 300, 1, kLongestStopSeconds));
  settings.stop_deadline = std::chrono::seconds(stop_seconds);
  TRY_ASSIGN(const std::string policy,
             reader.Text("placement_policy", "two_choices"));
  const auto known_policy = kPlacementPolicyNames.ValueOf(policy);
  if (!known_policy) {
    return Invalid("placement_policy",
                   "expected round_robin, random or two_choices");
  }
  settings.placement_policy = *known_policy;
  TRY(reader.RefuseUnknown());
  return settings;
}

Result<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file.is_open()) return Fail(ErrorCode::kIo, "cannot read " + path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace dogwood
