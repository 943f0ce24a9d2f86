#include "Services/Entry/operator_api.h"

#include <charconv>

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr std::size_t kMaxBodyBytes = 256U << 10U;
constexpr std::size_t kMaxOperationIdBytes = 128;
constexpr std::string_view kChangesPrefix = "/v1/changes/";

HttpResponse JsonResponse(unsigned status, const Json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump() + "\n"};
}

HttpResponse JsonResponse(const Error& error) {
  unsigned status = 500;
  switch (error.code) {
    case ErrorCode::kInvalidArgument:
      status = 400;
      break;
    case ErrorCode::kNotFound:
      status = 404;
      break;
    case ErrorCode::kConflict:
      status = 409;
      break;
    case ErrorCode::kUnavailable:
      status = 503;
      break;
    case ErrorCode::kOutcomeUnknown:
    case ErrorCode::kDeadlineExceeded:
      status = 504;
      break;
    default:
      break;
  }
  return JsonResponse(status, {{"error", error.message},
                               {"code", kErrorCodeNames.NameOf(error.code)}});
}

Result<std::uint64_t> VersionParameter(std::string_view target,
                                       std::string_view name,
                                       std::uint64_t fallback) {
  const auto text = FindQueryParameter(target, name);
  if (!text) return fallback;
  std::uint64_t version = 0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, version);
  if (parsed.ec == std::errc() && parsed.ptr == end) return version;
  return Fail(
      ErrorCode::kInvalidArgument,
      std::string(name) + ": found \"" + *text + "\", allowed a whole number");
}

Result<std::string> RequiredString(const Json& body, const char* name) {
  const auto found = body.find(name);
  if (found != body.end() && found->is_string() &&
      !found->get_ref<const std::string&>().empty())
    return found->get<std::string>();
  return Fail(ErrorCode::kInvalidArgument,
              std::string(name) + ": found " +
                  (found == body.end() ? "nothing" : found->dump()) +
                  ", allowed text");
}

// Copies the named members of the body that are present.
Json CopyMembers(const Json& body, std::initializer_list<const char*> names) {
  Json selected = Json::object();
  for (const char* name : names) {
    if (body.contains(name)) selected[name] = body.at(name);
  }
  return selected;
}

struct SettingAssignment {
  std::string path;
  Json value;
};

bool IsRemoval(const Json& body) {
  return body.value("remove", Json()) == true;
}

Result<SettingAssignment> ServerAssignment(const Json& body) {
  TRY_ASSIGN(const std::string service, RequiredString(body, "service"));
  TRY_ASSIGN(const std::string server, RequiredString(body, "server"));
  std::string path = "services." + service + ".servers." + server;
  if (IsRemoval(body)) return SettingAssignment{std::move(path), Json()};
  return SettingAssignment{
      std::move(path),
      CopyMembers(body, {"address", "zone", "slots", "state"})};
}

Result<SettingAssignment> AgreementAssignment(const Json& body) {
  TRY_ASSIGN(const std::string client_account, RequiredString(body, "party"));
  TRY_ASSIGN(const std::string service, RequiredString(body, "service"));
  std::string path = "parties." + client_account + ".agreements." + service;
  if (IsRemoval(body)) return SettingAssignment{std::move(path), Json()};
  return SettingAssignment{
      std::move(path),
      CopyMembers(body, {"calls_per_second", "calls_per_month"})};
}

// Creates a client account or an availability zone by assigning one of its
// members. The other members of an existing one are kept, and a repeated
// request produces the same change.
Result<SettingAssignment> NamedEntityAssignment(const Json& body,
                                                const char* kind,
                                                const char* parent,
                                                const char* member,
                                                const Json& fallback) {
  TRY_ASSIGN(const std::string name, RequiredString(body, kind));
  std::string path = std::string(parent) + "." + name;
  if (IsRemoval(body)) return SettingAssignment{std::move(path), Json()};
  return SettingAssignment{path + "." + member, body.value(member, fallback)};
}

