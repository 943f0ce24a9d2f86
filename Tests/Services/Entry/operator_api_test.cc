#include <doctest/doctest.h>

#include "Tests/Services/Entry/settings_fleet_fixture.h"

namespace dogwood {
namespace {

using Json = nlohmann::json;

struct ApiResponse {
  unsigned status = 0;
  Json body;
};

ApiResponse Send(SettingsFleetFixture& fleet, const std::string& method,
                 const std::string& target, const Json& body = Json()) {
  OperatorApi api(fleet.service(0));
  ApiResponse api_response;
  boost::asio::co_spawn(
      fleet.context,
      [&]() -> boost::asio::awaitable<void> {
        HttpRequest request;
        request.method = method;
        request.target = target;
        if (!body.is_null()) request.body = body.dump();
        const HttpResponse response = co_await api.Handle(std::move(request));
        api_response = {response.status, Json::parse(response.body)};
      },
      boost::asio::detached);
  fleet.RunAll();
  return api_response;
}

// Guards against a request that maps to the wrong settings path or value.
TEST_CASE("Operators create and read accounts, zones, servers, agreements") {
  SettingsFleetFixture fleet(2);
  fleet.StartAll();
  CHECK(Send(fleet, "POST", "/v1/zones",
             {{"operation", "1"}, {"zone", "palermo"}, {"limit", 40}})
            .status == 200);
  CHECK(Send(fleet, "POST", "/v1/servers",
             {{"operation", "2"},
              {"service", "tracking"},
              {"server", "t1"},
              {"address", "127.0.0.1:7001"},
              {"zone", "palermo"}})
            .status == 200);
  CHECK(Send(fleet, "POST", "/v1/parties",
             {{"operation", "3"}, {"party", "lesta"}})
            .status == 200);
  const Json agreement = {{"operation", "4"},
                          {"party", "lesta"},
                          {"service", "tracking"},
                          {"calls_per_second", 5},
                          {"calls_per_month", 1000}};
  CHECK(Send(fleet, "POST", "/v1/agreements", agreement).body["version"] == 4);
  CHECK(Send(fleet, "POST", "/v1/agreements", agreement).body["version"] == 4);
  CHECK(Send(fleet, "POST", "/v1/zones/palermo/out", {{"operation", "5"}})
            .body["outcome"] == "accepted");
  CHECK(
      Send(fleet, "POST", "/v1/servers/tracking/t1/leave", {{"operation", "6"}})
          .status == 200);
  CHECK(Send(fleet, "GET", "/v1/zones").body["palermo"] ==
        Json({{"limit", 40}, {"state", "out"}}));
  CHECK(Send(fleet, "GET", "/v1/servers").body[0]["state"] == "leaving");
  CHECK(Send(fleet, "GET", "/v1/agreements").body[0]["calls_per_month"] ==
        1000);
  CHECK(Send(fleet, "GET", "/v1/hosts").body.size() == 2);
  CHECK(Send(fleet, "GET", "/v1/settings/history?after=4").body.size() == 2);
  CHECK(Send(fleet, "GET", "/v1/settings/diff?from=5").body.size() == 1);
  CHECK(Send(fleet, "GET", "/v1/settings?path=zones.palermo.limit")
            .body["value"] == 40);
  fleet.Converge();
  CHECK(Send(fleet, "GET", "/v1/changes/6").body["in_force_everywhere"] ==
        true);
}

// Guards against invalid input that is accepted or rejected without a reason.
TEST_CASE("Invalid requests are rejected with a reason and change nothing") {
  SettingsFleetFixture fleet(1);
  fleet.StartAll();
  CHECK(Send(fleet, "POST", "/v1/settings", {{"path", "default.queue_limit"}})
            .status == 400);
  const ApiResponse unknown =
      Send(fleet, "POST", "/v1/settings",
           {{"operation", "1"}, {"path", "default.queue"}, {"value", 1}});
  CHECK(unknown.status == 400);
  CHECK(unknown.body["error"].get<std::string>().find("default.queue") !=
        std::string::npos);
  CHECK(Send(fleet, "POST", "/v1/settings", Json("text")).status == 400);
  CHECK(Send(fleet, "POST", "/v1/settings", std::string(300000, 'a')).status ==
        413);
  CHECK(
      Send(fleet, "POST", "/v1/zones/none/out", {{"operation", "1"}}).status ==
      404);
  CHECK(Send(fleet, "DELETE", "/v1/settings").status == 405);
  CHECK(Send(fleet, "GET", "/v1/nothing").status == 404);
  CHECK(Send(fleet, "GET", "/v1/changes/nothing").status == 404);
  CHECK(Send(fleet, "GET", "/v1/settings/diff?from=x").status == 400);
  CHECK(fleet.service(0).change_log().version() == SettingsVersion(0));
}

TEST_CASE("Status codes distinguish conflict, refusal and provisional order") {
  SettingsFleetFixture fleet(1);
  fleet.StartAll();
  Send(fleet, "POST", "/v1/zones", {{"operation", "z"}, {"zone", "palermo"}});
  const auto set = [&](const char* id, int value, int base) {
    return Send(fleet, "POST", "/v1/settings",
                {{"operation", id},
                 {"path", "default.queue_limit"},
                 {"value", value},
                 {"base", static_cast<unsigned>(base)}});
  };
  CHECK(set("a", 1, 1).status == 200);
  const ApiResponse conflict = set("b", 2, 1);
  CHECK(conflict.status == 409);
  CHECK(conflict.body["current"] == 1);
  CHECK(conflict.body["wanted"] == 2);
  fleet.store.memory.is_down = true;
  CHECK(set("c", 3, 2).status == 503);
  CHECK(Send(fleet, "POST", "/v1/zones/palermo/out", {{"operation", "o"}})
            .status == 202);
  CHECK(Send(fleet, "GET", "/v1/changes/o").body["state"] == "provisional");
}

}  // namespace
}  // namespace dogwood
