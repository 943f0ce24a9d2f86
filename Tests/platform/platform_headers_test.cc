#include "platform/platform_headers.h"

#include <doctest/doctest.h>

namespace dogwood::platform {
namespace {

using namespace std::chrono_literals;

TEST_CASE("The headers of a caller's request are parsed") {
  MessageHead head;
  head.AddField("X-Request-Id", "9c41");
  head.AddField("x-deadline-ms", "1500");
  const auto headers = ParseCallerHeaders(head);
  REQUIRE(headers.has_value());
  CHECK(headers.value().id == RequestId("9c41"));
  CHECK(headers.value().timeout == 1500ms);
}

TEST_CASE("A malformed deadline is rejected, a missing one is accepted") {
  MessageHead head;
  CHECK(!ParseCallerHeaders(head).value().timeout.has_value());
  head.AddField("X-Deadline-Ms", "soon");
  CHECK(!ParseCallerHeaders(head).has_value());
}

TEST_CASE("Load reports with three and with four values are parsed") {
  MessageHead head;
  SUBCASE("three values") {
    head.AddField("X-Backend-Load", "3,1,6");
    const auto load = ParseServerHeaders(head).load;
    REQUIRE(load.has_value());
    CHECK(load->running_requests == 3);
    CHECK(load->queued_requests == 1);
    CHECK(load->slowdown == 1);
  }
  SUBCASE("four values, the last in percent") {
    head.AddField("X-Backend-Load", "3, 1, 6, 700");
    CHECK(ParseServerHeaders(head).load->slowdown == 7);
  }
  SUBCASE("a malformed report counts as absent") {
    head.AddField("X-Backend-Load", "3,x,6");
    CHECK(!ParseServerHeaders(head).load.has_value());
  }
}

// Guards against a pause that is read from another status, or from text that is
// no number of seconds.
TEST_CASE("A pause is the Retry-After of a 503, in seconds") {
  const auto parse = [](unsigned status, std::string_view text) {
    MessageHead head;
    head.status = status;
    head.AddField("Retry-After", text);
    return ParseServerHeaders(head).pause;
  };
  CHECK(parse(503, "2") == std::chrono::seconds(2));
  CHECK(parse(503, "0.25") == std::chrono::milliseconds(250));
  CHECK(!parse(429, "2").has_value());
  for (const std::string_view text :
       {"", "x", "-1", "nan", "inf", "1e300", "1e9", "1 2",
        "Sat, 05 Dec 2026 07:00:00 GMT"}) {
    CAPTURE(text);
    CHECK(!parse(503, text).has_value());
  }
}

TEST_CASE("A leaving server says so with the value 1") {
  const auto parse = [](std::string_view text) {
    MessageHead head;
    head.status = 200;
    head.AddField("Server-Leaving", text);
    return ParseServerHeaders(head).is_leaving;
  };
  CHECK(parse("1"));
  CHECK_FALSE(parse("0"));
  CHECK_FALSE(parse(""));
  CHECK_FALSE(ParseServerHeaders(MessageHead()).is_leaving);
}

// Guards against a server that gets nothing, or everything, for a limit that
// can't be read.
TEST_CASE("A limit is a decimal number of requests, anything else is none") {
  const auto parse = [](std::string_view text) {
    MessageHead head;
    head.status = 200;
    head.AddField("Server-Limit", text);
    return ParseServerHeaders(head).max_requests_per_second;
  };
  CHECK(parse("12") == 12.0);
  CHECK(parse("1.25") == 1.25);
  CHECK(parse("0") == 0.0);
  for (const std::string_view text :
       {"", "x", "-1", "nan", "inf", "1e9", "1e999", "5 6", "5,6", "0x10"}) {
    CAPTURE(text);
    CHECK(!parse(text).has_value());
  }
}

// A request that the server ran must not be reported as not executed, or a
// retry would run it twice.
TEST_CASE(
    "Only X-Not-Executed or status 421 means that the request did not run") {
  MessageHead head;
  head.status = 503;
  CHECK(!ParseServerHeaders(head).is_not_run);
  head.status = 421;
  CHECK(ParseServerHeaders(head).is_not_run);
  head.status = 503;
  head.AddField("X-Not-Executed", "1");
  CHECK(ParseServerHeaders(head).is_not_run);
}

TEST_CASE("The headers on idle timeout, cold start and signature are parsed") {
  MessageHead head;
  head.AddField("Keep-Alive", "max=10, timeout=5");
  head.AddField("X-Cold-Ms", "2500");
  head.AddField("X-Server-Stamp", "3e1b");
  const auto headers = ParseServerHeaders(head);
  CHECK(headers.keep_alive == 5s);
  CHECK(headers.cold_left == 2500ms);
  CHECK(headers.has_signature);
}

TEST_CASE("The gateway's own headers are written and recognized") {
  std::string out;
  AppendForwardingHeaders(out, 1500ms, ServerId("i-1"));
  CHECK(out == "X-Deadline-Ms: 1500\r\nX-Expect-Instance: i-1\r\n");
  out.clear();
  AppendRetryAfterHeader(out, 350ms);
  CHECK(out == "Retry-After: 0.350\r\n");
  CHECK(IsGatewayRequestHeader("x-expect-instance"));
  CHECK(!IsGatewayRequestHeader("X-Request-Id"));
  CHECK(IsInternalResponseHeader("X-Backend-Load"));
  CHECK(!IsInternalResponseHeader("X-Server-Stamp"));
}

}  // namespace
}  // namespace dogwood::platform
