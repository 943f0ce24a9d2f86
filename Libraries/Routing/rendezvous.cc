#include "Libraries/Routing/rendezvous.h"

#include <xxhash.h>

namespace dogwood {

std::uint64_t HashName(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace dogwood
