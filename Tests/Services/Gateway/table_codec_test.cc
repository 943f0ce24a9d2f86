#include "Services/Gateway/table_codec.h"

#include <doctest/doctest.h>

namespace dogwood {
namespace {

using platform::StoreRow;
using platform::StoreVersion;

CopiedTable MakeTable() {
  CopiedTable table;
  table.rows.as_of = StoreVersion(9);
  table.rows.rows = {{"kept", std::string("value \xff"), StoreVersion(7)},
                     {"removed", std::nullopt, StoreVersion(9)}};
  table.is_whole = true;
  return table;
}

TEST_CASE("A table returns with its values, removals and versions") {
  const auto decoded = DecodeTable(EncodeTable(MakeTable()));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().is_whole);
  CHECK(decoded.value().rows.as_of == StoreVersion(9));
  REQUIRE(decoded.value().rows.rows.size() == 2);
  const StoreRow& kept = decoded.value().rows.rows[0];
  CHECK(kept.key == "kept");
  CHECK(kept.value == "value \xff");
  CHECK(kept.version == StoreVersion(7));
  CHECK(!decoded.value().rows.rows[1].value);
}

// Guards against a host that is stopped, or takes rows, by broken bytes.
TEST_CASE("Bytes that are no table are refused") {
  const std::string bytes = EncodeTable(MakeTable());
  CHECK(!DecodeTable(""));
  CHECK(!DecodeTable("plain text"));
  CHECK(!DecodeTable(bytes.substr(0, bytes.size() - 3)));
}

}  // namespace
}  // namespace dogwood
