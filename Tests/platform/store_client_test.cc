#include "platform/store_client.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Tests/StandIns/fake_store_server.h"

namespace dogwood::platform {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

// A store client connected to a fake store on one thread.
struct Fixture {
  asio::io_context io;
  FakeStoreServer store{io};
  StoreClient client{io.get_executor(), store.endpoint()};

  template <typename T>
  Result<T> Run(asio::awaitable<Result<T>> operation) {
    std::optional<Result<T>> result;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          result.emplace(co_await std::move(operation));
        },
        asio::detached);
    io.restart();
    while (!result) io.run_one();
    return *result;
  }
};

TEST_CASE("A table of several pages is read completely") {
  Fixture fixture;
  for (int i = 0; i < 12; ++i)
    fixture.store.Put("servers", "i-" + std::to_string(100 + i), "v");
  const auto rows = fixture.Run(fixture.client.ReadTable("servers", 2s));
  REQUIRE(rows.has_value());
  CHECK(rows.value().rows.size() == 12);
  CHECK(rows.value().rows.front().value == "v");
}

// Guards against a store whose pages never end, which would take the memory of
// all hosts that read it.
TEST_CASE("A table without end is not read") {
  asio::io_context io;
  std::string row = R"({"key":"a","ver":1,"value":"AAAA"})";
  std::size_t page_count = 0;
  SUBCASE("of equal pages") {}
  SUBCASE("of pages without rows") { row.clear(); }
  HttpServer::Handler handler =
      [&](HttpRequest) -> asio::awaitable<HttpResponse> {
    HttpResponse response;
    // The first page has a row in any case.
    response.body =
        R"({"ver":1,"now":1,"has_more":true,"rows":[)" +
        (page_count++ == 0 ? R"({"key":"b","ver":1,"value":"AAAA"})" : row) +
        "]}";
    co_return response;
  };
  const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  auto server = HttpServer::Listen(io.get_executor(), any, {}, handler);
  REQUIRE(server.has_value());
  StoreClient client(io.get_executor(), server.value().local_endpoint());
  std::optional<Result<StoreRows>> rows;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        rows.emplace(co_await client.ReadTable("servers", 2s));
      },
      asio::detached);
  for (int i = 0; i < 2000 && !rows; ++i) io.run_one();
  REQUIRE(rows.has_value());
  CHECK(rows->error().code == ErrorCode::kProtocol);
}

TEST_CASE("Changes and deletions after a version are returned") {
  Fixture fixture;
  fixture.store.Put("op", "config", "one");
  const auto before = fixture.Run(fixture.client.ReadTable("op", 2s));
  fixture.store.Put("op", "config", "two");
  fixture.store.Remove("op", "evacuate/a");
  const auto changes = fixture.Run(
      fixture.client.AwaitChanges("op", before.value().as_of, 100ms, 2s));
  REQUIRE(changes.has_value());
  REQUIRE(changes.value().rows.size() == 2);
  CHECK(changes.value().rows[0].value == "two");
  CHECK(!changes.value().rows[1].value.has_value());
  const auto none = fixture.Run(
      fixture.client.AwaitChanges("op", changes.value().as_of, 20ms, 2s));
  REQUIRE(none.has_value());
  CHECK(none.value().rows.empty());
}

TEST_CASE("Discarded history is reported as kNotFound") {
  Fixture fixture;
  fixture.store.Put("op", "config", "one");
  fixture.store.DiscardHistory();
  const auto changes =
      fixture.Run(fixture.client.AwaitChanges("op", StoreVersion(1), 20ms, 2s));
  REQUIRE(!changes.has_value());
  CHECK(changes.error().code == ErrorCode::kNotFound);
}

TEST_CASE("A refused write and a lost response have distinct errors") {
  Fixture fixture;
  fixture.store.set_fault(StoreFault::kUnavailable);
  auto written = fixture.Run(fixture.client.WriteRow("mine", "k", "v", 2s));
  CHECK(written.error().code == ErrorCode::kUnavailable);
  fixture.store.set_fault(StoreFault::kResponseLost);
  written = fixture.Run(fixture.client.WriteRow("mine", "k", "v", 2s));
  CHECK(written.error().code == ErrorCode::kOutcomeUnknown);
  CHECK(fixture.store.ReadValue("mine", "k") == "v");
}

TEST_CASE("Arbitrary bytes are read back as they were written") {
  Fixture fixture;
  const std::string value("a\0\xff\n=", 5);
  REQUIRE(
      fixture.Run(fixture.client.WriteRow("mine", "k", value, 2s)).has_value());
  CHECK(fixture.store.ReadValue("mine", "k") == value);
  const auto rows = fixture.Run(fixture.client.ReadTable("mine", 2s));
  REQUIRE(rows.value().rows.size() == 1);
  CHECK(rows.value().rows.front().value == value);
}

}  // namespace
}  // namespace dogwood::platform
