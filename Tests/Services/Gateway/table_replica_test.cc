#include "Services/Gateway/table_replica.h"

#include <doctest/doctest.h>

namespace dogwood {
namespace {

using namespace std::chrono_literals;
using platform::StoreRow;
using platform::StoreRows;
using platform::StoreVersion;

constexpr TimePoint kStart = TimePoint{} + 1h;

StoreRow MakeRow(const std::string& key, const std::string& value,
                 std::uint64_t version) {
  return {key, value, StoreVersion(version)};
}

TEST_CASE(
    "Changes after a version bring a second replica to the same content") {
  TableReplica first;
  TableReplica second;
  const StoreRows start{{MakeRow("a", "1", 3)}, StoreVersion(5)};
  first.ApplySnapshot(start, kStart);
  second.ApplySnapshot(start, kStart);
  StoreRow removed{"a", std::nullopt, StoreVersion(8)};
  CHECK(first.ApplyChanges({{MakeRow("b", "2", 7), removed}, StoreVersion(9)},
                           kStart + 1s));
  const auto changes = first.ChangesAfter(second.content_version());
  REQUIRE(changes.has_value());
  CHECK(second.ApplyChanges(*changes, kStart + 1s));
  REQUIRE(second.Snapshot().rows.size() == 1);
  CHECK(second.Snapshot().rows.front().key == "b");
  CHECK(second.content_version() == first.content_version());
}

// Guards against a configuration that reverts when an old response arrives
// late.
TEST_CASE("Older content never replaces newer content") {
  TableReplica replica;
  replica.ApplySnapshot({{MakeRow("config", "new", 7)}, StoreVersion(7)},
                        kStart);
  CHECK(!replica.ApplySnapshot({{MakeRow("config", "old", 3)}, StoreVersion(4)},
                               kStart + 1s));
  CHECK(!replica.ApplyChanges({{MakeRow("config", "old", 3)}, StoreVersion(8)},
                              kStart + 1s));
  CHECK(replica.Snapshot().rows.front().value == "new");
}

TEST_CASE("Changes are unavailable from before the last snapshot") {
  TableReplica replica;
  replica.ApplySnapshot({{MakeRow("a", "1", 3)}, StoreVersion(5)}, kStart);
  CHECK(!replica.ChangesAfter(StoreVersion(4)).has_value());
  CHECK(replica.ChangesAfter(StoreVersion(5)).has_value());
}

// Guards against every host reading an empty table from the store.
TEST_CASE("Confirming version 0 loads an empty replica") {
  TableReplica replica;
  replica.Confirm(StoreVersion(0), kStart);
  CHECK(replica.is_loaded());
  CHECK(replica.Snapshot().rows.empty());
  TableReplica other;
  other.Confirm(StoreVersion(7), kStart);
  CHECK(!other.is_loaded());
}

TEST_CASE("An empty snapshot loads the replica") {
  TableReplica replica;
  CHECK(!replica.is_loaded());
  replica.ApplySnapshot({{}, StoreVersion(0)}, kStart);
  CHECK(replica.is_loaded());
}

// Guards against removing servers whose registrations expired during a store
// outage, when they could not be renewed.
TEST_CASE("The end of a long gap between confirmations is recorded") {
  TableReplica replica;
  replica.ApplySnapshot({{}, StoreVersion(5)}, kStart);
  replica.Confirm(StoreVersion(5), kStart + 1s);
  CHECK(replica.confirmation_resumed_at() == TimePoint{});
  replica.Confirm(StoreVersion(5), kStart + 9s);
  CHECK(replica.confirmation_resumed_at() == kStart + 9s);
  replica.Confirm(StoreVersion(4), kStart + 10s);
  CHECK(replica.confirmed_at() == kStart + 9s);
}

}  // namespace
}  // namespace dogwood
