#include "Utilities/ctl/ctl_command.h"

#include <array>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::json;
using Words = std::vector<std::string>;

struct Command {
  std::string_view name;       // one or two words
  std::string_view arguments;  // for the usage text
  std::size_t fewest;
  std::size_t most;
  bool is_change;
  // Target for reads; target and body for changes.
  HttpRequest (*request)(const Words& arguments, Json& body);
};

HttpRequest Get(std::string target) {
  return {"GET", std::move(target), {}, {}};
}
HttpRequest Post(std::string target) {
  return {"POST", std::move(target), {}, {}};
}

// Text that is not JSON stands for a string.
Json ValueOf(const std::string& text) {
  Json value = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return value.is_discarded() ? Json(text) : value;
}

std::string Argument(const Words& arguments, std::size_t index,
                     const std::string& fallback) {
  return index < arguments.size() ? arguments[index] : fallback;
}

HttpRequest Change(const Words& words, std::string target,
                   std::initializer_list<const char*> names, Json& body) {
  std::size_t index = 0;
  for (const char* name : names) {
    if (index == words.size()) break;
    const std::string& word = words[index++];
    const bool is_number = std::string_view(name) == "slots" ||
                           std::string_view(name) == "limit" ||
                           std::string_view(name).starts_with("calls_per_");
    body[name] = is_number ? ValueOf(word) : Json(word);
  }
  return Post(std::move(target));
}

constexpr auto kCommands =
    std::to_array<Command>(
        {
            {"settings get", "[PATH]", 0, 1, false,
             [](const Words& words, Json&) {
               return Get(words.empty()
                              ? "/v1/settings"
                              : "/v1/settings?path=" + PercentEncode(words[0]));
             }},
            {"settings set", "PATH VALUE [BASE-VERSION]", 2, 3, true,
             [](const Words& words, Json& body) {
               body["path"] = words[0];
               body["value"] = ValueOf(words[1]);
               if (words.size() == 3) body["base"] = ValueOf(words[2]);
               return Post("/v1/settings");
             }},
            {"settings remove", "PATH", 1, 1, true,
             [](const Words& words, Json& body) {
               body["path"] = words[0];
               body["value"] = Json();
               return Post("/v1/settings");
             }},
            {"settings diff", "FROM [TO]", 1, 2, false,
             [](const Words& words, Json&) {
               return Get(
                   "/v1/settings/diff?from=" + PercentEncode(words[0]) +
                   (words.size() == 2 ? "&to=" + PercentEncode(words[1]) : ""));
             }},
            {"settings history", "[AFTER]", 0, 1, false,
             [](const Words& words, Json&) {
               return Get("/v1/settings/history?after=" +
                          PercentEncode(Argument(words, 0, "0")));
             }},
            {"settings explain", "KEY [service=S] [zone=Z] [party=P]", 1, 4,
             false,
             [](const Words& words, Json&) {
               std::string target =
                   "/v1/settings/explain?key=" + PercentEncode(words[0]);
               for (std::size_t i = 1; i < words.size(); ++i) {
                 const std::size_t equals = words[i].find('=');
                 target += "&" + PercentEncode(words[i].substr(0, equals));
                 if (equals != std::string::npos)
                   target += "=" + PercentEncode(words[i].substr(equals + 1));
               }
               return Get(target);
             }},
            {"party list", "", 0, 0, false,
             [](const Words&, Json&) { return Get("/v1/parties"); }},
            {"party add", "PARTY", 1, 1, true,
             [](const Words& words, Json& body) {
               return Change(words, "/v1/parties", {"party"}, body);
             }},
            {"party remove", "PARTY", 1, 1, true,
             [](const Words& words, Json& body) {
               body["remove"] = true;
               return Change(words, "/v1/parties", {"party"}, body);
             }},
            {"agreement list", "", 0, 0, false,
             [](const Words&, Json&) { return Get("/v1/agreements"); }},
            {"agreement set", "PARTY SERVICE CALLS-PER-SECOND CALLS-PER-MONTH",
             4, 4, true,
             [](const Words& words, Json& body) {
               return Change(
                   words, "/v1/agreements",
                   {"party", "service", "calls_per_second", "calls_per_month"},
                   body);
             }},
            {"agreement remove", "PARTY SERVICE", 2, 2, true,
             [](const Words& words, Json& body) {
               body["remove"] = true;
               return Change(words, "/v1/agreements", {"party", "service"},
                             body);
             }},
            {"zone list", "", 0, 0, false,
             [](const Words&, Json&) { return Get("/v1/zones"); }},
            {"zone add", "ZONE [LIMIT]", 1, 2, true,
             [](const Words& words, Json& body) {
               return Change(words, "/v1/zones", {"zone", "limit"}, body);
             }},
            {"zone remove", "ZONE", 1, 1, true,
             [](const Words& words, Json& body) {
               body["remove"] = true;
               return Change(words, "/v1/zones", {"zone"}, body);
             }},
            {"zone out", "ZONE", 1, 1, true,
             [](const Words& words,
                Json&) { return Post("/v1/zones/" + words[0] + "/out"); }},
            {"zone in", "ZONE", 1, 1, true,
             [](const Words& words,
                Json&) { return Post("/v1/zones/" + words[0] + "/in"); }},
            {"server list", "", 0, 0, false,
             [](const Words&, Json&) { return Get("/v1/servers"); }},
            {"server add", "SERVICE SERVER ADDRESS ZONE [SLOTS]", 4, 5, true,
             [](const Words& words, Json& body) {
               return Change(words, "/v1/servers",
                             {"service", "server", "address", "zone", "slots"},
                             body);
             }},
            {"server remove", "SERVICE SERVER", 2, 2, true,
             [](const Words& words, Json& body) {
               body["remove"] = true;
               return Change(words, "/v1/servers", {"service", "server"}, body);
             }},
            {"server leave", "SERVICE SERVER", 2, 2, true,
             [](const Words& words, Json&) {
               return Post("/v1/servers/" + words[0] + "/" + words[1] +
                           "/leave");
             }},
            {"server return", "SERVICE SERVER", 2, 2, true,
             [](const Words& words, Json&) {
               return Post("/v1/servers/" + words[0] + "/" + words[1] +
                           "/return");
             }},
            {"host list", "", 0, 0, false,
             [](const Words&, Json&) { return Get("/v1/hosts"); }},
            {"change show", "OPERATION-ID", 1, 1, false,
             [](const Words& words, Json&) {
               return Get("/v1/changes/" + words[0]);
             }},
        });

}  // namespace

Result<CtlCommand> ParseCommand(const Words& words,
                                const OperationId& operation) {
  if (words.size() < 2)
    return Fail(ErrorCode::kInvalidArgument, "a command has two words");
  const std::string name = words[0] + " " + words[1];
  for (const Command& command : kCommands) {
    if (command.name != name) continue;
    const Words arguments(words.begin() + 2, words.end());
    if (arguments.size() < command.fewest || arguments.size() > command.most) {
      return Fail(ErrorCode::kInvalidArgument,
                  name + ": expected arguments " +
                      std::string(command.arguments) + ", found " +
                      std::to_string(arguments.size()));
    }
    Json body = Json::object();
    CtlCommand parsed{command.request(arguments, body), command.is_change};
    if (command.is_change) {
      body["operation"] = operation.value();
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

std::string CommandUsage() {
  std::string text;
  for (const Command& command : kCommands) {
    text += "  " + std::string(command.name);
    if (!command.arguments.empty())
      text += " " + std::string(command.arguments);
    text += "\n";
  }
  return text + "  settings-reference\n";
}

}  // namespace dogwood
