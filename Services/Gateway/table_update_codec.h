#pragma once

#include <string>

#include "Libraries/Core/core.h"
#include "platform/store_row.h"

namespace dogwood {

// Rows of a replicated table that one entry host sends to another.
struct TableUpdate {
  platform::StoreRows rows;
  bool is_snapshot = false;  // otherwise changes after the requested version
};

// Encodes as compressed CBOR: configurations are sent over slow links.
std::string EncodeTableUpdate(const TableUpdate& update);

// Fails with kProtocol when the bytes are malformed or exceed the size limit.
Result<TableUpdate> DecodeTableUpdate(const std::string& bytes);

}  // namespace dogwood
