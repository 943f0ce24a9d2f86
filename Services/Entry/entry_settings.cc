#include "Services/Entry/entry_settings.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "Libraries/Http/http.h"

namespace dogwood {
namespace {

using Json = nlohmann::json;
using Endpoint = boost::asio::ip::tcp::endpoint;

constexpr std::uint64_t kMaxWorkers = 64;
constexpr std::uint64_t kMaxStopDeadlineSeconds = std::uint64_t{24} * 3600;

constexpr EnumNames<EventLevel, 4> kLogLevelNames{{{
    {EventLevel::kDebug, "debug"},
    {EventLevel::kInfo, "info"},
    {EventLevel::kWarning, "warning"},
    {EventLevel::kError, "error"},
}}};

auto InvalidSetting(const std::string& path, const std::string& message) {
  return Fail(ErrorCode::kInvalidArgument, path + ": " + message);
}

// Reads the members of one JSON object by name and rejects unknown members.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string prefix)
      : object_(object), prefix_(std::move(prefix)) {}

  Result<std::string> ReadString(const std::string& name,
                                 std::optional<std::string> fallback) {
    known_names_.push_back(name);
    const auto found = object_.find(name);
    if (found == object_.end()) {
      if (fallback) return *fallback;
      return InvalidSetting(prefix_ + name, "is required");
    }
    if (!found->is_string())
      return InvalidSetting(prefix_ + name, "expected a string");
    return found->get<std::string>();
  }

  Result<std::uint64_t> ReadCount(const std::string& name,
                                  std::uint64_t fallback, std::uint64_t minimum,
                                  std::uint64_t maximum) {
    known_names_.push_back(name);
    const auto found = object_.find(name);
    if (found == object_.end()) return fallback;
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() < minimum ||
        found->get<std::uint64_t>() > maximum) {
      return InvalidSetting(prefix_ + name, "expected a whole number from " +
                                                std::to_string(minimum) +
                                                " to " +
                                                std::to_string(maximum));
    }
    return found->get<std::uint64_t>();
  }

  Result<std::optional<Endpoint>> ReadEndpoint(const std::string& name) {
    TRY_ASSIGN(const std::string text, ReadString(name, ""));
    if (text.empty()) return std::nullopt;
    const Result<Endpoint> endpoint = ParseEndpoint(text);
    if (!endpoint)
      return InvalidSetting(prefix_ + name, endpoint.error().message);
    return std::optional<Endpoint>(endpoint.value());
  }

  Result<Json> ReadObject(const std::string& name) {
    known_names_.push_back(name);
    const auto found = object_.find(name);
    if (found == object_.end()) return Json::object();
    if (!found->is_object())
      return InvalidSetting(prefix_ + name, "expected an object");
    return *found;
  }

  Result<void> RejectUnknownMembers() const {
    for (const auto& [name, value] : object_.items()) {
      if (std::find(known_names_.begin(), known_names_.end(), name) ==
          known_names_.end())
        return InvalidSetting(prefix_ + name, "is not a known setting");
    }
    return outcome::success();
  }

 private:
  const Json& object_;
  std::string prefix_;
  std::vector<std::string> known_names_;
};

}  // namespace

Result<EntrySettings> EntrySettings::Parse(std::string_view json) {
  const Json root = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object())
    return InvalidSetting("settings", "expected a JSON object");
  ObjectReader reader(root, "");
  EntrySettings settings;
  TRY_ASSIGN(std::string host, reader.ReadString("host", std::nullopt));
  settings.host = HostId(std::move(host));
  TRY_ASSIGN(std::string zone, reader.ReadString("zone", std::nullopt));
  settings.zone = ZoneId(std::move(zone));

  TRY_ASSIGN(const Json listen, reader.ReadObject("listen"));
  ObjectReader listen_reader(listen, "listen.");
  TRY_ASSIGN(const auto callers, listen_reader.ReadEndpoint("callers"));
  if (!callers) return InvalidSetting("listen.callers", "is required");
  settings.callers = *callers;
  TRY_ASSIGN(settings.peers, listen_reader.ReadEndpoint("peers"));
  TRY_ASSIGN(settings.operators, listen_reader.ReadEndpoint("operators"));
  TRY(listen_reader.RejectUnknownMembers());

  TRY_ASSIGN(settings.platform, reader.ReadEndpoint("platform"));
  TRY_ASSIGN(const std::uint64_t workers,
             reader.ReadCount("workers", 1, 1, kMaxWorkers));
  settings.workers = static_cast<std::uint32_t>(workers);
  TRY_ASSIGN(settings.operator_token_file,
             reader.ReadString("operator_token_file", ""));

  TRY_ASSIGN(const Json log, reader.ReadObject("log"));
  ObjectReader log_reader(log, "log.");
  TRY_ASSIGN(settings.log_file, log_reader.ReadString("file", ""));
  TRY_ASSIGN(const std::string level, log_reader.ReadString("level", "info"));
  const auto known_level = kLogLevelNames.FindValue(level);
  if (!known_level)
    return InvalidSetting("log.level",
                          "expected debug, info, warning or error");
  settings.log_level = *known_level;
  TRY(log_reader.RejectUnknownMembers());

  TRY_ASSIGN(settings.fleet_file, reader.ReadString("fleet_file", ""));
  TRY_ASSIGN(const std::uint64_t stop_seconds,
             reader.ReadCount("stop_deadline_seconds", 300, 1,
                              kMaxStopDeadlineSeconds));
  settings.stop_deadline = std::chrono::seconds(stop_seconds);
  TRY_ASSIGN(const std::string policy,
             reader.ReadString("placement_policy", "two_choices"));
  const auto known_policy = kLoadBalancingPolicyNames.FindValue(policy);
  if (!known_policy) {
    return InvalidSetting("placement_policy",
                          "expected round_robin, random or two_choices");
  }
  settings.placement_policy = *known_policy;
  TRY(reader.RejectUnknownMembers());
  return settings;
}

Result<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file.is_open()) return Fail(ErrorCode::kIo, "cannot read " + path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace dogwood
