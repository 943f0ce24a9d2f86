#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace dogwood {

// Bidirectional mapping between enumerators and their names in logs, settings
// and messages.
template <typename Enum, std::size_t kCount>
struct EnumNames {
  struct Entry {
    Enum value;
    std::string_view name;
  };

  std::array<Entry, kCount> entries;

  constexpr std::string_view NameOf(Enum value) const {
    for (const Entry& entry : entries) {
      if (entry.value == value) return entry.name;
    }
    return "?";
  }

  constexpr std::optional<Enum> FindValue(std::string_view name) const {
    for (const Entry& entry : entries) {
      if (entry.name == name) return entry.value;
    }
    return std::nullopt;
  }
};

}  // namespace dogwood