// Parses /v1/zones/NAME/{out,in} and /v1/servers/SERVICE/NAME/{leave,return}.
Result<SettingAssignment> StateAssignment(const SettingsTree& tree,
                                          std::string_view path) {
  std::vector<std::string> levels;
  while (!path.empty()) {
    const std::string_view level = path.substr(0, path.find('/'));
    levels.emplace_back(level);
    path.remove_prefix(std::min(path.size(), level.size() + 1));
  }
  SettingAssignment assignment;
  if (levels.size() == 5 && levels[2] == "zones" &&
      (levels[4] == "out" || levels[4] == "in")) {
    assignment = {"zones." + levels[3] + ".state", levels[4]};
  } else if (levels.size() == 6 && levels[2] == "servers" &&
             (levels[5] == "leave" || levels[5] == "return")) {
    assignment = {"services." + levels[3] + ".servers." + levels[4] + ".state",
                  levels[5] == "leave" ? "leaving" : "in"};
  } else {
    return Fail(ErrorCode::kNotFound, "no such resource");
  }
  const std::string subject =
      assignment.path.substr(0, assignment.path.rfind('.'));
  if (!tree.At(subject).is_object())
    return Fail(ErrorCode::kNotFound, subject + " does not exist");
  return assignment;
}

Result<SettingAssignment> ParseAssignment(const SettingsTree& tree,
                                          std::string_view path,
                                          const Json& body) {
  if (path == "/v1/settings") {
    TRY_ASSIGN(std::string key, RequiredString(body, "path"));
    if (!body.contains("value"))
      return Fail(ErrorCode::kInvalidArgument,
                  "value: found nothing, allowed a JSON value");
    return SettingAssignment{std::move(key), body.at("value")};
  }
  if (path == "/v1/servers") return ServerAssignment(body);
  if (path == "/v1/agreements") return AgreementAssignment(body);
  if (path == "/v1/parties")
    return NamedEntityAssignment(body, "party", "parties", "settings",
                                 Json::object());
  if (path == "/v1/zones")
    return NamedEntityAssignment(body, "zone", "zones", "limit", 0);
  return StateAssignment(tree, path);
}

HttpResponse JsonResponse(const OperationId& id, const ChangeOutcome& outcome) {
  if (const auto* accepted = std::get_if<ChangeAccepted>(&outcome)) {
    return JsonResponse(200, {{"outcome", "accepted"},
                              {"operation", id.value()},
                              {"version", accepted->version.value()}});
  }
  if (const auto* provisional = std::get_if<ChangeProvisional>(&outcome)) {
    return JsonResponse(202, {{"outcome", "provisional"},
                              {"operation", id.value()},
                              {"path", provisional->order.path}});
  }
  const auto& conflict = std::get<ChangeConflict>(outcome);
  return JsonResponse(409,
                      {{"error", "another change of " + conflict.path +
                                     " was accepted first, with version " +
                                     std::to_string(conflict.version.value())},
                       {"code", kErrorCodeNames.NameOf(ErrorCode::kConflict)},
                       {"operation", id.value()},
                       {"path", conflict.path},
                       {"version", conflict.version.value()},
                       {"current", conflict.current},
                       {"wanted", conflict.wanted}});
}

}  // namespace

asio::awaitable<HttpResponse> OperatorApi::Handle(HttpRequest request) {
  const std::string path(TargetPath(request.target));
  if (request.body.size() > kMaxBodyBytes) {
    co_return JsonResponse(
        413, {{"error", "the body has more than " +
                            std::to_string(kMaxBodyBytes) + " bytes"},
              {"code", "invalid-argument"}});
  }
  if (request.method == "GET") {
    if (!path.starts_with(kChangesPrefix)) co_return HandleRead(request, path);
    OperationId id(path.substr(kChangesPrefix.size()));
    HttpResponse response = co_await HandleOperationStatus(std::move(id));
    co_return response;
  }
  if (request.method == "POST") {
    HttpResponse response = co_await HandleChange(std::move(request));
    co_return response;
  }
  co_return JsonResponse(405, {{"error", "allowed methods are GET and POST"},
                               {"code", "invalid-argument"}});
}

