#pragma once

#include <string>

#include "Libraries/Core/core.h"
#include "platform/store_row.h"

namespace dogwood {

// Rows of a followed table as one entry host sends them to another.
struct CopiedTable {
  platform::StoreRows rows;
  bool is_whole = false;  // false: the changes after the version asked for
};

// CBOR, compressed: configurations pass over slow links.
std::string EncodeTable(const CopiedTable& table);

// Fails with kProtocol on bytes that are no table or too many.
Result<CopiedTable> DecodeTable(const std::string& bytes);

}  // namespace dogwood
