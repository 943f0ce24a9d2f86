#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

#include "Libraries/Http/http_message.h"
#include "Services/Entry/settings_service.h"

namespace dogwood {

// The operators' HTTP interface to settings, parties, agreements, availability
// zones, backend servers and hosts. Whoever listens checks the bearer token.
//
// Reads, all GET and answered with JSON:
//   /v1/settings?path=P            value of the effective tree
//   /v1/settings/history?after=N   kept changes after a version
//   /v1/settings/diff?from=N&to=M  values that differ between two versions
//   /v1/settings/explain?key=K&service=&zone=&party=
//   /v1/parties, /v1/agreements, /v1/zones, /v1/servers, /v1/hosts
//   /v1/changes/ID                 whether an operation is in force everywhere
// Changes, all POST with a JSON object that may have "operation", "base" and
// "author":
//   /v1/settings {"path","value"}; value null removes
//   /v1/parties {"party","settings"?} and {"party","remove":true}
//   /v1/agreements {"party","service","calls_per_second","calls_per_month"} or
//   "remove"
//   /v1/zones {"zone","limit"?} or "remove", /v1/zones/NAME/out,
//   /v1/zones/NAME/in /v1/servers
//   {"service","server","address","zone","slots"?} or "remove",
//   /v1/servers/SERVICE/NAME/leave, /v1/servers/SERVICE/NAME/return
// A change answers 200 {"outcome":"accepted","operation","version"}, 202
// {"outcome":"provisional"}, 409 {"error","path","version","current","wanted"},
// 503 not accepted, 504 outcome unknown. Errors are {"error","code"}.
class OperatorApi {
 public:
  explicit OperatorApi(SettingsService& settings) : settings_(settings) {}

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  using Json = nlohmann::json;

  HttpResponse Read(const HttpRequest& request, std::string_view path) const;
  HttpResponse Explain(std::string_view target) const;
  HttpResponse History(std::string_view target) const;
  HttpResponse Diff(std::string_view target) const;
  Json Agreements() const;
  Json Servers() const;
  Json Hosts() const;
  boost::asio::awaitable<HttpResponse> ChangeState(OperationId id);
  boost::asio::awaitable<HttpResponse> Change(HttpRequest request);

  SettingsService& settings_;
};

}  // namespace dogwood