HttpResponse OperatorApi::HandleRead(const HttpRequest& request,
                                     std::string_view path) const {
  const SettingsTree tree = settings_.change_log().EffectiveTree();
  const auto version = settings_.change_log().version().value();
  const auto section = [&](const char* name) {
    const Json value = tree.At(name);
    return JsonResponse(200, value.is_null() ? Json::object() : value);
  };
  if (path == "/v1/settings") {
    const auto setting_path = FindQueryParameter(request.target, "path");
    return JsonResponse(
        200, {{"version", version},
              {"value", setting_path ? tree.At(*setting_path) : tree.root()}});
  }
  if (path == "/v1/settings/history") return HandleHistory(request.target);
  if (path == "/v1/settings/diff") return HandleDiff(request.target);
  if (path == "/v1/settings/explain") return HandleExplain(request.target);
  if (path == "/v1/parties") return section("parties");
  if (path == "/v1/zones") return section("zones");
  if (path == "/v1/agreements") return JsonResponse(200, ListAgreements());
  if (path == "/v1/servers") return JsonResponse(200, ListServers());
  if (path == "/v1/hosts") return JsonResponse(200, ListHosts());
  return JsonResponse(Error{ErrorCode::kNotFound, "no such resource"});
}

HttpResponse OperatorApi::HandleExplain(std::string_view target) const {
  SettingsScope scope;
  if (auto name = FindQueryParameter(target, "service"))
    scope.service = ServiceId(*name);
  if (auto name = FindQueryParameter(target, "zone"))
    scope.zone = ZoneId(*name);
  if (auto name = FindQueryParameter(target, "party"))
    scope.client_account = ClientAccountId(*name);
  const auto levels = settings_.change_log().EffectiveTree().Explain(
      FindQueryParameter(target, "key").value_or(""), scope);
  if (!levels) return JsonResponse(levels.error());
  Json list = Json::array();
  for (const SettingsLevel& level : levels.value()) {
    list.push_back({{"path", level.path},
                    {"value", level.value.value_or(Json())},
                    {"effective", level.is_effective}});
  }
  return JsonResponse(200, list);
}

HttpResponse OperatorApi::HandleHistory(std::string_view target) const {
  const auto after = VersionParameter(target, "after", 0);
  if (!after) return JsonResponse(after.error());
  Json list = Json::array();
  for (const SettingsChange& change : settings_.change_log().changes()) {
    if (change.version.value() > after.value()) list.push_back(change.ToJson());
  }
  return JsonResponse(200, list);
}

HttpResponse OperatorApi::HandleDiff(std::string_view target) const {
  const SettingsChangeLog& change_log = settings_.change_log();
  const auto from = VersionParameter(target, "from", 0);
  if (!from) return JsonResponse(from.error());
  const auto to = VersionParameter(target, "to", change_log.version().value());
  if (!to) return JsonResponse(to.error());
  if (!change_log.HasChangesAfter(SettingsVersion(from.value()))) {
    return JsonResponse(
        Error{ErrorCode::kNotFound, "changes since version " +
                                        std::to_string(from.value()) +
                                        " are no longer kept by this host"});
  }
  std::map<std::string, std::pair<Json, Json>> paths;
  for (const SettingsChange& change : change_log.changes()) {
    if (change.version.value() <= from.value() ||
        change.version.value() > to.value())
      continue;
    const auto [entry, is_new] =
        paths.try_emplace(change.path, change.previous, change.value);
    if (!is_new) entry->second.second = change.value;
  }
  Json list = Json::array();
  for (const auto& [path, values] : paths) {
    if (values.first == values.second) continue;
    list.push_back(
        {{"path", path}, {"before", values.first}, {"after", values.second}});
  }
  return JsonResponse(200, list);
}

Json OperatorApi::ListAgreements() const {
  Json list = Json::array();
  const Json client_accounts = settings_.change_log().tree().At("parties");
  for (const auto& [client_account, value] : client_accounts.items()) {
    const Json agreements = value.value("agreements", Json::object());
    for (const auto& [service, agreement] : agreements.items()) {
      Json entry = agreement;
      entry["party"] = client_account;
      entry["service"] = service;
      list.push_back(std::move(entry));
    }
  }
  return list;
}

