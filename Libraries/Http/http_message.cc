#include "Libraries/Http/http_message.h"

#include <boost/beast/core/string.hpp>
#include <charconv>

namespace dogwood {
namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

// Decodes %XX escapes and keeps malformed ones unchanged.
std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16)
                .ptr == text.data() + i + 3) {
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace

std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name) {
  for (const auto& [header, value] : headers) {
    if (boost::beast::iequals(header, name)) return value;
  }
  return std::nullopt;
}

std::string_view TargetPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<std::string> FindQueryParameter(std::string_view target,
                                              std::string_view name) {
  const std::size_t query_start = target.find('?');
  if (query_start == std::string_view::npos) return std::nullopt;
  std::string_view query = target.substr(query_start + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
    const std::size_t separator = pair.find('=');
    if (PercentDecode(pair.substr(0, separator)) != name) continue;
    return separator == std::string_view::npos
               ? ""
               : PercentDecode(pair.substr(separator + 1));
  }
  return std::nullopt;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      encoded += '%';
      encoded += kHexDigits[byte >> 4];
      encoded += kHexDigits[byte & 15];
    }
  }
  return encoded;
}

}  // namespace dogwood
