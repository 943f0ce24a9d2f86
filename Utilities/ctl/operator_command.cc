#include "Utilities/ctl/operator_command.h"

#include <array>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::json;
using Arguments = std::vector<std::string>;

struct CommandDefinition {
  std::string_view name;  // two words
  std::string_view argument_usage;
  std::size_t min_arguments;
  std::size_t max_arguments;
  bool is_change;
  // Builds the request; a change writes its fields to `body`.
  HttpRequest (*build_request)(const Arguments& arguments, Json& body);
};

HttpRequest GetRequest(std::string target) {
  return {"GET", std::move(target), {}, {}};
}
HttpRequest PostRequest(std::string target) {
  return {"POST", std::move(target), {}, {}};
}

// Text that is not valid JSON becomes a JSON string.
Json ParseJsonOrString(const std::string& text) {
  Json value = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return value.is_discarded() ? Json(text) : value;
}

std::string ArgumentOr(const Arguments& arguments, std::size_t index,
                       const std::string& fallback) {
  return index < arguments.size() ? arguments[index] : fallback;
}

// Fills the body's fields from the arguments, in order; arguments that are left
// out leave their fields unset.
HttpRequest ChangeRequest(const Arguments& arguments, std::string target,
                          std::initializer_list<const char*> field_names,
                          Json& body) {
  std::size_t index = 0;
  for (const char* name : field_names) {
    if (index == arguments.size()) break;
    const std::string& argument = arguments[index++];
    const bool is_number = std::string_view(name) == "slots" ||
                           std::string_view(name) == "limit" ||
                           std::string_view(name).starts_with("calls_per_");
    body[name] = is_number ? ParseJsonOrString(argument) : Json(argument);
  }
  return PostRequest(std::move(target));
}

