#include "Services/Gateway/table_update_codec.h"

#include <doctest/doctest.h>

namespace dogwood {
namespace {

using platform::StoreRow;
using platform::StoreVersion;

TableUpdate MakeUpdate() {
  TableUpdate update;
  update.rows.as_of = StoreVersion(9);
  update.rows.rows = {{"kept", std::string("value \xff"), StoreVersion(7)},
                      {"removed", std::nullopt, StoreVersion(9)}};
  update.is_snapshot = true;
  return update;
}

TEST_CASE("Decoding restores values, removals and versions") {
  const auto decoded = DecodeTableUpdate(EncodeTableUpdate(MakeUpdate()));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().is_snapshot);
  CHECK(decoded.value().rows.as_of == StoreVersion(9));
  REQUIRE(decoded.value().rows.rows.size() == 2);
  const StoreRow& kept = decoded.value().rows.rows[0];
  CHECK(kept.key == "kept");
  CHECK(kept.value == "value \xff");
  CHECK(kept.version == StoreVersion(7));
  CHECK(!decoded.value().rows.rows[1].value);
}

// Guards against malformed bytes that crash a host or add rows.
TEST_CASE("Malformed updates are rejected") {
  const std::string bytes = EncodeTableUpdate(MakeUpdate());
  CHECK(!DecodeTableUpdate(""));
  CHECK(!DecodeTableUpdate("plain text"));
  CHECK(!DecodeTableUpdate(bytes.substr(0, bytes.size() - 3)));
}

}  // namespace
}  // namespace dogwood
