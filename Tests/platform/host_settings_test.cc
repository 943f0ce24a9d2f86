#include "platform/host_settings.h"

#include <doctest/doctest.h>

namespace dogwood::platform {
namespace {

const std::string kValidSettings = R"(
node_name: "front-palermo-1"
role: "my-front"
ip: "10.1.0.10"
zone: "palermo"
listen:
  front: "10.1.0.10:8161"
  ready_addr: "10.1.0.10:8167"
port_range: [7720, 7735]
seeds: ["10.2.0.40:8166", "nonsense"]
unknown_field: {a: 1}
limits:
  memory_mb: 260
bounds:
  grace: "6s"
  stable_window: "3000ms"
  budget_ratio: 0.2
  budget_extra: 62
platform:
  address: "10.200.1.7:8169"
)";

std::string ErrorOf(const std::string& text) {
  const auto settings = ParseHostSettings(text);
  return settings ? "" : settings.error().message;
}

std::string Without(const std::string& line) {
  std::string text = kValidSettings;
  const std::size_t at = text.find(line);
  REQUIRE(at != std::string::npos);
  return text.erase(at, line.size());
}

TEST_CASE("A valid settings file is parsed and unknown fields are ignored") {
  const auto settings = ParseHostSettings(kValidSettings);
  REQUIRE(settings.has_value());
  CHECK(settings.value().host == HostId("front-palermo-1"));
  CHECK(settings.value().caller_endpoint.port() == 8161);
  CHECK(settings.value().store_endpoint.port() == 8169);
  CHECK(settings.value().first_peer_port == 7720);
  CHECK(settings.value().memory_bytes == std::size_t{260} << 20U);
  CHECK(settings.value().platform_limits.retry_budget_extra == 62);
  CHECK(settings.value().platform_limits.stabilization_window ==
        std::chrono::seconds(3));
  CHECK(settings.value().seed_ips == std::vector<std::string>{"10.2.0.40"});
}

// A process must not start with only part of its settings.
TEST_CASE("The error for a missing required field names the field") {
  CHECK(ErrorOf(Without("zone: \"palermo\"\n")).find("zone") !=
        std::string::npos);
  CHECK(ErrorOf(Without("  address: \"10.200.1.7:8169\"\n"))
            .find("platform.address") != std::string::npos);
  CHECK(ErrorOf(Without("port_range: [7720, 7735]\n")).find("port_range") !=
        std::string::npos);
}

TEST_CASE("The error for an invalid field contains its name and value") {
  std::string text = kValidSettings;
  text.replace(text.find("\"6s\""), 4, "\"6h\"");
  const std::string error = ErrorOf(text);
  CHECK(error.find("bounds.grace") != std::string::npos);
  CHECK(error.find("6h") != std::string::npos);
}

TEST_CASE("Text that is not a YAML map is rejected") {
  CHECK(!ErrorOf("").empty());
  CHECK(!ErrorOf("- a\n- b\n").empty());
  CHECK(!ErrorOf("a: [1\nb: }").empty());
}

}  // namespace
}  // namespace dogwood::platform
