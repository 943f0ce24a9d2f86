#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dogwood {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Value of the first header with this name (compared without case), or nullopt.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  // path and query
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
};

// The path of a target, without its query.
std::string_view PathOf(std::string_view target);

// Percent-decoded value of a query parameter, or nullopt.
std::optional<std::string> QueryParameter(std::string_view target,
                                          std::string_view name);

// Encodes all bytes but unreserved characters as %XX.
std::string PercentEncode(std::string_view text);

}  // namespace dogwood
