#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dogwood {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first header with this name, compared without case.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  // path and optional query
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
};

// Returns the path of a request target, without its query.
std::string_view TargetPath(std::string_view target);

// Returns the percent-decoded value of the first query parameter with this
// name; the value is empty when the parameter has none.
std::optional<std::string> FindQueryParameter(std::string_view target,
                                              std::string_view name);

// Encodes all bytes except unreserved characters (RFC 3986) as %XX.
std::string PercentEncode(std::string_view text);

}  // namespace dogwood