Json OperatorApi::ListServers() const {
  Json list = Json::array();
  const Json services = settings_.change_log().EffectiveTree().At("services");
  for (const auto& [service, value] : services.items()) {
    const Json servers = value.value("servers", Json::object());
    for (const auto& [name, server] : servers.items()) {
      Json entry = server;
      entry["service"] = service;
      entry["server"] = name;
      if (!entry.contains("state")) entry["state"] = "in";
      list.push_back(std::move(entry));
    }
  }
  return list;
}

Json OperatorApi::ListHosts() const {
  const auto versions = settings_.host_versions();
  Json list = Json::array();
  list.push_back({{"host", settings_.host().value()},
                  {"state", settings_.is_ready() ? "alive" : "starting"},
                  {"settings_version", versions.at(settings_.host()).value()}});
  for (const Member& member : settings_.members()) {
    const char* state = member.state == MemberState::kAlive     ? "alive"
                        : member.state == MemberState::kSuspect ? "suspect"
                                                                : "leaving";
    list.push_back({{"host", member.host.value()},
                    {"zone", member.zone.value()},
                    {"state", state},
                    {"settings_version", versions.at(member.host).value()}});
  }
  return list;
}

asio::awaitable<HttpResponse> OperatorApi::HandleOperationStatus(
    OperationId id) {
  OperationId copy = id;
  const OperationState state =
      co_await settings_.ReadOperationState(std::move(copy));
  constexpr EnumNames<OperationState::Kind, 4> kStateNames{
      {{{OperationState::Kind::kUnknown, "unknown"},
        {OperationState::Kind::kAccepted, "accepted"},
        {OperationState::Kind::kProvisional, "provisional"},
        {OperationState::Kind::kSuperseded, "superseded"}}}};
  Json lacking_hosts = Json::array();
  for (const HostId& host : state.lacking_hosts)
    lacking_hosts.push_back(host.value());
  const bool is_accepted = state.kind == OperationState::Kind::kAccepted;
  Json body;
  body["operation"] = id.value();
  body["state"] = kStateNames.NameOf(state.kind);
  body["version"] = state.version.value();
  body["in_force_everywhere"] = is_accepted && lacking_hosts.empty();
  body["lacking"] = std::move(lacking_hosts);
  const bool is_known = state.kind != OperationState::Kind::kUnknown;
  co_return JsonResponse(is_known ? 200 : 404, body);
}

asio::awaitable<HttpResponse> OperatorApi::HandleChange(HttpRequest request) {
  const std::string path(TargetPath(request.target));
  const Json body =
      request.body.empty()
          ? Json::object()
          : Json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) {
    co_return JsonResponse(
        Error{ErrorCode::kInvalidArgument, "the body is not a JSON object"});
  }
  const Result<std::string> operation = RequiredString(body, "operation");
  if (!operation) co_return JsonResponse(operation.error());
  if (operation.value().size() > kMaxOperationIdBytes) {
    co_return JsonResponse(
        Error{ErrorCode::kInvalidArgument,
              "operation: allowed are up to 128 characters"});
  }
  Result<SettingAssignment> assignment =
      ParseAssignment(settings_.change_log().tree(), path, body);
  if (!assignment) co_return JsonResponse(assignment.error());
  SettingsChangeRequest change;
  change.id = OperationId(operation.value());
  change.path = assignment.value().path;
  change.value = assignment.value().value;
  if (body.contains("author") && body.at("author").is_string())
    change.author = body.at("author").get<std::string>();
  if (body.contains("base")) {
    if (!body.at("base").is_number_unsigned()) {
      co_return JsonResponse(Error{ErrorCode::kInvalidArgument,
                                   "base: found " + body.at("base").dump() +
                                       ", allowed a whole number"});
    }
    change.base = SettingsVersion(body.at("base").get<std::uint64_t>());
  }
  const Result<ChangeOutcome> outcome =
      co_await settings_.Submit(std::move(change));
  if (!outcome) co_return JsonResponse(outcome.error());
  co_return JsonResponse(OperationId(operation.value()), outcome.value());
}

}  // namespace dogwood
