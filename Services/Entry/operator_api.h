#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

#include "Libraries/Http/http_message.h"
#include "Services/Entry/settings_service.h"

namespace dogwood {

// HTTP API for operators: settings, client accounts, agreements, availability
// zones, backend servers and hosts. The listener checks the bearer token.
//
// Reads are GET requests with a JSON response:
//   /v1/settings?path=P            value in the effective tree
//   /v1/settings/history?after=N   retained changes after a version
//   /v1/settings/diff?from=N&to=M  values that differ between two versions
//   /v1/settings/explain?key=K&service=&zone=&party=
//   /v1/parties, /v1/agreements, /v1/zones, /v1/servers, /v1/hosts
//   /v1/changes/ID                 whether all hosts have applied an operation
// Changes are POST requests with a JSON object that has "operation" and may
// have "base" and "author":
//   /v1/settings {"path","value"}; value null removes
//   /v1/parties {"party","settings"?} or {"party","remove":true}
//   /v1/agreements {"party","service","calls_per_second","calls_per_month"}
//     or "remove"
//   /v1/zones {"zone","limit"?} or "remove"
//   /v1/zones/NAME/out, /v1/zones/NAME/in
//   /v1/servers {"service","server","address","zone","slots"?} or "remove"
//   /v1/servers/SERVICE/NAME/leave, /v1/servers/SERVICE/NAME/return
// Responses to a change:
//   200 {"outcome":"accepted","operation","version"}
//   202 {"outcome":"provisional","operation","path"}
//   409 {"error","code","operation","path","version","current","wanted"}
//   503 not accepted, 504 outcome unknown
// Other errors are {"error","code"}.
class OperatorApi {
 public:
  explicit OperatorApi(SettingsService& settings) : settings_(settings) {}

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  using Json = nlohmann::json;

  HttpResponse HandleRead(const HttpRequest& request,
                          std::string_view path) const;
  HttpResponse HandleExplain(std::string_view target) const;
  HttpResponse HandleHistory(std::string_view target) const;
  HttpResponse HandleDiff(std::string_view target) const;
  Json ListAgreements() const;
  Json ListServers() const;
  Json ListHosts() const;
  boost::asio::awaitable<HttpResponse> HandleOperationStatus(OperationId id);
  boost::asio::awaitable<HttpResponse> HandleChange(HttpRequest request);

  SettingsService& settings_;
};

}  // namespace dogwood
