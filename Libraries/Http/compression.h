#pragma once

#include <string>
#include <string_view>

#include "Libraries/Core/core.h"

namespace dogwood {

// The bytes in raw deflate format (RFC 1951), at the fastest level: for texts
// that pass over slow links between hosts.
std::string Compress(std::string_view bytes);

// Fails with kProtocol on bytes that are not whole, and on those that would
// become longer than `most_bytes`.
Result<std::string> Decompress(std::string_view compressed,
                               std::size_t most_bytes);

}  // namespace dogwood
