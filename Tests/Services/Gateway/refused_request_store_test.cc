#include "Services/Gateway/refused_request_store.h"

#include <doctest/doctest.h>

#include "Tests/StandIns/fake_store_server.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kTable = "dogwood-refused-requests";

// One host without peers, which is the gossip relay of its zone.
class StoreUser {
 public:
  StoreUser(boost::asio::io_context& io, const FakeStoreServer& server)
      : context_(io, Settings(), EventLog::Open({}).value()),
        client_(io.get_executor(), server.endpoint()),
        refused_request_store_(context_, client_) {}

  void Load() {
    refused_request_store_.Start([this](const auto& records) {
      loaded_ = records;
      has_loaded_ = true;
    });
  }
  void Save(const SuspectRecord& record) {
    refused_request_store_.Save({record});
  }
  bool has_loaded() const { return has_loaded_; }
  const PoisonRequestGuard::Records& loaded() const { return loaded_; }

 private:
  static platform::HostSettings Settings() {
    platform::HostSettings settings;
    settings.ip = "127.0.0.1";
    settings.zone = ZoneId("z");
    return settings;
  }

  GatewayContext context_;
  platform::StoreClient client_;
  RefusedRequestStore refused_request_store_;
  PoisonRequestGuard::Records loaded_;
  bool has_loaded_ = false;
};

struct Fixture {
  boost::asio::io_context io;
  FakeStoreServer server{io};
};

// Guards against a request that ends servers again after all hosts have
// restarted and forgotten it.
TEST_CASE("A host that starts loads the refused requests of earlier hosts") {
  Fixture fixture;
  StoreUser earlier(fixture.io, fixture.server);
  StoreUser later(fixture.io, fixture.server);
  earlier.Save({18000000000000000000U, {3, 4}, false, 90s});
  fixture.io.run_for(200ms);
  later.Load();
  fixture.io.run_for(1s);
  REQUIRE(later.loaded().size() == 1);
  const SuspectRecord& record = later.loaded()[0];
  CHECK(record.fingerprint == 18000000000000000000U);
  CHECK(record.crashes == std::array<std::uint64_t, 2>{3, 4});
  CHECK(record.age >= 90s);
  CHECK(record.age < 93s);
}

// Guards against a record that is lost because the store was down when the
// request was refused, or when the host started.
TEST_CASE("Records are written and loaded once the store is back") {
  Fixture fixture;
  StoreUser earlier(fixture.io, fixture.server);
  StoreUser later(fixture.io, fixture.server);
  fixture.server.set_fault(StoreFault::kUnavailable);
  earlier.Save({7, {3, 4}});
  later.Load();
  fixture.io.run_for(1s);
  CHECK_FALSE(later.has_loaded());
  fixture.server.set_fault(StoreFault::kNone);
  fixture.io.run_for(1500ms);
  CHECK(!fixture.server.ReadValue(std::string(kTable), "7").empty());
  CHECK(later.has_loaded());
}

// Guards against rows that pile up, and against odd rows of another writer.
TEST_CASE("Expired and odd rows are not loaded but removed") {
  Fixture fixture;
  const std::string table(kTable);
  fixture.server.Put(table, "odd", "\xff -1 x");
  fixture.server.Put(table, "12", "3 4 1000");
  fixture.server.Put(table, "13", "99999999999999999999999 4 1000");
  fixture.server.Put(table, "14", "3 4 -9223372036854775808");
  StoreUser later(fixture.io, fixture.server);
  later.Load();
  fixture.io.run_for(1200ms);
  CHECK(later.has_loaded());
  CHECK(later.loaded().empty());
  CHECK(fixture.server.ReadValue(table, "odd").empty());
  CHECK(fixture.server.ReadValue(table, "12").empty());
}

}  // namespace
}  // namespace dogwood
