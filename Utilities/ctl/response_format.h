#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class OutputFormat { kTable, kJson, kCsv };

inline constexpr EnumNames<OutputFormat, 3> kOutputFormatNames{
    {{{OutputFormat::kTable, "table"},
      {OutputFormat::kJson, "json"},
      {OutputFormat::kCsv, "csv"}}}};

// Formats a JSON response body. Tables and CSV have one row per array element
// or, for an object, one row per value with its dotted path.
std::string FormatResponse(const nlohmann::json& body, OutputFormat format);

}  // namespace dogwood