constexpr auto kCommands = std::to_array<CommandDefinition>({
    {"settings get", "[PATH]", 0, 1, false,
     [](const Arguments& arguments, Json&) {
       return GetRequest(arguments.empty() ? "/v1/settings"
                                           : "/v1/settings?path=" +
                                                 PercentEncode(arguments[0]));
     }},
    {"settings set", "PATH VALUE [BASE-VERSION]", 2, 3, true,
     [](const Arguments& arguments, Json& body) {
       body["path"] = arguments[0];
       body["value"] = ParseJsonOrString(arguments[1]);
       if (arguments.size() == 3)
         body["base"] = ParseJsonOrString(arguments[2]);
       return PostRequest("/v1/settings");
     }},
    {"settings remove", "PATH", 1, 1, true,
     [](const Arguments& arguments, Json& body) {
       body["path"] = arguments[0];
       body["value"] = Json();
       return PostRequest("/v1/settings");
     }},
    {"settings diff", "FROM [TO]", 1, 2, false,
     [](const Arguments& arguments, Json&) {
       return GetRequest(
           "/v1/settings/diff?from=" + PercentEncode(arguments[0]) +
           (arguments.size() == 2 ? "&to=" + PercentEncode(arguments[1]) : ""));
     }},
    {"settings history", "[AFTER]", 0, 1, false,
     [](const Arguments& arguments, Json&) {
       return GetRequest("/v1/settings/history?after=" +
                         PercentEncode(ArgumentOr(arguments, 0, "0")));
     }},
    {"settings explain", "KEY [service=S] [zone=Z] [party=P]", 1, 4, false,
     [](const Arguments& arguments, Json&) {
       std::string target =
           "/v1/settings/explain?key=" + PercentEncode(arguments[0]);
       for (std::size_t i = 1; i < arguments.size(); ++i) {
         const std::size_t equals = arguments[i].find('=');
         target += "&" + PercentEncode(arguments[i].substr(0, equals));
         if (equals != std::string::npos)
           target += "=" + PercentEncode(arguments[i].substr(equals + 1));
       }
       return GetRequest(target);
     }},
    {"party list", "", 0, 0, false,
     [](const Arguments&, Json&) { return GetRequest("/v1/parties"); }},
    {"party add", "PARTY", 1, 1, true,
     [](const Arguments& arguments, Json& body) {
       return ChangeRequest(arguments, "/v1/parties", {"party"}, body);
     }},
    {"party remove", "PARTY", 1, 1, true,
     [](const Arguments& arguments, Json& body) {
       body["remove"] = true;
       return ChangeRequest(arguments, "/v1/parties", {"party"}, body);
     }},
    {"agreement list", "", 0, 0, false,
     [](const Arguments&, Json&) { return GetRequest("/v1/agreements"); }},
    {"agreement set", "PARTY SERVICE CALLS-PER-SECOND CALLS-PER-MONTH", 4, 4,
     true,
     [](const Arguments& arguments, Json& body) {
       return ChangeRequest(
           arguments, "/v1/agreements",
           {"party", "service", "calls_per_second", "calls_per_month"}, body);
     }},
    {"agreement remove", "PARTY SERVICE", 2, 2, true,
     [](const Arguments& arguments, Json& body) {
       body["remove"] = true;
       return ChangeRequest(arguments, "/v1/agreements", {"party", "service"},
                            body);
     }},
    {"zone list", "", 0, 0, false,
     [](const Arguments&, Json&) { return GetRequest("/v1/zones"); }},
    {"zone add", "ZONE [LIMIT]", 1, 2, true,
     [](const Arguments& arguments, Json& body) {
       return ChangeRequest(arguments, "/v1/zones", {"zone", "limit"}, body);
     }},
    {"zone remove", "ZONE", 1, 1, true,
     [](const Arguments& arguments, Json& body) {
       body["remove"] = true;
       return ChangeRequest(arguments, "/v1/zones", {"zone"}, body);
     }},
    {"zone out", "ZONE", 1, 1, true,
     [](const Arguments& arguments,
        Json&) { return PostRequest("/v1/zones/" + arguments[0] + "/out"); }},
    {"zone in", "ZONE", 1, 1, true,
     [](const Arguments& arguments,
        Json&) { return PostRequest("/v1/zones/" + arguments[0] + "/in"); }},
    {"server list", "", 0, 0, false,
     [](const Arguments&, Json&) { return GetRequest("/v1/servers"); }},
    {"server add", "SERVICE SERVER ADDRESS ZONE [SLOTS]", 4, 5, true,
     [](const Arguments& arguments, Json& body) {
       return ChangeRequest(arguments, "/v1/servers",
                            {"service", "server", "address", "zone", "slots"},
                            body);
     }},
    {"server remove", "SERVICE SERVER", 2, 2, true,
     [](const Arguments& arguments, Json& body) {
       body["remove"] = true;
       return ChangeRequest(arguments, "/v1/servers", {"service", "server"},
                            body);
     }},
    {"server leave", "SERVICE SERVER", 2, 2, true,
     [](const Arguments& arguments, Json&) {
       return PostRequest("/v1/servers/" + arguments[0] + "/" + arguments[1] +
                          "/leave");
     }},
    {"server return", "SERVICE SERVER", 2, 2, true,
     [](const Arguments& arguments, Json&) {
       return PostRequest("/v1/servers/" + arguments[0] + "/" + arguments[1] +
                          "/return");
     }},
    {"host list", "", 0, 0, false,
     [](const Arguments&, Json&) { return GetRequest("/v1/hosts"); }},
    {"change show", "OPERATION-ID", 1, 1, false,
     [](const Arguments& arguments, Json&) {
       return GetRequest("/v1/changes/" + arguments[0]);
     }},
});

}  // namespace

Result<OperatorCommand> ParseOperatorCommand(const Arguments& command_words,
                                             const OperationId& operation_id) {
  if (command_words.size() < 2)
    return Fail(ErrorCode::kInvalidArgument,
                "a command has two words, found " +
                    std::to_string(command_words.size()));
  const std::string name = command_words[0] + " " + command_words[1];
  for (const CommandDefinition& command : kCommands) {
    if (command.name != name) continue;
    const Arguments arguments(command_words.begin() + 2, command_words.end());
    if (arguments.size() < command.min_arguments ||
        arguments.size() > command.max_arguments) {
      return Fail(ErrorCode::kInvalidArgument,
                  name + ": expected arguments " +
                      std::string(command.argument_usage) + ", found " +
                      std::to_string(arguments.size()));
    }
    Json body = Json::object();
    OperatorCommand parsed{command.build_request(arguments, body),
                           command.is_change};
    if (command.is_change) {
      body["operation"] = operation_id.value();
      const char* user = std::getenv("USER");
      body["author"] = user != nullptr ? user : "";
      parsed.request.body = body.dump();
      parsed.request.headers.emplace_back("Content-Type", "application/json");
    }
    return parsed;
  }
  return Fail(ErrorCode::kInvalidArgument,
              "command \"" + name + "\" does not exist");
}

std::string OperatorCommandUsage() {
  std::string text;
  for (const CommandDefinition& command : kCommands) {
    text += "  " + std::string(command.name);
    if (!command.argument_usage.empty())
      text += " " + std::string(command.argument_usage);
    text += "\n";
  }
  return text + "  settings-reference\n";
}

}  // namespace dogwood
