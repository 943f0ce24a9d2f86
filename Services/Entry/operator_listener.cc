#include "Services/Entry/operator_listener.h"

#include <algorithm>

namespace dogwood {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";

HttpResponse ErrorResponse(unsigned status, std::string_view reason) {
  HttpResponse response{.status = status};
  response.headers.emplace_back("Content-Type", "application/json");
  response.body = "{\"error\":\"" + std::string(reason) + "\"}\n";
  return response;
}

// Does not reveal the position of the first difference by its run time.
bool EqualsInConstantTime(std::string_view left, std::string_view right) {
  unsigned difference = left.size() == right.size() ? 0 : 1;
  for (std::size_t i = 0; i < left.size(); ++i) {
    const char other = right.empty() ? '\0' : right[i % right.size()];
    difference |= static_cast<unsigned>(static_cast<unsigned char>(left[i])) ^
                  static_cast<unsigned>(static_cast<unsigned char>(other));
  }
  return difference == 0;
}

}  // namespace

void OperatorListener::AddRoute(std::string method, std::string path,
                                Handler handler) {
  routes_.push_back({std::move(method), std::move(path), std::move(handler)});
  // Longest path first, so that the first match is the most specific.
  std::stable_sort(routes_.begin(), routes_.end(),
                   [](const Route& left, const Route& right) {
                     return left.path.size() > right.path.size();
                   });
}

Result<void> OperatorListener::Listen(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& endpoint) {
  TRY_ASSIGN(
      auto server,
      HttpServer::Listen(
          executor, endpoint, {},
          [this](HttpRequest request) -> boost::asio::awaitable<HttpResponse> {
            co_return co_await HandleRequest(request);
          }));
  server_.emplace(std::move(server));
  return outcome::success();
}

void OperatorListener::Stop() {
  if (server_) server_->Stop();
}

boost::asio::ip::tcp::endpoint OperatorListener::local_endpoint() const {
  return server_->local_endpoint();
}

bool OperatorListener::is_authorized(const HttpRequest& request) const {
  const auto credentials = FindHeader(request.headers, "Authorization");
  if (token_.empty() || !credentials ||
      !credentials->starts_with(kBearerPrefix))
    return false;
  return EqualsInConstantTime(credentials->substr(kBearerPrefix.size()),
                              token_);
}

boost::asio::awaitable<HttpResponse> OperatorListener::HandleRequest(
    const HttpRequest& request) const {
  if (!is_authorized(request)) {
    HttpResponse response = ErrorResponse(401, "unauthorized");
    response.headers.emplace_back("WWW-Authenticate", "Bearer");
    co_return response;
  }
  const std::string_view path = TargetPath(request.target);
  bool is_path_known = false;
  for (const Route& route : routes_) {
    std::string_view pattern = route.path;
    const bool is_prefix = pattern.ends_with("/*");
    if (is_prefix) pattern.remove_suffix(1);
    if (is_prefix ? !path.starts_with(pattern) : path != pattern) continue;
    is_path_known = true;
    if (route.method == request.method)
      co_return co_await route.handler(request);
  }
  co_return is_path_known ? ErrorResponse(405, "method-not-allowed")
                          : ErrorResponse(404, "not-found");
}

}  // namespace dogwood
