#include "Services/Gateway/table_update_codec.h"

#include <nlohmann/json.hpp>

#include "Libraries/Http/http.h"

namespace dogwood {

using Json = nlohmann::json;
using platform::StoreRow;
using platform::StoreVersion;

namespace {

// Limit on the decompressed size; tables of the store are smaller.
constexpr std::size_t kMaxTableBytes = std::size_t{16} << 20U;  // 16 MiB

}  // namespace

std::string EncodeTableUpdate(const TableUpdate& update) {
  Json items = Json::array();
  for (const StoreRow& row : update.rows.rows) {
    Json item = Json::array({row.key, row.version.value()});
    if (row.value)
      item.push_back(Json::binary({row.value->begin(), row.value->end()}));
    items.push_back(std::move(item));
  }
  const auto bytes = Json::to_cbor(Json::array(
      {update.rows.as_of.value(), update.is_snapshot, std::move(items)}));
  return Compress({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

Result<TableUpdate> DecodeTableUpdate(const std::string& compressed) {
  TRY_ASSIGN(const std::string bytes, Decompress(compressed, kMaxTableBytes));
  // The JSON library reports type mismatches and excessive sizes by exceptions
  // only.
  try {
    const Json root = Json::from_cbor(bytes, /*strict=*/true,
                                      /*allow_exceptions=*/false);
    TableUpdate update;
    update.rows.as_of = StoreVersion(root.at(0).get<std::uint64_t>());
    update.is_snapshot = root.at(1).get<bool>();
    for (const Json& item : root.at(2)) {
      StoreRow row;
      row.key = item.at(0).get<std::string>();
      row.version = StoreVersion(item.at(1).get<std::uint64_t>());
      if (item.size() > 2) {
        const auto& value = item.at(2).get_binary();
        row.value.emplace(value.begin(), value.end());
      }
      update.rows.rows.push_back(std::move(row));
    }
    return update;
  } catch (const Json::exception& exception) {
    return Fail(ErrorCode::kProtocol,
                std::string("malformed table update: ") + exception.what());
  }
}

}  // namespace dogwood
