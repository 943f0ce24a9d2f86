#include <doctest/doctest.h>

#include <map>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

RouteConfiguration MakeRoute(const std::string& host, const std::string& prefix,
                             const std::string& service) {
  RouteConfiguration route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{ServiceId(service), 1}};
  return route;
}

RouteTable MakeTable() {
  RoutingConfiguration configuration;
  configuration.version = SettingsVersion(3);
  configuration.routes = {MakeRoute("a.example", "/x/", "short"),
                          MakeRoute("a.example", "/x/y/", "long"),
                          MakeRoute("b.example", "/", "root")};
  return RouteTable(std::move(configuration));
}

std::string ServiceOf(const RouteTable& table, std::string_view host,
                      std::string_view target) {
  const RouteConfiguration* route = table.Match(host, target);
  return route == nullptr ? "none" : route->services.front().service.value();
}

// Guards against requests that are routed to the service of a shorter prefix.
TEST_CASE("The route with the longest matching path prefix is selected") {
  const RouteTable table = MakeTable();
  CHECK(ServiceOf(table, "a.example", "/x/1") == "short");
  CHECK(ServiceOf(table, "a.example", "/x/y/1") == "long");
  CHECK(ServiceOf(table, "a.example", "/x/y") == "short");
  CHECK(ServiceOf(table, "b.example", "/anything/else") == "root");
}

TEST_CASE("Case and port of the host and the query are ignored") {
  const RouteTable table = MakeTable();
  CHECK(ServiceOf(table, "A.Example:8080", "/x/1?q=/x/y/") == "short");
  CHECK(ServiceOf(table, "b.example", "/?a/b/c") == "root");
}

TEST_CASE("Unknown hosts and paths match no route") {
  const RouteTable table = MakeTable();
  CHECK(ServiceOf(table, "c.example", "/x/1") == "none");
  CHECK(ServiceOf(table, "a.example", "/z/1") == "none");
  CHECK(ServiceOf(table, "a.example", "/") == "none");
  CHECK(ServiceOf(table, "a.example", "") == "none");
}

// Guards against a traffic split that deviates from its weights.
TEST_CASE("A split route distributes requests in proportion to its weights") {
  RouteConfiguration route = MakeRoute("a.example", "/", "first");
  route.services = {{ServiceId("first"), 90}, {ServiceId("second"), 10}};
  std::mt19937_64 random(7);
  std::map<std::string, int> counts;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i)
    ++counts[SelectService(route, random).value()];
  CHECK(counts["second"] > kRequests * 0.08);
  CHECK(counts["second"] < kRequests * 0.12);
}

TEST_CASE("A service with weight 0 gets no requests") {
  RouteConfiguration route = MakeRoute("a.example", "/", "first");
  route.services = {{ServiceId("first"), 0}, {ServiceId("second"), 1}};
  std::mt19937_64 random(7);
  for (int i = 0; i < 1000; ++i)
    REQUIRE(SelectService(route, random).value() == "second");
}

}  // namespace
}  // namespace dogwood
