#include "Services/Gateway/table_copy.h"

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

TEST_CASE("Changes are applied and passed on after a version") {
  TableCopy first;
  TableCopy second;
  const StoreRows start{{MakeRow("a", "1", 3)}, StoreVersion(5)};
  first.ReplaceAll(start, kStart);
  second.ReplaceAll(start, kStart);
  StoreRow removed{"a", std::nullopt, StoreVersion(8)};
  CHECK(first.Apply({{MakeRow("b", "2", 7), removed}, StoreVersion(9)},
                    kStart + 1s));
  const auto changes = first.ChangesAfter(second.content_version());
  REQUIRE(changes.has_value());
  CHECK(second.Apply(*changes, kStart + 1s));
  REQUIRE(second.All().rows.size() == 1);
  CHECK(second.All().rows.front().key == "b");
  CHECK(second.content_version() == first.content_version());
}

// Guards against a configuration that reverts when an old answer arrives late.
TEST_CASE("Older content never replaces newer content") {
  TableCopy copy;
  copy.ReplaceAll({{MakeRow("config", "new", 7)}, StoreVersion(7)}, kStart);
  CHECK(!copy.ReplaceAll({{MakeRow("config", "old", 3)}, StoreVersion(4)},
                         kStart + 1s));
  CHECK(!copy.Apply({{MakeRow("config", "old", 3)}, StoreVersion(8)},
                    kStart + 1s));
  CHECK(copy.All().rows.front().value == "new");
}

TEST_CASE("A host whose copy is too old for the known removals needs all") {
  TableCopy copy;
  copy.ReplaceAll({{MakeRow("a", "1", 3)}, StoreVersion(5)}, kStart);
  CHECK(!copy.ChangesAfter(StoreVersion(4)).has_value());
  CHECK(copy.ChangesAfter(StoreVersion(5)).has_value());
}

// Guards against hosts that each read an empty table from the store.
TEST_CASE("A copy that was never read takes another's word that it is empty") {
  TableCopy copy;
  copy.Confirm(StoreVersion(0), kStart);
  CHECK(copy.has_content());
  CHECK(copy.All().rows.empty());
  TableCopy other;
  other.Confirm(StoreVersion(7), kStart);
  CHECK(!other.has_content());
}

TEST_CASE("An empty table counts as read") {
  TableCopy copy;
  CHECK(!copy.has_content());
  copy.ReplaceAll({{}, StoreVersion(0)}, kStart);
  CHECK(copy.has_content());
}

// Guards against servers that are taken for gone because their registrations
// lapsed while nobody could refresh them.
TEST_CASE("A long span without confirmation is remembered") {
  TableCopy copy;
  copy.ReplaceAll({{}, StoreVersion(5)}, kStart);
  copy.Confirm(StoreVersion(5), kStart + 1s);
  CHECK(copy.regained_at() == TimePoint{});
  copy.Confirm(StoreVersion(5), kStart + 9s);
  CHECK(copy.regained_at() == kStart + 9s);
  copy.Confirm(StoreVersion(4), kStart + 10s);
  CHECK(copy.confirmed_at() == kStart + 9s);
}

}  // namespace
}  // namespace dogwood
