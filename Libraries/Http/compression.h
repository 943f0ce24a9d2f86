#pragma once

#include <string>
#include <string_view>

#include "Libraries/Core/core.h"

namespace dogwood {

// Compresses to raw deflate (RFC 1951) at the fastest level, for text that is
// sent between hosts over slow links.
std::string Compress(std::string_view bytes);

// Decompresses raw deflate. Fails with kProtocol when the data is truncated or
// invalid, or expands to more than `max_bytes`.
Result<std::string> Decompress(std::string_view compressed,
                               std::size_t max_bytes);

}  // namespace dogwood
