#include "Libraries/Platform/http_client_pool.h"

namespace dogwood {

namespace asio = boost::asio;

HttpClientPool::HttpClientPool(asio::any_io_executor executor,
                               asio::ip::tcp::endpoint endpoint)
    : executor_(std::move(executor)), endpoint_(std::move(endpoint)) {}

asio::awaitable<Result<HttpResponse>> HttpClientPool::Send(HttpRequest request,
                                                           Duration timeout) {
  constexpr std::size_t kMaxIdleClients = 8;
  HttpClient client(executor_, endpoint_);
  if (!idle_clients_.empty()) {
    client = std::move(idle_clients_.back());
    idle_clients_.pop_back();
  }
  Result<HttpResponse> response =
      co_await client.Send(std::move(request), timeout);
  if (response && idle_clients_.size() < kMaxIdleClients)
    idle_clients_.push_back(std::move(client));
  co_return response;
}

asio::awaitable<Result<HttpResponse>> HttpClientPool::SendGetWithRetry(
    std::string target, Duration timeout) {
  const TimePoint deadline = MonotonicNow() + timeout;
  HttpRequest request;
  request.target = target;
  HttpRequest retry = request;
  Result<HttpResponse> response = co_await Send(std::move(request), timeout);
  if (!response && MonotonicNow() < deadline) {
    // The other idle connections may be closed as well.
    idle_clients_.clear();
    const Duration remaining = deadline - MonotonicNow();
    response = co_await Send(std::move(retry), remaining);
  }
  if (!response) {
    const bool is_late = MonotonicNow() >= deadline;
    co_return Fail(
        is_late ? ErrorCode::kDeadlineExceeded : ErrorCode::kUnavailable,
        response.error().message);
  }
  const unsigned status = response.value().status;
  if (status != 200 && status != 404) {
    co_return Fail(ErrorCode::kUnavailable,
                   "GET " + target + ": the platform responded with status " +
                       std::to_string(status));
  }
  co_return response;
}

}  // namespace dogwood
