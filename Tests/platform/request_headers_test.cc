#include "platform/request_headers.h"

#include <doctest/doctest.h>

namespace dogwood::platform {
namespace {

using namespace std::chrono_literals;

TEST_CASE("A caller's fields are read") {
  MessageHead head;
  head.AddField("X-Request-Id", "9c41");
  head.AddField("x-deadline-ms", "1500");
  const auto headers = ReadCallerHeaders(head);
  REQUIRE(headers.has_value());
  CHECK(headers.value().id == RequestId("9c41"));
  CHECK(headers.value().time_left == 1500ms);
}

TEST_CASE("A time that is no number is refused, a missing one is not") {
  MessageHead head;
  CHECK(!ReadCallerHeaders(head).value().time_left.has_value());
  head.AddField("X-Deadline-Ms", "soon");
  CHECK(!ReadCallerHeaders(head).has_value());
}

TEST_CASE("Load reports with three and four figures are read") {
  MessageHead head;
  SUBCASE("three") {
    head.AddField("X-Backend-Load", "3,1,6");
    const auto load = ReadServerHeaders(head).load;
    REQUIRE(load.has_value());
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slowdown == 1);
  }
  SUBCASE("four, the last in percent") {
    head.AddField("X-Backend-Load", "3, 1, 6, 700");
    CHECK(ReadServerHeaders(head).load->slowdown == 7);
  }
  SUBCASE("malformed ones count as absent") {
    head.AddField("X-Backend-Load", "3,x,6");
    CHECK(!ReadServerHeaders(head).load.has_value());
  }
}

// Guards against a refusal that says "not run" although the server ran it.
TEST_CASE("Only the server's own statement or 421 means that nothing ran") {
  MessageHead head;
  head.status = 503;
  CHECK(!ReadServerHeaders(head).is_not_run);
  head.status = 421;
  CHECK(ReadServerHeaders(head).is_not_run);
  head.status = 503;
  head.AddField("X-Not-Executed", "1");
  CHECK(ReadServerHeaders(head).is_not_run);
}

TEST_CASE("What is told of idle time and cold start is read") {
  MessageHead head;
  head.AddField("Keep-Alive", "max=10, timeout=5");
  head.AddField("X-Cold-Ms", "2500");
  head.AddField("X-Server-Stamp", "3e1b");
  const auto headers = ReadServerHeaders(head);
  CHECK(headers.keep_alive == 5s);
  CHECK(headers.cold_left == 2500ms);
  CHECK(headers.is_signed);
}

TEST_CASE("The system's own fields are written") {
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
