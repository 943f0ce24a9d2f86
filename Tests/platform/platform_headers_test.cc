#include "platform/platform_headers.h"

#include <doctest/doctest.h>

namespace dogwood::platform {
namespace {

using namespace std::chrono_literals;

TEST_CASE("The headers of a caller's request are parsed") {
  MessageHead head;
  head.AddField("X-Request-Id", "9c41");
  head.AddField("x-deadline-ms", "1500");
  const auto headers = ReadCallerHeaders(head);
  REQUIRE(headers.has_value());
  CHECK(headers.value().id == RequestId("9c41"));
  CHECK(headers.value().time_left == 1500ms);
}

TEST_CASE("A malformed deadline is rejected, a missing one is accepted") {
  MessageHead head;
  CHECK(!ReadCallerHeaders(head).value().time_left.has_value());
  head.AddField("X-Deadline-Ms", "soon");
  CHECK(!ReadCallerHeaders(head).has_value());
}

TEST_CASE("Load reports with three and with four values are parsed") {
  MessageHead head;
  SUBCASE("three values") {
    head.AddField("X-Backend-Load", "3,1,6");
    const auto load = ReadServerHeaders(head).load;
    REQUIRE(load.has_value());
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slowdown == 1);
  }
  SUBCASE("four values, the last in percent") {
    head.AddField("X-Backend-Load", "3, 1, 6, 700");
    CHECK(ReadServerHeaders(head).load->slowdown == 7);
  }
  SUBCASE("a malformed report counts as absent") {
    head.AddField("X-Backend-Load", "3,x,6");
    CHECK(!ReadServerHeaders(head).load.has_value());
  }
}

// A request that the server ran must not be reported as not executed, or a
// retry would run it twice.
TEST_CASE(
    "Only X-Not-Executed or status 421 means that the request did not run") {
  MessageHead head;
  head.status = 503;
  CHECK(!ReadServerHeaders(head).is_not_run);
  head.status = 421;
  CHECK(ReadServerHeaders(head).is_not_run);
  head.status = 503;
  head.AddField("X-Not-Executed", "1");
  CHECK(ReadServerHeaders(head).is_not_run);
}

TEST_CASE("The headers on idle timeout, cold start and signature are parsed") {
  MessageHead head;
  head.AddField("Keep-Alive", "max=10, timeout=5");
  head.AddField("X-Cold-Ms", "2500");
  head.AddField("X-Server-Stamp", "3e1b");
  const auto headers = ReadServerHeaders(head);
  CHECK(headers.keep_alive == 5s);
  CHECK(headers.cold_left == 2500ms);
  CHECK(headers.is_signed);
}

TEST_CASE("The gateway's own headers are written and recognized") {
  std::string out;
  AppendRequestFields(out, 1500ms, ServerId("i-1"));
  CHECK(out == "X-Deadline-Ms: 1500\r\nX-Expect-Instance: i-1\r\n");
  out.clear();
  AppendRetryAfter(out, 350ms);
  CHECK(out == "Retry-After: 0.350\r\n");
  CHECK(IsOwnRequestField("x-expect-instance"));
  CHECK(!IsOwnRequestField("X-Request-Id"));
  CHECK(IsOwnAnswerField("X-Backend-Load"));
  CHECK(!IsOwnAnswerField("X-Server-Stamp"));
}

}  // namespace
}  // namespace dogwood::platform
