#include "Services/Gateway/table_codec.h"

#include <nlohmann/json.hpp>

#include "Libraries/Http/http.h"

namespace dogwood {

using Json = nlohmann::json;
using platform::StoreRow;
using platform::StoreVersion;

namespace {

// A copied table is refused above this size: the store's rows are smaller.
constexpr std::size_t kMostTableBytes = std::size_t{16} << 20U;
}  // namespace

std::string EncodeTable(const CopiedTable& table) {
  Json list = Json::array();
  for (const StoreRow& row : table.rows.rows) {
    Json item = Json::array({row.key, row.version.value()});
    if (row.value)
      item.push_back(Json::binary({row.value->begin(), row.value->end()}));
    list.push_back(std::move(item));
  }
  const auto bytes = Json::to_cbor(
      Json::array({table.rows.as_of.value(), table.is_whole, std::move(list)}));
  return Compress({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

Result<CopiedTable> DecodeTable(const std::string& compressed) {
  TRY_ASSIGN(const std::string bytes, Decompress(compressed, kMostTableBytes));
  // The JSON library reports wrong types, and sizes beyond its limit, by
  // exceptions only.
  try {
    const Json root = Json::from_cbor(bytes, /*strict=*/true,
                                      /*allow_exceptions=*/false);
    CopiedTable decoded;
    decoded.rows.as_of = StoreVersion(root.at(0).get<std::uint64_t>());
    decoded.is_whole = root.at(1).get<bool>();
    for (const Json& item : root.at(2)) {
      StoreRow row;
      row.key = item.at(0).get<std::string>();
      row.version = StoreVersion(item.at(1).get<std::uint64_t>());
      if (item.size() > 2) {
        const auto& value = item.at(2).get_binary();
        row.value.emplace(value.begin(), value.end());
      }
      decoded.rows.rows.push_back(std::move(row));
    }
    return decoded;
  } catch (const Json::exception& exception) {
    return Fail(ErrorCode::kProtocol,
                std::string("copied table: ") + exception.what());
  }
}

}  // namespace dogwood
